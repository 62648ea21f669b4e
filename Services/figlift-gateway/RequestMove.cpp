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

#include "LibDispatch/StreamMove.h"
#include "LibLog/Log.h"

namespace figlift::gateway {

using dispatch::Milliseconds;

/// Called after an event has been forwarded.
void RequestFlow::moveIfBetter() {
  if (m_Done || !m_Send || m_Send->purpose() != SendPurpose::Execute ||
      !engineService() || m_IsTrial || !mayRetryIfSuspected())
    return;
  const BootTime Now = BootClock::now();
  const std::string Source = m_Send->targetId();
  dispatch::MovableStream Stream;
  Stream.Resumable = m_Route.Resumable;
  Stream.WasMoved = m_Moved;
  Stream.Runs = m_History.executions();
  Stream.MaximumRuns = m_Route.MaximumAttempts;
  Stream.LongestPause = m_Progress.longestPause();
  Stream.AllowedPause = m_Route.EventGapTarget;
  Stream.ExpectedPause =
      m_Shared.Paces.expectedLongestPause(m_Service, Source, Now);
  Stream.EngineChangesStage = m_Shared.isChangingStage(Source, Now);
  Stream.BudgetLeft = m_Shared.Budget.remaining(m_Service, Now);
  Stream.BudgetBase = m_Shared.Settings.Retry.Base;
  const auto Reason = dispatch::moveReason(Stream);
  // A move may fail, and a stream that is cut during a stop cannot be resumed
  // here.
  if (!Reason || m_Shared.Stop.begun())
    return;
  const auto Destination = moveDestination(Source, Now);
  if (!Destination ||
      !dispatch::isWorthAMove(*Reason,
                              m_Shared.Paces.expectedLongestPause(
                                  m_Service, Destination->DecodeTarget, Now),
                              Stream.AllowedPause))
    return;
  moveStream(*Destination, dispatch::describe(*Reason), Now);
}

void RequestFlow::moveStream(const dispatch::DecodePlan &Destination,
                             std::string_view Reason, BootTime Now) {
  const auto Old = m_Send;
  const std::string &Source = Old->targetId();
  m_Moved = true;
  if (m_Shared.Log.allows(LineKind::Notable, Now))
    log::logRequest(
        log::Level::Info, "stream-moved", m_Fields.AttemptId, {},
        {{"from", Source},
         {"to", Destination.DecodeTarget},
         {"reason", Reason},
         {"events", m_Relay.events()},
         {"longestPauseMs", m_Progress.longestPause()},
         {"budgetLeft", m_Shared.Budget.remaining(m_Service, Now)}});
  m_SilenceTimer.cancel();
  abandonExpectedCache(Source);
  Old->cancel();
  m_Excluded.push_back(Source);
  m_MovedFrom = Source;
  // The execution that ends here has taken it.
  m_Handle.reset();
  startExecution(Destination);
}

/// Without admission control: the stream has begun, and its first event cannot
/// be late any more.
std::optional<dispatch::DecodePlan>
RequestFlow::moveDestination(const std::string &Source, BootTime Now) {
  dispatch::PromptRequest Request = promptRequest(Now);
  Request.Excluded.push_back(Source);
  auto Decode = m_Shared.Prompts.chooseDecodeTarget(
      Request, nullptr, usableTargets(),
      m_Shared.costsOf(*engineService(), Now), Now);
  if (Decode && Decode->Prefill.Wait > Milliseconds(0))
    return std::nullopt;
  return Decode;
}

} // namespace figlift::gateway
