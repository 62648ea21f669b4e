//===- RequestPlanning.cpp - Inputs of the planners for one request -------===//
//
// Describes the request to the planners of prompts and of plain services.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

namespace figlift::gateway {

using dispatch::Milliseconds;

dispatch::PromptPlan RequestFlow::promptPlan(const dispatch::Service &Service,
                                             dispatch::PromptRequest Request,
                                             BootTime Now) {
  return m_Shared.Prompts.plan(Request, usableTargets(),
                               m_Shared.costsOf(Service, Now), Now);
}

/// Targets that failed this request, those whose request limit is used up at
/// present, and those that have asked for a pause.
std::vector<std::string> RequestFlow::excluded(BootTime Now) const {
  std::vector<std::string> All = m_Shared.Limits.exhausted(Now);
  for (std::string &Id : m_Shared.Feedback.backoffs().activeIds(Now))
    All.push_back(std::move(Id));
  All.insert(All.end(), m_Excluded.begin(), m_Excluded.end());
  return All;
}

/// A stream that is bound to a version may use all targets of that version, as
/// this gateway's part of the targets may have none.
OpenTargets::List RequestFlow::usableTargets() const {
  if (m_BoundVersion) {
    OpenTargets::List Targets = m_Shared.Open.all(m_Service);
    std::erase_if(Targets, [&](const dispatch::Target *Candidate) {
      return Candidate->SoftwareVersion != *m_BoundVersion;
    });
    return confirmed(std::move(Targets));
  }
  if (beginsResumable() &&
      m_Shared.Origins.versions().hasUnrecorded(m_Service, BootClock::now()))
    return recordedTargets();
  OpenTargets::List Used =
      engineService()
          ? m_Shared.Open.usedFor(m_Service, m_Fields.Prompt->subject())
          : m_Shared.Open.used(m_Service);
  if (!beginsResumable() || m_Shared.Restarts.allConfirmed())
    return Used;
  Used = confirmed(std::move(Used));
  return Used.empty() ? recordedTargets() : Used;
}

OpenTargets::List RequestFlow::confirmed(OpenTargets::List Targets) const {
  if (!m_Shared.Restarts.allConfirmed())
    std::erase_if(Targets, [&](const dispatch::Target *Candidate) {
      return !m_Shared.Restarts.isConfirmed(*Candidate);
    });
  return Targets;
}

/// All targets at which a stream may begin that its caller may take up
/// elsewhere, as this gateway's part of the targets may have none.
OpenTargets::List RequestFlow::recordedTargets() const {
  const BootTime Now = BootClock::now();
  OpenTargets::List Targets = m_Shared.Open.all(m_Service);
  std::erase_if(Targets, [&](const dispatch::Target *Candidate) {
    return !m_Shared.Origins.versions().mayBegin(
        {m_Service, Candidate->SoftwareVersion}, Now);
  });
  return confirmed(std::move(Targets));
}

dispatch::ServicePlan RequestFlow::servicePlan(BootTime Now) {
  return m_Shared.Services.plan(
      {timeLeft(Now), excluded(Now), m_Shared.draw(), mayUseEjected()},
      usableTargets(), Now);
}

/// While all servers are down, requests try a few of them, not each in turn.
bool RequestFlow::mayUseEjected() const {
  return m_History.sends() < m_Shared.Retries.MaximumSends;
}

/// Retry-After of a request that no server may take at present. Where servers
/// have asked for a pause, the first one that takes requests again decides.
/// Callers that are rejected together return at different times.
std::chrono::milliseconds
RequestFlow::retryAfterBackoff(std::chrono::milliseconds Planned,
                               BootTime Now) {
  OpenTargets::List Servers = usableTargets();
  // Without a decode engine no prompt runs.
  std::erase_if(Servers, [](const dispatch::Target *Server) {
    return Server->EngineStage == dispatch::Stage::Prefill;
  });
  const auto End = m_Shared.Feedback.backoffs().firstEnd(Servers, Now);
  if (!End)
    return Planned;
  const Milliseconds Spread =
      Milliseconds(BackoffReturnSpread) * m_Shared.draw();
  return std::max(Planned, std::chrono::ceil<std::chrono::milliseconds>(
                               Milliseconds(*End) + Spread));
}

/// Whether there is a plan for the request that avoids this target, and is as
/// good as one for a new request.
bool RequestFlow::hasAlternative(const std::string &AvoidedTargetId,
                                 BootTime Now) {
  m_Excluded.push_back(AvoidedTargetId);
  const dispatch::Service *Service = engineService();
  const bool HasPlan =
      Service ? !std::holds_alternative<dispatch::Rejection>(
                    promptPlan(*Service, promptRequest(Now), Now))
              : !std::holds_alternative<dispatch::ServiceRejection>(
                    servicePlan(Now));
  m_Excluded.pop_back();
  return HasPlan;
}

dispatch::PromptRequest RequestFlow::promptRequest(BootTime Now) {
  dispatch::PromptRequest Request;
  Request.Input = *m_Fields.Prompt;
  Request.Service = m_Service;
  Request.AllowedPause = m_Route.EventGapTarget;
  Request.GenerationTime = generationTime();
  Request.LatencyTarget = m_Route.LatencyTarget;
  Request.TimeToLatencyTarget =
      std::max(Milliseconds(0), Milliseconds(m_Route.LatencyTarget) -
                                    Milliseconds(Now - m_Started));
  Request.TimeLeft = timeLeft(Now);
  if (const auto *Service = m_Configuration->service(m_Service))
    Request.EventGap = Service->ShortestEventGap;
  Request.ExpectedStartLag =
      m_Shared.StartLags.of(m_Service, m_Route.Name).current(Now);
  Request.EnginePriority = enginePriority(Now);
  Request.MaySpill =
      m_Shared.draw() < m_Shared.PrefillSpills[m_Service].share();
  Request.Excluded = excluded(Now);
  Request.Draw = m_Shared.draw();
  Request.MayUseEjected = mayUseEjected();
  return Request;
}

/// Priority at the engines of the service; empty if it is not sent.
std::optional<unsigned> RequestFlow::enginePriority(BootTime Now) const {
  const dispatch::Service *Service = engineService();
  if (!Service)
    return std::nullopt;
  return m_Shared.Priorities.of(*m_Configuration, *Service, m_Route,
                                m_Route.Priority, Now);
}

Milliseconds RequestFlow::generationTime() const {
  const auto Times = m_Shared.StreamTimes.find(m_Route.Name);
  return Times == m_Shared.StreamTimes.end()
             ? Milliseconds(0)
             : Times->second.mean(BootClock::now());
}

} // namespace figlift::gateway
