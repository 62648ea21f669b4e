//===- Agent.cpp - Requests from peers and the state of the target --------===//
//
// Construction is in AgentSetup.cpp, shutdown in AgentStop.cpp.
//
//===----------------------------------------------------------------------===//

#include "Agent.h"

#include "LibLog/Log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace figlift::agent {

/// Retry-After of a request whose configuration revision did not arrive.
static constexpr std::chrono::milliseconds StaleRetryAfter{100};
/// Retry-After while this target accepts no new work.
static constexpr std::chrono::milliseconds NotAcceptingRetryAfter{500};
static constexpr size_t ReportedPrefixes = 64;

void Agent::onRun(StreamId Stream, wire::RunRequest Request) {
  const uint64_t Revision = Request.revision();
  m_Configuration->awaitRevision(
      Revision, [this, Stream, Request = std::move(Request)](bool InForce) {
        if (InForce)
          return dispatch(Stream, Request);
        m_Frames->finish(
            {Stream, Request.request_id(), Request.attempt_id()},
            Error{ResultCode::StaleConfiguration,
                  "the configuration revision of the request is not in force "
                  "at this agent",
                  {},
                  StaleRetryAfter});
      });
}

bool Agent::misdirected(const wire::RunRequest &Request) const {
  const bool ForEngine = Request.has_completion();
  const bool ForService = Request.has_service_call();
  return Request.back_end() != m_Shared.Settings.Target.BackEnd ||
         (ForEngine && !m_Completions) || (ForService && !m_Calls) ||
         (!ForEngine && !ForService);
}

void Agent::dispatch(StreamId Stream, wire::RunRequest Request) {
  // The caller may have disconnected while the request waited for a newer
  // configuration. onStreamEnd() has been called then, so state created from
  // here on would never be released.
  if (!m_Server->isOpen(Stream))
    return;
  const AttemptStream Attempt{Stream, Request.request_id(),
                              Request.attempt_id()};
  if (misdirected(Request))
    return m_Frames->finish(Attempt, Error{ResultCode::UnknownBackEnd,
                                           "this agent serves another back end",
                                           "backEnd", std::nullopt});
  m_Shared.Events.record(timeline::kinds::RequestAccepted,
                         {timeline::SubjectType::Request, Request.request_id()},
                         {{"attempt", Request.attempt_id()}},
                         timeline::Stamp{Request.clock()});
  if (m_Completions) {
    if (!m_Availability.accepting())
      return m_Frames->finish(Attempt, Error{m_Availability.refusalCode(),
                                             "this target accepts no new work",
                                             {},
                                             NotAcceptingRetryAfter});
    return m_Completions->run(Stream, std::move(Request));
  }
  // Calls with a known key are answered even while draining: the home's
  // state machine (HomeMachine) replays their answers, and the admission gate
  // refuses new work.
  const std::string Key = Request.idempotency_key();
  if (Key.empty())
    return m_Calls->run(Stream, std::move(Request));
  const uint64_t Epoch = Request.slice_epoch();
  m_Slices->awaitEpoch(Key, Epoch,
                       [this, Stream, Request = std::move(Request)]() mutable {
                         if (m_Server->isOpen(Stream))
                           m_Calls->run(Stream, std::move(Request));
                       });
}

void Agent::onResume(StreamId Stream, wire::ResumeRequest Request) {
  if (m_Completions)
    return m_Completions->resume(Stream, Request);
  m_Frames->finish({Stream, Request.request_id(), Request.attempt_id()},
                   Error{ResultCode::AnswerNoLongerHeld,
                         "answers of a service cannot be resumed",
                         {},
                         std::nullopt});
}

void Agent::onOrder(StreamId Stream, wire::OrderRequest Request) {
  if (m_Orders)
    return m_Orders->onOrder(Stream, Request);
  wire::OrderReply Reply;
  Reply.set_code(static_cast<uint32_t>(ResultCode::OrderRejectedByTarget));
  Reply.set_message("this target is a plain service, which has no orders");
  Reply.set_state("refused");
  m_Server->send(Stream, Reply);
  m_Server->finish(Stream);
}

