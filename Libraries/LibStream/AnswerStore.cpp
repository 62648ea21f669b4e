//===- AnswerStore.cpp - Answers that outlive their readers ---------------===//
//
// One function for each event of the machine.
//
//===----------------------------------------------------------------------===//

#include "LibStream/AnswerStore.h"

namespace figlift::stream {

AnswerStore::Answer *AnswerStore::find(RunId Run) {
  const auto Found = m_Answers.find(Run);
  return Found == m_Answers.end() ? nullptr : &Found->second;
}

bool AnswerStore::isUnread(const std::string &RequestId) const {
  const auto Found = m_ByRequest.find(RequestId);
  if (Found == m_ByRequest.end())
    return false;
  const Answer &Held = m_Answers.at(Found->second);
  return !Held.Reader &&
         !(Held.End && std::holds_alternative<Error>(*Held.End));
}

void AnswerStore::detach(Answer &From) {
  if (From.Reader)
    m_ByReader.erase(*From.Reader);
  From.Reader.reset();
}

void AnswerStore::attach(RunId Run, Answer &To, ReaderId Reader,
                         std::vector<Action> &Actions) {
  if (To.Reader)
    Actions.push_back(DismissReader{*To.Reader});
  detach(To);
  To.Reader = Reader;
  To.Expires.reset();
  m_ByReader[Reader] = Run;
}

void AnswerStore::deliverEnd(Answer &Ended, BootTime Now,
                             std::vector<Action> &Actions) {
  Actions.push_back(SendEnding{*Ended.Reader, *Ended.End, Ended.Held.end()});
  detach(Ended);
  Ended.Expires = Now + m_Limits.DeliveredTime;
  if (!Ended.Delivered)
    ++m_Delivered;
  Ended.Delivered = true;
}

void AnswerStore::remove(Answers::iterator Which) {
  Answer &Gone = Which->second;
  m_Bytes -= Gone.Held.bytes();
  if (Gone.Delivered)
    --m_Delivered;
  detach(Gone);
  if (const auto Found = m_ByRequest.find(Gone.RequestId);
      Found != m_ByRequest.end() && Found->second == Which->first)
    m_ByRequest.erase(Found);
  m_Answers.erase(Which);
}

void AnswerStore::abandon(Answers::iterator Which,
                          std::vector<Action> &Actions) {
  if (!Which->second.End)
    Actions.push_back(CancelRun{Which->first});
  remove(Which);
}

void AnswerStore::makeRoom(std::vector<Action> &Actions) {
  // Ended answers go first, the oldest before the others; then what attached
  // readers have got already. Runs without a reader go last: each would have
  // to run again.
  for (auto At = m_Answers.begin();
       m_Bytes > m_Limits.MaximumBytes && At != m_Answers.end();) {
    const auto Next = std::next(At);
    if (At->second.End)
      remove(At);
    At = Next;
  }
  for (auto &[Run, Held] : m_Answers) {
    if (m_Bytes <= m_Limits.MaximumBytes)
      return;
    if (Held.Reader)
      m_Bytes -= Held.Held.forgetBefore(Held.Held.end());
  }
  for (auto At = m_Answers.begin();
       m_Bytes > m_Limits.MaximumBytes && At != m_Answers.end();) {
    const auto Next = std::next(At);
    if (!At->second.Reader)
      abandon(At, Actions);
    At = Next;
  }
}

struct AnswerStore::Step {
  AnswerStore &Store;
  const BootTime Now;
  std::vector<Action> Actions;

