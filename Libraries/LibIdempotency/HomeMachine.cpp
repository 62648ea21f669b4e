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

std::vector<Action> HomeMachine::step(const Event &Event, BootTime Now,
                                      WallTime Wall) {
  Actions Out;
  StepContext Step{Now, Wall, Out};
  std::visit([&](const auto &Chosen) { on(Chosen, Step); }, Event);
  return Out;
}

size_t HomeMachine::openCalls() const {
  return std::ranges::count_if(m_Claims, [](const auto &Item) {
    const TrackedClaim &Tracked = Item.second;
    return Tracked.Value.State == ClaimState::Sent && !Tracked.SentByFormerHome;
  });
}

const Claim *HomeMachine::find(const std::string &Key) const {
  auto Found = m_Claims.find(Key);
  return Found == m_Claims.end() ? nullptr : &Found->second.Value;
}

/// The order of the checks ensures that a refusal ("not run") is true: the
/// claim of the key is checked first, then whether the key may have run at a
/// former home. Only a key that provably never ran is refused.
void HomeMachine::on(const CallReceived &Call, StepContext &Step) {
  if (auto Found = m_Claims.find(Call.Key); Found != m_Claims.end())
    return joinOrReplay(Found->second, Call, Step);
  const SliceRecord &Slice = m_Slices[sliceOf(Call.Key)];
  if (Slice.State != SliceState::Serving) {
    Step.Out.push_back(RefuseCaller{Call.Token, ResultCode::HomeMoved});
    return;
  }
  if (mayHaveRunBefore(Call, Slice, Step.Wall)) {
    Step.Out.push_back(ReportUnknownOutcome{Call.Token});
    return;
  }
  if (auto Code = refusalCode(Call, Step.Wall)) {
    Step.Out.push_back(RefuseCaller{Call.Token, *Code});
    return;
  }
  TrackedClaim &NewClaim = m_Claims[Call.Key];
  NewClaim.Value = {
      Call.Key, ClaimState::Sent, Call.Fingerprint, {}, Step.Wall};
  NewClaim.StateSince = Step.Now;
  NewClaim.Waiters = {Call.Token};
  Step.Out.push_back(SendToTarget{Call.Token, Call.Key});
}

void HomeMachine::joinOrReplay(TrackedClaim &Tracked, const CallReceived &Call,
                               StepContext &Step) {
  const Claim &Existing = Tracked.Value;
  if (Existing.Fingerprint != Call.Fingerprint) {
    Step.Out.push_back(
        RefuseCaller{Call.Token, ResultCode::KeyReusedForOtherRequest});
    return;
  }
  Tracked.Waiters.push_back(Call.Token);
  if (Existing.State != ClaimState::Sent)
    return answerWaiters(Tracked, Step);
  Step.Out.push_back(JoinWaiters{Call.Token, Call.Key});
}

/// A key may have run before at a home whose claims were lost, or under a claim
/// whose retention has ended. Every home refuses keys that were minted further
/// ahead of its clock than MaximumKeyAhead, so a key that ran before T was
/// minted before T + MaximumKeyAhead + clock skew on this machine's clock.
bool HomeMachine::mayHaveRunBefore(const CallReceived &Call,
                                   const SliceRecord &Slice,
                                   WallTime Wall) const {
  if (Slice.OldKeysUntil && m_Options.UseTakeoverRule &&
      (!Call.MintedAt || *Call.MintedAt <= *Slice.OldKeysUntil))
    return true;
  WallTime RetentionEnd = Wall - m_Options.Retention + m_Options.TakeoverGuard;
  return Call.MintedAt && *Call.MintedAt <= RetentionEnd;
}

std::optional<ResultCode> HomeMachine::refusalCode(const CallReceived &Call,
                                                   WallTime Wall) const {
  bool IsAhead =
      Call.MintedAt && *Call.MintedAt > Wall + m_Options.MaximumKeyAhead;
  if (IsAhead && m_Options.UseAheadRule)
    return ResultCode::KeyTooFarAhead;
  if (m_Claims.size() >= m_Options.MaximumClaims)
    return ResultCode::LimitReached;
  return std::nullopt;
}

