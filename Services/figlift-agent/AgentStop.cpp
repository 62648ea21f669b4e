//===- AgentStop.cpp - Graceful shutdown of the agent ---------------------===//
//
// Refuses new work immediately, waits for running work, hands the slices over,
// sends GOAWAY and stops the event loop. Each step has a time limit.
//
//===----------------------------------------------------------------------===//

#include "Agent.h"

#include "LibLog/Log.h"

namespace figlift::agent {

/// Longest time to finish handovers. An unreachable successor or a store outage
/// must not delay the shutdown forever. The keys of a slice that was not handed
/// over get the outcome unknown, never "not run".
static constexpr std::chrono::milliseconds HandoverTimeout{8000};
/// Longest time to look for a successor while no home accepts the slices.
static constexpr std::chrono::milliseconds SuccessorSearchTimeout{2500};
/// Longest time to send the remaining bytes and wait for entries to close their
/// streams.
static constexpr std::chrono::milliseconds CloseTimeout{1000};

void Agent::stop() {
  if (m_StopStage != StopStage::Running)
    return;
  m_StopStage = StopStage::Draining;
  m_StopStartedAt = BootClock::now();
  log::logEvent(log::Level::Info, "stopping",
                {{"unfinished", unfinishedRequests()}});
  m_Shared.Events.record(
      timeline::kinds::ProcessStopping,
      {timeline::SubjectType::Process, m_Shared.Settings.Process.Id});
  setDrainReason(DrainReason::Stop, true);
}

void Agent::stopTick() {
  if (m_StopStage == StopStage::Running)
    return;
  const BootTime Now = BootClock::now();
  if (m_StopStage == StopStage::ClosingStreams) {
    if (m_Server->openStreams() == 0 || Now - m_ClosingStartedAt > CloseTimeout)
      m_Shared.Loop.stop();
    return;
  }
  const auto SinceStop = Now - m_StopStartedAt;
  const bool Busy = unfinishedRequests() != 0;
  const bool HandingOver = m_Slices && awaitsHandovers(SinceStop);
  if ((Busy || HandingOver) && SinceStop < m_Shared.Settings.Drain.Timeout)
    return;
  if (Busy)
    log::logEvent(log::Level::Error, "stop-cut-requests",
                  {{"unfinished", unfinishedRequests()}});
  closeStreams();
}

bool Agent::awaitsHandovers(BootClock::duration SinceStop) const {
  if (m_Slices->openHandovers() != 0)
    return SinceStop < HandoverTimeout;
  return !m_Slices->held().empty() && SinceStop < SuccessorSearchTimeout;
}

void Agent::closeStreams() {
  m_StopStage = StopStage::ClosingStreams;
  m_ClosingStartedAt = BootClock::now();
  m_Shared.Events.record(
      timeline::kinds::DrainFinished,
      {timeline::SubjectType::Target, m_Shared.Settings.Process.Id});
  m_SyncReporter->broadcast();
  m_SyncReporter->finishAll();
  m_Server->goAway();
}

} // namespace figlift::agent
