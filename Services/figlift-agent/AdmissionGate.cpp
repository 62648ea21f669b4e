//===- AdmissionGate.cpp - Admission control of the target ----------------===//
//
// Passes events to the admission state machine and executes its actions.
//
//===----------------------------------------------------------------------===//

#include "AdmissionGate.h"

namespace figlift::agent {

AdmissionGate::AdmissionGate(Context Shared)
    : m_Shared(Shared),
      m_Admitted(Shared.Metrics.counter("agent_work_admitted_total",
                                        "Requests handed to the target.")),
      m_Refused(Shared.Metrics.counter(
          "agent_work_refused_total",
          "Requests refused before they were handed to the target.")) {
  Shared.Metrics.registerGauge(
      "agent_requests_in_flight",
      "Requests queued or at the target, as last seen.",
      [this] { return double(m_InFlight.load()); });
}

void AdmissionGate::step(const admission::Event &Event) {
  const auto Actions = m_Admission.step(Event, BootClock::now());
  m_InFlight.store(inFlight(), std::memory_order_relaxed);
  for (const admission::Action &Action : Actions)
    std::visit([this](const auto &Chosen) { perform(Chosen); }, Action);
}

std::optional<AdmissionGate::Callbacks>
AdmissionGate::takeCallbacks(const std::string &Id) {
  const auto Found = m_Undecided.find(Id);
  if (Found == m_Undecided.end())
    return std::nullopt;
  Callbacks Result = std::move(Found->second);
  m_Undecided.erase(Found);
  return Result;
}

void AdmissionGate::perform(const admission::Admit &Action) {
  m_Admitted.add();
  if (const auto Decided = takeCallbacks(Action.Id))
    Decided->OnAdmitted();
}

void AdmissionGate::perform(const admission::Refuse &Action) {
  m_Refused.add();
  if (const auto Decided = takeCallbacks(Action.Id))
    Decided->OnRefused({Action.Code, Action.RetryAfter});
}

void AdmissionGate::enter(WorkId Id, admission::Work Request,
                          Callbacks Handlers) {
  Request.Id = std::to_string(Id);
  m_Undecided[Request.Id] = std::move(Handlers);
  step(admission::RequestArrived{std::move(Request)});
}

void AdmissionGate::firstToken(WorkId Id, uint32_t CachedTokens) {
  step(admission::FirstToken{std::to_string(Id), CachedTokens});
}

void AdmissionGate::progress(WorkId Id, uint32_t Tokens) {
  step(admission::Progress{std::to_string(Id), Tokens});
}

void AdmissionGate::leave(WorkId Id) {
  const std::string WorkName = std::to_string(Id);
  m_Undecided.erase(WorkName);
  step(admission::RequestEnded{WorkName});
  m_OnLeave();
}

void AdmissionGate::setAccepting(bool Accepting, ResultCode Code) {
  step(admission::AcceptingChanged{Accepting, Code});
}

void AdmissionGate::configure(const admission::AdmissionSettings &Settings) {
  step(admission::SettingsChanged{Settings});
}

void AdmissionGate::tick() { step(admission::Tick{}); }

wire::Load AdmissionGate::load() const {
  const route::TargetLoad Load = m_Admission.load(BootClock::now());
  wire::Load Result;
  Result.set_prefill_tokens_waiting(Load.prefillTotal());
  Result.set_decode_tokens_waiting(Load.DecodeTokensWaiting);
  Result.set_offered_prefill_tokens(m_Admission.offeredPrefillTokens());
  Result.set_offered_decode_tokens(m_Admission.offeredDecodeTokens());
  Result.set_running_sequences(Load.RunningSequences);
  Result.set_waiting_requests(Load.WaitingRequests);
  Result.set_maximum_sequences(Load.MaximumSequences);
  Result.set_prefill_tokens_per_second(Load.PrefillTokensPerSecond);
  Result.set_decode_tokens_per_second(Load.DecodeTokensPerSecond);
  Result.set_accepting(m_Admission.accepting());
  return Result;
}

} // namespace figlift::agent
