//===- AnswerStore.cpp - Answers held for resumption ----------------------===//
//
// Transition has one function for each event of the state machine.
//
//===----------------------------------------------------------------------===//

#include "LibStream/AnswerStore.h"

namespace figlift::stream {

AnswerStore::Answer *AnswerStore::find(RunId Run) {
  const auto Found = m_Answers.find(Run);
  return Found == m_Answers.end() ? nullptr : &Found->second;
}

bool AnswerStore::isResumable(const std::string &RequestId) const {
  const auto Found = m_ByRequest.find(RequestId);
  if (Found == m_ByRequest.end())
    return false;
  const Answer &Held = m_Answers.at(Found->second);
  return !Held.Reader &&
         !(Held.Outcome && std::holds_alternative<Error>(*Held.Outcome));
}

void AnswerStore::detach(Answer &Held) {
  if (Held.Reader)
    m_ByReader.erase(*Held.Reader);
  Held.Reader.reset();
}

void AnswerStore::attach(RunId Run, Answer &Held, ReaderId Reader,
                         std::vector<Action> &Actions) {
  if (Held.Reader)
    Actions.push_back(CloseReader{*Held.Reader});
  detach(Held);
  Held.Reader = Reader;
  Held.Expires.reset();
  m_ByReader[Reader] = Run;
}

void AnswerStore::deliverOutcome(Answer &Ended, BootTime Now,
                                 std::vector<Action> &Actions) {
  Actions.push_back(
      SendOutcome{*Ended.Reader, *Ended.Outcome, Ended.Tokens.end()});
  detach(Ended);
  Ended.Expires = Now + m_Limits.DeliveredTime;
  if (!Ended.Delivered)
    ++m_Delivered;
  Ended.Delivered = true;
}

void AnswerStore::remove(Answers::iterator Position) {
  Answer &Removed = Position->second;
  m_Bytes -= Removed.Tokens.bytes();
  if (Removed.Delivered)
    --m_Delivered;
  detach(Removed);
  if (const auto Found = m_ByRequest.find(Removed.RequestId);
      Found != m_ByRequest.end() && Found->second == Position->first)
    m_ByRequest.erase(Found);
  m_Answers.erase(Position);
}

void AnswerStore::cancelAndRemove(Answers::iterator Position,
                                  std::vector<Action> &Actions) {
  if (!Position->second.Outcome)
    Actions.push_back(CancelRun{Position->first});
  remove(Position);
}

void AnswerStore::evictToLimit(std::vector<Action> &Actions) {
  // Evicts ended answers first, the oldest before newer ones, then tokens that
  // attached readers have already received. Active runs without a reader are
  // canceled last, because their requests would have to run again.
  for (auto Position = m_Answers.begin();
       m_Bytes > m_Limits.MaximumBytes && Position != m_Answers.end();) {
    const auto Next = std::next(Position);
    if (Position->second.Outcome)
      remove(Position);
    Position = Next;
  }
  for (auto &[Run, Held] : m_Answers) {
    if (m_Bytes <= m_Limits.MaximumBytes)
      return;
    if (Held.Reader)
      m_Bytes -= Held.Tokens.discardBefore(Held.Tokens.end());
  }
  for (auto Position = m_Answers.begin();
       m_Bytes > m_Limits.MaximumBytes && Position != m_Answers.end();) {
    const auto Next = std::next(Position);
    if (!Position->second.Reader)
      cancelAndRemove(Position, Actions);
    Position = Next;
  }
}

struct AnswerStore::Transition {
  AnswerStore &Store;
  const BootTime Now;
  std::vector<Action> Actions;

