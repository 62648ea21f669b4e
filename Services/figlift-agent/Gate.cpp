//===- Gate.cpp - The only way to the target ------------------------------===//
//
// Carries events into the admission machine and its actions out of it.
//
//===----------------------------------------------------------------------===//

#include "Gate.h"

namespace figlift::agent {

Gate::Gate(Context Shared)
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

void Gate::step(const admission::Event &What) {
  const auto Actions = m_Admission.step(What, BootClock::now());
  m_InFlight.store(inFlight(), std::memory_order_relaxed);
  for (const admission::Action &Next : Actions)
    std::visit([this](const auto &Which) { act(Which); }, Next);
}

std::optional<Gate::Decisions> Gate::take(const std::string &Id) {
  const auto Found = m_Waiting.find(Id);
  if (Found == m_Waiting.end())
    return std::nullopt;
  Decisions Taken = std::move(Found->second);
  m_Waiting.erase(Found);
  return Taken;
}

void Gate::act(const admission::Admit &What) {
  m_Admitted.add();
  if (const auto Taken = take(What.Id))
    Taken->Admitted();
}

void Gate::act(const admission::Refuse &What) {
  m_Refused.add();
  if (const auto Taken = take(What.Id))
    Taken->Refused({What.Code, What.RetryAfter});
}

void Gate::enter(WorkId Id, admission::Work Request, Decisions Then) {
  Request.Id = std::to_string(Id);
  m_Waiting[Request.Id] = std::move(Then);
  step(admission::RequestArrived{std::move(Request)});
}

void Gate::firstToken(WorkId Id, uint32_t CachedTokens) {
  step(admission::FirstToken{std::to_string(Id), CachedTokens});
}

void Gate::progress(WorkId Id, uint32_t Tokens) {
  step(admission::Progress{std::to_string(Id), Tokens});
}

void Gate::leave(WorkId Id) {
  const std::string Key = std::to_string(Id);
  m_Waiting.erase(Key);
  step(admission::RequestEnded{Key});
  m_OnLeave();
}

void Gate::setAccepting(bool Accepting, ResultCode Code) {
  step(admission::AcceptingChanged{Accepting, Code});
}

void Gate::configure(const admission::AdmissionSettings &Settings) {
  step(admission::SettingsChanged{Settings});
}

void Gate::tick() { step(admission::Tick{}); }

wire::Load Gate::load() const {
  const route::TargetLoad Now = m_Admission.load(BootClock::now());
  wire::Load Out;
  Out.set_prefill_tokens_waiting(Now.prefillTotal());
  Out.set_decode_tokens_waiting(Now.DecodeTokensWaiting);
  Out.set_offered_prefill_tokens(m_Admission.offeredPrefillTokens());
  Out.set_offered_decode_tokens(m_Admission.offeredDecodeTokens());
  Out.set_running_sequences(Now.RunningSequences);
  Out.set_waiting_requests(Now.WaitingRequests);
  Out.set_maximum_sequences(Now.MaximumSequences);
  Out.set_prefill_tokens_per_second(Now.PrefillTokensPerSecond);
  Out.set_decode_tokens_per_second(Now.DecodeTokensPerSecond);
  Out.set_accepting(m_Admission.accepting());
  return Out;
}

} // namespace figlift::agent