void Agent::onSync(StreamId Stream, wire::SyncUp Message) {
  m_Configuration->onSync(Message);
  m_SyncReporter->opened(Stream);
}

void Agent::onDrain(StreamId Stream, wire::DrainRequest Request) {
  if (Request.target() != m_Shared.Settings.Process.Id) {
    wire::DrainReply Reply;
    Reply.set_code(static_cast<uint32_t>(ResultCode::InvalidInput));
    Reply.set_message("this agent serves another target");
    m_Server->send(Stream, Reply);
    return m_Server->finish(Stream);
  }
  m_RecordRevisionAtPeerDrain = recordRevision();
  setDrainReason(DrainReason::PeerRequest, !Request.undo());
  m_DrainStreams.push_back(Stream);
  answerDrains();
}

void Agent::answerDrains() {
  const size_t Unfinished = unfinishedRequests();
  if (m_DrainStreams.empty() || (m_Availability.draining() && Unfinished != 0))
    return;
  wire::DrainReply Reply;
  Reply.set_requests_in_flight(Unfinished);
  Reply.set_clock(m_Shared.Events.clockToSend());
  for (const StreamId Stream : std::exchange(m_DrainStreams, {})) {
    m_Server->send(Stream, Reply);
    m_Server->finish(Stream);
  }
}

void Agent::onHandover(StreamId Stream, wire::HandoverRequest Request) {
  if (m_Slices)
    return m_Slices->onHandover(Stream, Request);
  m_Server->cancel(Stream);
}

void Agent::onConfiguration(StreamId Stream,
                            wire::ConfigurationRequest Request) {
  m_Configuration->onConfiguration(Stream, Request);
}

void Agent::onStreamEnd(StreamId Stream, wire::StreamEnd End) {
  m_SyncReporter->ended(Stream);
  std::erase(m_DrainStreams, Stream);
  if (m_Completions)
    m_Completions->streamEnded(Stream, End);
  if (m_Calls)
    m_Calls->streamEnded(Stream);
}

size_t Agent::unfinishedRequests() const {
  // undelivered() includes the completions that are at the engine.
  return m_Completions ? m_Gate->queued() + m_Completions->undelivered()
                       : m_Gate->inFlight();
}

void Agent::setDrainReason(DrainReason Reason, bool Active) {
  const bool WasDraining = m_Availability.draining();
  m_Availability.setDrainReason(Reason, Active);
  if (WasDraining == m_Availability.draining())
    return;
  // A drain hands slices over to homes on the platform's list, so read it now.
  if (!WasDraining)
    m_Fleet->refresh();
  const auto Kind = WasDraining ? timeline::kinds::DrainUndone
                                : timeline::kinds::DrainStarted;
  m_Shared.Events.record(
      Kind, {timeline::SubjectType::Target, m_Shared.Settings.Process.Id},
      {{"reason", static_cast<int>(Reason)}});
  availabilityChanged();
}

void Agent::availabilityChanged() {
  if (m_Slices)
    m_Slices->setAcceptingSlices(!m_Availability.draining());
  m_Gate->setAccepting(m_Availability.accepting(),
                       m_Availability.refusalCode());
  m_SyncReporter->tick();
  publish();
}

uint64_t Agent::recordRevision() const {
  const auto &Configuration = m_Configuration->inForce();
  const config::SnapshotRecord *Record =
      Configuration
          ? Configuration->find("target", m_Shared.Settings.Process.Id)
          : nullptr;
  return Record ? Record->Stored.Revision : 0;
}

