//===- UnconfirmedAnswers.cpp - Answers a server may not survive ----------===//
//
// See UnconfirmedAnswers.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/UnconfirmedAnswers.h"

#include <iterator>
#include <utility>

namespace figlift::dispatch {

void UnconfirmedAnswers::add(const ServerStart &Server,
                             UnconfirmedAnswer Answer) {
  auto &Answers = m_Answers[Server];
  if (Answers.size() >= MaximumPerServer)
    Answers.pop_front();
  Answers.push_back(std::move(Answer));
}

void UnconfirmedAnswers::takeBefore(std::deque<UnconfirmedAnswer> &From,
                                    BootTime Time,
                                    std::vector<UnconfirmedAnswer> &To) {
  while (!From.empty() && From.front().CompletedAt < Time) {
    To.push_back(std::move(From.front()));
    From.pop_front();
  }
}

std::vector<UnconfirmedAnswer>
UnconfirmedAnswers::confirm(const ServerStart &Server, BootTime Now) {
  std::vector<UnconfirmedAnswer> Confirmed;
  const auto Known = m_Answers.find(Server);
  if (Known == m_Answers.end())
    return Confirmed;
  takeBefore(Known->second, Now - ConfirmationDelay, Confirmed);
  if (Known->second.empty())
    m_Answers.erase(Known);
  return Confirmed;
}

std::vector<UnconfirmedAnswer>
UnconfirmedAnswers::takeLast(const ServerStart &Server, BootTime CrashedAt) {
  std::vector<UnconfirmedAnswer> Last;
  const auto Known = m_Answers.find(Server);
  if (Known == m_Answers.end())
    return Last;
  for (UnconfirmedAnswer &Answer : Known->second)
    if (CrashedAt - Answer.CompletedAt < ConfirmationDelay)
      Last.push_back(std::move(Answer));
  m_Answers.erase(Known);
  return Last;
}

UnconfirmedAnswers::Answers::const_iterator
UnconfirmedAnswers::afterAllStarts(const std::string &TargetId) const {
  auto Position = m_Answers.lower_bound(ServerStart{TargetId, std::nullopt});
  while (Position != m_Answers.end() && Position->first.TargetId == TargetId)
    ++Position;
  return Position;
}

std::optional<UnconfirmedAnswers::Last>
UnconfirmedAnswers::last(const std::string &TargetId) const {
  const auto After = afterAllStarts(TargetId);
  if (After == m_Answers.begin() ||
      std::prev(After)->first.TargetId != TargetId)
    return std::nullopt;
  const auto &[Server, Answers] = *std::prev(After);
  return Last{Server, Answers.back().CompletedAt};
}

void UnconfirmedAnswers::remove(const std::string &TargetId) {
  m_Answers.erase(m_Answers.lower_bound(ServerStart{TargetId, std::nullopt}),
                  afterAllStarts(TargetId));
}

std::vector<UnconfirmedAnswer> UnconfirmedAnswers::takeBefore(BootTime Time) {
  std::vector<UnconfirmedAnswer> Taken;
  for (auto &[Server, Answers] : m_Answers)
    takeBefore(Answers, Time, Taken);
  std::erase_if(m_Answers,
                [](const auto &Item) { return Item.second.empty(); });
  return Taken;
}

} // namespace figlift::dispatch
