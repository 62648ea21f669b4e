//===- RequestMove.cpp - Moves a running stream to another engine ---------===//
//
// A resumable stream is resumed on another engine before its own engine stops:
// an engine that was ordered to change its stage ends its streams first, and
// accepts no work meanwhile. Streams last for up to ten seconds, so without
// this each change would leave an engine without work for as long.
//
// A stream is also moved once if its engine is too slow for it and a faster one
// has room.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

using dispatch::Milliseconds;

namespace {

/// Moves use at most this share of the retry budget; the rest is left for
/// failures.
constexpr double BudgetShareOfMoves = 0.5;
/// An engine counts as fast enough below this share of the allowed pause.
constexpr double FastPauseShare = 0.75;

} // namespace

/// Called after an event has been forwarded.
void RequestFlow::moveIfBetter() {
  if (m_Moved || m_Done || !m_Send || !m_Route.Resumable ||
      m_Send->purpose() != SendPurpose::Execute || !engineService())
    return;
  const BootTime Now = BootClock::now();
  const std::string Source = m_Send->targetId();
  const bool IsChanging = m_Shared.isChangingStage(Source, Now);
  if (!IsChanging && !isTooSlowFor(Source, Now))
    return;
  if (m_Executions >= m_Route.MaximumAttempts || !mayRetryIfSuspected() ||
      m_IsTrial || !mayStart(m_PlannedFirst, Now) ||
      m_Shared.Budget.remaining(m_Service, Now) <
          m_Shared.Settings.Retry.Base * BudgetShareOfMoves)
    return;
  const auto Destination = moveDestination(Source, IsChanging, Now);
  if (!Destination)
    return;
  m_Moved = true;
  if (m_Shared.Log.allows(LineKind::Notable, Now))
    log::logRequest(
        log::Level::Info, "stream-moved", m_Fields.AttemptId, {},
        {{"from", Source},
         {"to", Destination->DecodeTarget},
         {"reason", IsChanging ? "stage change" : "long pauses"},
         {"events", m_Relay.events()},
         {"longestPauseMs", m_Progress.longestPause()},
         {"budgetLeft", m_Shared.Budget.remaining(m_Service, Now)}});
  const auto Old = m_Send;
  m_SilenceTimer.cancel();
  abandonExpectedCache(Source);
  Old->cancel();
  m_Excluded.push_back(Source);
  // The execution that ends here has taken it.
  m_Handle.reset();
  startExecution(*Destination);
}

/// A stream that is late already gains nothing by a move.
bool RequestFlow::isTooSlowFor(const std::string &TargetId,
                               BootTime Now) const {
  if (!m_Route.EventGapTarget)
    return false;
  const Milliseconds Allowed(*m_Route.EventGapTarget);
  const auto Expected =
      m_Shared.Paces.expectedLongestPause(m_Service, TargetId, Now);
  return Expected && *Expected > Allowed && m_Progress.longestPause() < Allowed;
}

/// Without admission control: the stream has begun, and its first event cannot
/// be late any more.
std::optional<dispatch::DecodePlan>
RequestFlow::moveDestination(const std::string &Source, bool IsChanging,
                             BootTime Now) {
  dispatch::PromptRequest Request = promptRequest(Now);
  Request.Excluded.push_back(Source);
  auto Decode = m_Shared.Prompts.chooseDecodeTarget(
      Request, nullptr, usableTargets(),
      m_Shared.costsOf(*engineService(), Now), Now);
  if (!Decode || Decode->Prefill.Wait > Milliseconds(0))
    return std::nullopt;
  const auto Pause =
      m_Shared.Paces.expectedLongestPause(m_Service, Decode->DecodeTarget, Now);
  const bool IsFast =
      Pause && m_Route.EventGapTarget &&
      *Pause < Milliseconds(*m_Route.EventGapTarget) * FastPauseShare;
  if (!IsChanging && !IsFast)
    return std::nullopt;
  return Decode;
}

} // namespace figlift::gateway