  void operator()(const RunStarted &What);
  void operator()(const TokenProduced &What);
  void operator()(const RunEnded &What);
  void operator()(const ReaderLost &What);
  void operator()(const ReaderCancelled &What);
  void operator()(const ReaderResumed &What);
  void operator()(const TimePassed &);
};

void AnswerStore::Step::operator()(const RunStarted &What) {
  if (const auto Found = Store.m_ByRequest.find(What.RequestId);
      Found != Store.m_ByRequest.end()) {
    const auto Old = Store.m_Answers.find(Found->second);
    if (Old->second.Reader)
      Actions.push_back(DismissReader{*Old->second.Reader});
    Store.abandon(Old, Actions);
  }
  Answer Fresh;
  Fresh.RequestId = What.RequestId;
  Fresh.Held = HeldAnswer(What.FirstToken);
  Answer &Kept =
      Store.m_Answers.emplace(What.Run, std::move(Fresh)).first->second;
  Store.m_ByRequest[What.RequestId] = What.Run;
  Store.attach(What.Run, Kept, What.Reader, Actions);
}

void AnswerStore::Step::operator()(const TokenProduced &What) {
  Answer *Found = Store.find(What.Run);
  if (!Found || Found->End || What.Index < Found->Held.end())
    return;
  if (What.Index > Found->Held.end()) {
    // A token is missing. To go on would hand the caller an answer with a
    // hole that nobody can see, so the run ends as failed.
    Actions.push_back(CancelRun{What.Run});
    (*this)(RunEnded{What.Run, Error{ResultCode::TargetFailed,
                                     "the engine left out a token",
                                     {},
                                     std::nullopt}});
    return;
  }
  const size_t Before = Found->Held.bytes();
  Found->Held.append(What.Text);
  Store.m_Bytes += Found->Held.bytes() - Before;
  if (Found->Reader)
    Actions.push_back(SendTokens{*Found->Reader, {What.Index, 1, What.Text}});
  if (Store.m_Bytes > Store.m_Limits.MaximumBytes)
    Store.makeRoom(Actions);
}

void AnswerStore::Step::operator()(const RunEnded &What) {
  Answer *Found = Store.find(What.Run);
  if (!Found || Found->End)
    return;
  Found->End = What.How;
  if (!Found->Reader)
    return;
  Store.deliverEnd(*Found, Now, Actions);
}

void AnswerStore::Step::operator()(const ReaderLost &What) {
  const auto Found = Store.m_ByReader.find(What.Reader);
  if (Found == Store.m_ByReader.end())
    return;
  Answer &Left = *Store.find(Found->second);
  Store.detach(Left);
  Left.Expires = Now + Store.m_Limits.DetachedTime;
}

void AnswerStore::Step::operator()(const ReaderCancelled &What) {
  const auto Found = Store.m_ByReader.find(What.Reader);
  if (Found != Store.m_ByReader.end())
    Store.abandon(Store.m_Answers.find(Found->second), Actions);
}

void AnswerStore::Step::operator()(const ReaderResumed &What) {
  const auto Found = Store.m_ByRequest.find(What.RequestId);
  if (Found == Store.m_ByRequest.end()) {
    Actions.push_back(RefuseResume{What.Reader});
    return;
  }
  const RunId Run = Found->second;
  Answer &Held = *Store.find(Run);
  if (What.FirstToken < Held.Held.begin() ||
      What.FirstToken > Held.Held.end()) {
    Actions.push_back(RefuseResume{What.Reader});
    return;
  }
  Store.attach(Run, Held, What.Reader, Actions);
  if (What.FirstToken < Held.Held.end())
    Actions.push_back(SendTokens{What.Reader, Held.Held.from(What.FirstToken)});
  if (!Held.End)
    return;
  Store.deliverEnd(Held, Now, Actions);
}

void AnswerStore::Step::operator()(const TimePassed &) {
  for (auto At = Store.m_Answers.begin(); At != Store.m_Answers.end();) {
    const auto Next = std::next(At);
    if (At->second.Expires && *At->second.Expires <= Now)
      Store.abandon(At, Actions);
    At = Next;
  }
}

std::vector<Action> AnswerStore::step(const Event &What, BootTime Now) {
  Step Taken{*this, Now, {}};
  std::visit(Taken, What);
  return std::move(Taken.Actions);
}

} // namespace figlift::stream