void Agent::configurationChanged() {
  const config::Snapshot &Configuration = *m_Configuration->inForce();
  setDrainReason(DrainReason::OperatorRecord,
                 Configuration.targetIntent(m_Shared.Settings.Process.Id) !=
                     record::TargetIntent::Serve);
  // An entry sends an operator's drain directly when the table cannot record
  // it. A record that is newer than that request replaces it; otherwise the
  // target would stay drained after the operator's "undrain".
  if (recordRevision() > m_RecordRevisionAtPeerDrain)
    setDrainReason(DrainReason::PeerRequest, false);
  admission::AdmissionSettings Settings;
  Settings.MaximumSequences = m_Shared.Settings.Limits.RequestsInFlight;
  if (const auto *BackEnd =
          Configuration.backEnd(m_Shared.Settings.Target.BackEnd))
    for (const auto &[Class, Limits] : BackEnd->Classes)
      Settings.Classes[static_cast<size_t>(Class)].MaximumQueuedTokens =
          Limits.MaximumQueuedTokens;
  m_Gate->configure(Settings);
  m_SyncReporter->tick();
}

/// Name of the model as the planner compares it with the target's record. It
/// has to include the adapter: otherwise the planner orders the adapter to be
/// loaded again and again.
static std::string reportedName(const order::LoadedModel &Model) {
  const std::string Name = Model.Model + "@" + Model.Version;
  return Model.Adapter.empty() ? Name : Name + "+" + Model.Adapter;
}

wire::Load Agent::currentLoad() const {
  wire::Load Out = m_Gate->load();
  Out.set_kv_tokens_free(m_KvTokensFree);
  if (!m_Orders) {
    Out.set_role("service");
    return Out;
  }
  if (const auto &Engine = m_Orders->engine()) {
    Out.set_role(Engine->Role);
    for (const order::LoadedModel &Model : Engine->Models)
      Out.add_models(reportedName(Model));
  } else {
    Out.set_accepting(false);
  }
  return Out;
}

wire::SyncDown Agent::createReport() const {
  wire::SyncDown Out;
  Out.set_target(m_Shared.Settings.Process.Id);
  Out.set_back_end(m_Shared.Settings.Target.BackEnd);
  Out.set_zone(m_Shared.Settings.Process.Zone);
  Out.set_revision_in_force(m_Configuration->revision());
  *Out.mutable_load() = currentLoad();
  const size_t Unfinished = unfinishedRequests();
  Out.set_state(std::string(m_Availability.stateName(Unfinished)));
  Out.set_requests_in_flight(Unfinished);
  for (const uint64_t Hash : m_Prefixes.recent(ReportedPrefixes))
    Out.add_prefix_hashes(Hash);
  if (m_Slices)
    for (const wire::SliceGrant &Grant : m_Slices->held())
      *Out.add_slices() = Grant;
  if (m_Orders) {
    Out.set_highest_epoch(m_Orders->highestEpoch());
    Out.set_order_id(m_Orders->currentOrder());
  }
  return Out;
}

void Agent::publish() {
  const wire::SyncDown Report = createReport();
  nlohmann::json Json{{"target", Report.target()},
                      {"backEnd", Report.back_end()},
                      {"zone", Report.zone()},
                      {"state", Report.state()},
                      {"accepting", Report.load().accepting()},
                      {"role", Report.load().role()},
                      {"revision", Report.revision_in_force()},
                      {"requestsInFlight", Report.requests_in_flight()},
                      {"atTarget", m_Gate->atTarget()},
                      {"entries", m_SyncReporter->entries()},
                      {"highestEpoch", Report.highest_epoch()},
                      {"orderId", Report.order_id()}};
  Json["models"] = std::vector<std::string>(Report.load().models().begin(),
                                            Report.load().models().end());
  if (m_Completions) {
    Json["heldAnswers"] = m_Completions->heldAnswers();
    Json["heldBytes"] = m_Completions->heldBytes();
  }
  if (m_Calls) {
    Json["claims"] = m_Calls->home().claimCount();
    Json["openCalls"] = m_Calls->home().openCalls();
    Json["slices"] = Report.slices_size();
  }
  Snapshot Published;
  Published.Json = Json.dump();
  if (m_Availability.accepting())
    Published.NotReady.reset();
  else
    Published.NotReady =
        Error{m_Availability.refusalCode(), Report.state(), {}, std::nullopt};
  m_Snapshots.publish(std::move(Published));
}

} // namespace figlift::agent
