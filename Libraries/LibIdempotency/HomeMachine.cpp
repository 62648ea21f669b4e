//===- HomeMachine.cpp - At most one run per key --------------------------===//
//
// Calls and their outcomes. HomeMachineSlices.cpp handles slices that are
// granted to this home or moved away from it.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/HomeMachine.h"

#include <algorithm>
#include <utility>

namespace figlift::idempotency {

HomeMachine::HomeMachine(HomeOptions Options) : m_Options(Options) {}

std::vector<Action> HomeMachine::step(const Event &What, BootTime Now,
                                      WallTime Wall) {
  Actions Out;
  Context C{Now, Wall, Out};
  std::visit([&](const auto &Event) { on(Event, C); }, What);
  return Out;
}

size_t HomeMachine::openCalls() const {
  return std::ranges::count_if(m_Claims, [](const auto &Line) {
    const Entry &Known = Line.second;
    return Known.What.State == ClaimState::Sent && !Known.Foreign;
  });
}

const Claim *HomeMachine::find(const std::string &Key) const {
  auto Known = m_Claims.find(Key);
  return Known == m_Claims.end() ? nullptr : &Known->second.What;
}

/// The order of the checks ensures that a refusal ("not run") is true: the
/// claim of the key is checked first, then whether the key may have run at a
/// former home. Only a key that provably never ran is refused.
void HomeMachine::on(const CallReceived &Call, Context &C) {
  if (auto Known = m_Claims.find(Call.Key); Known != m_Claims.end())
    return repeat(Known->second, Call, C);
  const SliceRecord &Slice = m_Slices[sliceOf(Call.Key)];
  if (Slice.State != SliceState::Serving) {
    C.Out.push_back(RefuseCaller{Call.Token, ResultCode::HomeMoved});
    return;
  }
  if (mayHaveRunBefore(Call, Slice, C.Wall)) {
    C.Out.push_back(UnknownToCaller{Call.Token});
    return;
  }
  if (auto Code = refusalOf(Call, C.Wall)) {
    C.Out.push_back(RefuseCaller{Call.Token, *Code});
    return;
  }
  Entry &Claimed = m_Claims[Call.Key];
  Claimed.What = {Call.Key, ClaimState::Sent, Call.Fingerprint, {}, C.Wall};
  Claimed.Since = C.Now;
  Claimed.Waiters = {Call.Token};
  C.Out.push_back(SendToTarget{Call.Token, Call.Key});
}

void HomeMachine::repeat(Entry &Known, const CallReceived &Call, Context &C) {
  const Claim &What = Known.What;
  if (What.Fingerprint != Call.Fingerprint) {
    C.Out.push_back(
        RefuseCaller{Call.Token, ResultCode::KeyReusedForOtherRequest});
    return;
  }
  Known.Waiters.push_back(Call.Token);
  if (What.State != ClaimState::Sent)
    return answerWaiters(Known, C);
  C.Out.push_back(JoinWaiters{Call.Token, Call.Key});
}

/// A key may have run before at a home whose claims were lost, or under a claim
/// whose retention has ended. Every home refuses keys that were minted further
/// ahead of its clock than MaximumKeyAhead, so a key that ran before T was
/// minted before T + MaximumKeyAhead + clock skew on this machine's clock.
bool HomeMachine::mayHaveRunBefore(const CallReceived &Call,
                                   const SliceRecord &Slice,
                                   WallTime Wall) const {
  if (Slice.OldUntil && m_Options.UseTakeoverRule &&
      (!Call.MintedAt || *Call.MintedAt <= *Slice.OldUntil))
    return true;
  WallTime Forgotten = Wall - m_Options.Retention + m_Options.TakeoverGuard;
  return Call.MintedAt && *Call.MintedAt <= Forgotten;
}

std::optional<ResultCode> HomeMachine::refusalOf(const CallReceived &Call,
                                                 WallTime Wall) const {
  bool Ahead = Call.MintedAt && *Call.MintedAt > Wall + m_Options.MaximumAhead;
  if (Ahead && m_Options.UseAheadRule)
    return ResultCode::KeyTooFarAhead;
  if (m_Claims.size() >= m_Options.MaximumClaims)
    return ResultCode::LimitReached;
  return std::nullopt;
}

void HomeMachine::on(const CallerGone &Gone, Context &) {
  for (auto &[Key, Known] : m_Claims)
    std::erase(Known.Waiters, Gone.Token);
}

void HomeMachine::on(const TargetAnswered &Answered, Context &C) {
  auto Open = m_Claims.find(Answered.Key);
  if (Open == m_Claims.end() || Open->second.What.State != ClaimState::Sent)
    return;
  Open->second.What.Result = Answered.Result;
  settle(Open->second, ClaimState::Answered, C);
}

void HomeMachine::on(const TargetOutcomeUnknown &Lost, Context &C) {
  auto Open = m_Claims.find(Lost.Key);
  if (Open == m_Claims.end() || Open->second.What.State != ClaimState::Sent)
    return;
  settle(Open->second, ClaimState::Unknown, C);
}

/// Removes the claim, so that the caller may retry with the same key. A claim
/// that was sent to a successor becomes Unknown instead: an update that removes
/// the successor's claim could arrive late and remove that of a newer run.
void HomeMachine::on(const TargetFailedBeforeSend &Failed, Context &C) {
  auto Open = m_Claims.find(Failed.Key);
  if (Open == m_Claims.end() || Open->second.What.State != ClaimState::Sent)
    return;
  Entry &Call = Open->second;
  for (uint64_t Token : std::exchange(Call.Waiters, {}))
    C.Out.push_back(RefuseCaller{Token, Failed.Code});
  if (handedOn(m_Slices[sliceOf(Failed.Key)]))
    return settle(Call, ClaimState::Unknown, C);
  m_Claims.erase(Open);
}

void HomeMachine::settle(Entry &Open, ClaimState State, Context &C) {
  Open.What.State = State;
  Open.Since = C.Now;
  answerWaiters(Open, C);
  forward(Open, C);
}

void HomeMachine::answerWaiters(Entry &Settled, Context &C) {
  // The first waiter of a call that was sent here is the caller whose request
  // ran; all others get a replayed answer.
  bool Replayed = Settled.Replays;
  for (uint64_t Token : std::exchange(Settled.Waiters, {})) {
    if (Settled.What.State == ClaimState::Answered)
      C.Out.push_back(AnswerCaller{Token, *Settled.What.Result, Replayed});
    else
      C.Out.push_back(UnknownToCaller{Token});
    Replayed = true;
  }
  Settled.Replays = true;
}

/// Sends the outcome to the successor, which received the claim as Sent and
/// whose callers wait for it.
void HomeMachine::forward(const Entry &Settled, Context &C) {
  SliceId Id = sliceOf(Settled.What.Key);
  const SliceRecord &Slice = m_Slices[Id];
  if (!handedOn(Slice))
    return;
  C.Out.push_back(SendClaims{Slice.Successor,
                             Id,
                             Slice.SuccessorEpoch,
                             {Settled.What},
                             false,
                             Slice.OldUntil});
}

void HomeMachine::on(const Tick &, Context &C) {
  for (auto Line = m_Claims.begin(); Line != m_Claims.end();) {
    Entry &Known = Line->second;
    auto Age = C.Now - Known.Since;
    bool Open = Known.What.State == ClaimState::Sent;
    if (Open && Known.Foreign && Age >= m_Options.ForeignWait)
      settle(Known, ClaimState::Unknown, C);
    if (!Open && Age >= m_Options.Retention)
      Line = m_Claims.erase(Line);
    else
      ++Line;
  }
}

} // namespace figlift::idempotency