void HomeMachine::on(const CallerDisconnected &Disconnected, StepContext &) {
  for (auto &[Key, Tracked] : m_Claims)
    std::erase(Tracked.Waiters, Disconnected.Token);
}

void HomeMachine::on(const TargetAnswered &Answered, StepContext &Step) {
  auto Found = m_Claims.find(Answered.Key);
  if (Found == m_Claims.end() || Found->second.Value.State != ClaimState::Sent)
    return;
  Found->second.Value.Result = Answered.Result;
  setOutcome(Found->second, ClaimState::Answered, Step);
}

void HomeMachine::on(const TargetOutcomeUnknown &Unknown, StepContext &Step) {
  auto Found = m_Claims.find(Unknown.Key);
  if (Found == m_Claims.end() || Found->second.Value.State != ClaimState::Sent)
    return;
  setOutcome(Found->second, ClaimState::Unknown, Step);
}

/// Removes the claim, so that the caller may retry with the same key. A claim
/// that was sent to a successor becomes Unknown instead: an update that removes
/// the successor's claim could arrive late and remove that of a newer run.
void HomeMachine::on(const TargetFailedBeforeSend &Failed, StepContext &Step) {
  auto Found = m_Claims.find(Failed.Key);
  if (Found == m_Claims.end() || Found->second.Value.State != ClaimState::Sent)
    return;
  TrackedClaim &Call = Found->second;
  for (uint64_t Token : std::exchange(Call.Waiters, {}))
    Step.Out.push_back(RefuseCaller{Token, Failed.Code});
  if (wasSentToSuccessor(m_Slices[sliceOf(Failed.Key)]))
    return setOutcome(Call, ClaimState::Unknown, Step);
  m_Claims.erase(Found);
}

void HomeMachine::setOutcome(TrackedClaim &Tracked, ClaimState State,
                             StepContext &Step) {
  Tracked.Value.State = State;
  Tracked.StateSince = Step.Now;
  answerWaiters(Tracked, Step);
  forwardOutcome(Tracked, Step);
}

void HomeMachine::answerWaiters(TrackedClaim &Tracked, StepContext &Step) {
  // The first waiter of a call that was sent here is the caller whose request
  // ran; all others get a replayed answer.
  bool Replayed = Tracked.AnswersAreReplays;
  for (uint64_t Token : std::exchange(Tracked.Waiters, {})) {
    if (Tracked.Value.State == ClaimState::Answered)
      Step.Out.push_back(AnswerCaller{Token, *Tracked.Value.Result, Replayed});
    else
      Step.Out.push_back(ReportUnknownOutcome{Token});
    Replayed = true;
  }
  Tracked.AnswersAreReplays = true;
}

/// Sends the outcome to the successor, which received the claim as Sent and
/// whose callers wait for it.
void HomeMachine::forwardOutcome(const TrackedClaim &Tracked,
                                 StepContext &Step) {
  SliceId Id = sliceOf(Tracked.Value.Key);
  const SliceRecord &Slice = m_Slices[Id];
  if (!wasSentToSuccessor(Slice))
    return;
  Step.Out.push_back(SendClaims{Slice.Successor,
                                Id,
                                Slice.SuccessorEpoch,
                                {Tracked.Value},
                                false,
                                Slice.OldKeysUntil});
}

void HomeMachine::on(const Tick &, StepContext &Step) {
  for (auto Position = m_Claims.begin(); Position != m_Claims.end();) {
    TrackedClaim &Tracked = Position->second;
    auto Age = Step.Now - Tracked.StateSince;
    bool Open = Tracked.Value.State == ClaimState::Sent;
    if (Open && Tracked.SentByFormerHome && Age >= m_Options.FormerHomeTimeout)
      setOutcome(Tracked, ClaimState::Unknown, Step);
    if (!Open && Age >= m_Options.Retention)
      Position = m_Claims.erase(Position);
    else
      ++Position;
  }
}

} // namespace figlift::idempotency