  void operator()(const RunStarted &Input);
  void operator()(const TokenProduced &Input);
  void operator()(const RunEnded &Input);
  void operator()(const ReaderLost &Input);
  void operator()(const ReaderCancelled &Input);
  void operator()(const ReaderResumed &Input);
  void operator()(const TimePassed &);
};

void AnswerStore::Transition::operator()(const RunStarted &Input) {
  if (const auto Found = Store.m_ByRequest.find(Input.RequestId);
      Found != Store.m_ByRequest.end()) {
    const auto Replaced = Store.m_Answers.find(Found->second);
    if (Replaced->second.Reader)
      Actions.push_back(CloseReader{*Replaced->second.Reader});
    Store.cancelAndRemove(Replaced, Actions);
  }
  Answer Started;
  Started.RequestId = Input.RequestId;
  Started.Tokens = HeldAnswer(Input.FirstToken);
  Answer &Held =
      Store.m_Answers.emplace(Input.Run, std::move(Started)).first->second;
  Store.m_ByRequest[Input.RequestId] = Input.Run;
  Store.attach(Input.Run, Held, Input.Reader, Actions);
}

void AnswerStore::Transition::operator()(const TokenProduced &Input) {
  Answer *Found = Store.find(Input.Run);
  if (!Found || Found->Outcome || Input.Index < Found->Tokens.end())
    return;
  if (Input.Index > Found->Tokens.end()) {
    // A token is missing. The answer would have a gap that the caller cannot
    // detect, so the run fails.
    Actions.push_back(CancelRun{Input.Run});
    (*this)(RunEnded{Input.Run, Error{ResultCode::TargetFailed,
                                      "the engine skipped a token",
                                      {},
                                      std::nullopt}});
    return;
  }
  const size_t Before = Found->Tokens.bytes();
  Found->Tokens.append(Input.Text);
  Store.m_Bytes += Found->Tokens.bytes() - Before;
  if (Found->Reader)
    Actions.push_back(SendTokens{*Found->Reader, {Input.Index, 1, Input.Text}});
  if (Store.m_Bytes > Store.m_Limits.MaximumBytes)
    Store.evictToLimit(Actions);
}

void AnswerStore::Transition::operator()(const RunEnded &Input) {
  Answer *Found = Store.find(Input.Run);
  if (!Found || Found->Outcome)
    return;
  Found->Outcome = Input.Outcome;
  if (!Found->Reader)
    return;
  Store.deliverOutcome(*Found, Now, Actions);
}

void AnswerStore::Transition::operator()(const ReaderLost &Input) {
  const auto Found = Store.m_ByReader.find(Input.Reader);
  if (Found == Store.m_ByReader.end())
    return;
  Answer &Held = *Store.find(Found->second);
  Store.detach(Held);
  Held.Expires = Now + Store.m_Limits.DetachedTime;
}

void AnswerStore::Transition::operator()(const ReaderCancelled &Input) {
  const auto Found = Store.m_ByReader.find(Input.Reader);
  if (Found != Store.m_ByReader.end())
    Store.cancelAndRemove(Store.m_Answers.find(Found->second), Actions);
}

void AnswerStore::Transition::operator()(const ReaderResumed &Input) {
  const auto Found = Store.m_ByRequest.find(Input.RequestId);
  if (Found == Store.m_ByRequest.end()) {
    Actions.push_back(RejectResume{Input.Reader});
    return;
  }
  const RunId Run = Found->second;
  Answer &Held = *Store.find(Run);
  if (Input.FirstToken < Held.Tokens.begin() ||
      Input.FirstToken > Held.Tokens.end()) {
    Actions.push_back(RejectResume{Input.Reader});
    return;
  }
  Store.attach(Run, Held, Input.Reader, Actions);
  if (Input.FirstToken < Held.Tokens.end())
    Actions.push_back(
        SendTokens{Input.Reader, Held.Tokens.tokensFrom(Input.FirstToken)});
  if (!Held.Outcome)
    return;
  Store.deliverOutcome(Held, Now, Actions);
}

void AnswerStore::Transition::operator()(const TimePassed &) {
  for (auto Position = Store.m_Answers.begin();
       Position != Store.m_Answers.end();) {
    const auto Next = std::next(Position);
    if (Position->second.Expires && *Position->second.Expires <= Now)
      Store.cancelAndRemove(Position, Actions);
    Position = Next;
  }
}

std::vector<Action> AnswerStore::step(const Event &Input, BootTime Now) {
  Transition Handler{*this, Now, {}};
  std::visit(Handler, Input);
  return std::move(Handler.Actions);
}

} // namespace figlift::stream
