//===- AgentStop.cpp - The end of the agent -------------------------------===//
//
// Refuse new work at once, let what runs end, hand the slices over, send
// GOAWAY, end the loop; all in bounded time.
//
//===----------------------------------------------------------------------===//

#include "Agent.h"

#include "LibLog/Log.h"

namespace figlift::agent {

/// A successor that can't be reached, or a store that is out, must not hold
/// the stop up for ever: keys then count as unknown, never as not run.
static constexpr std::chrono::milliseconds HandoverLimit{8000};
/// How long a successor is looked for when none takes the slices.
static constexpr std::chrono::milliseconds SuccessorLimit{2500};
/// For the last bytes and the entries' goodbyes.
static constexpr std::chrono::milliseconds GoodbyeLimit{1000};

void Agent::stop() {
  if (m_Stage != StopStage::Running)
    return;
  m_Stage = StopStage::Draining;
  m_StopBegan = BootClock::now();
  log::logEvent(log::Level::Info, "stopping", {{"unfinished", unfinished()}});
  m_Shared.Events.record(
      timeline::kinds::ProcessStopping,
      {timeline::SubjectType::Process, m_Shared.Settings.Process.Id});
  setReason(DrainReason::Stop, true);
}

void Agent::stopTick() {
  if (m_Stage == StopStage::Running)
    return;
  const BootTime Now = BootClock::now();
  if (m_Stage == StopStage::Goodbye) {
    if (m_Server->openStreams() == 0 || Now - m_GoodbyeBegan > GoodbyeLimit)
      m_Shared.Decisions.stop();
    return;
  }
  const auto Age = Now - m_StopBegan;
  const bool Busy = unfinished() != 0;
  const bool Moving = m_Slices && stillMoving(Age);
  if ((Busy || Moving) && Age < m_Shared.Settings.Drain.Timeout)
    return;
  if (Busy)
    log::logEvent(log::Level::Error, "stop-cut-requests",
                  {{"unfinished", unfinished()}});
  sayGoodbye();
}

bool Agent::stillMoving(BootClock::duration Age) const {
  if (m_Slices->moving() != 0)
    return Age < HandoverLimit;
  return !m_Slices->held().empty() && Age < SuccessorLimit;
}

void Agent::sayGoodbye() {
  m_Stage = StopStage::Goodbye;
  m_GoodbyeBegan = BootClock::now();
  m_Shared.Events.record(
      timeline::kinds::DrainFinished,
      {timeline::SubjectType::Target, m_Shared.Settings.Process.Id});
  m_Syncs->broadcast();
  m_Syncs->finishAll();
  m_Server->goAway();
}

} // namespace figlift::agent
