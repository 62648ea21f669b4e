//===- Agent.cpp - Requests of peers and the state of the target ----------===//
//
// Construction is in AgentParts.cpp, the end in AgentStop.cpp.
//
//===----------------------------------------------------------------------===//

#include "Agent.h"

#include "LibLog/Log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace figlift::agent {

/// How soon a caller may ask again when the configuration was behind.
static constexpr std::chrono::milliseconds StaleRetry{100};
static constexpr std::chrono::milliseconds RefusedRetry{500};
static constexpr size_t ReportedPrefixes = 64;

void Agent::onRun(StreamId Stream, wire::RunRequest Request) {
  const uint64_t Revision = Request.revision();
  m_Configuration->require(
      Revision, [this, Stream, Request = std::move(Request)](bool InForce) {
        if (InForce)
          return dispatch(Stream, Request);
        m_Answering->finish(
            {Stream, Request.request_id(), Request.attempt_id()},
            Error{ResultCode::StaleConfiguration,
                  "the sender's configuration could not be had",
                  {},
                  StaleRetry});
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
  // The caller may have left while the request waited for a newer
  // configuration; its end was told already, so nothing would clean up.
  if (!m_Server->isOpen(Stream))
    return;
  const Reader From{Stream, Request.request_id(), Request.attempt_id()};
  if (misdirected(Request))
    return m_Answering->finish(From, Error{ResultCode::UnknownBackEnd,
                                           "another back end is served here",
                                           "backEnd", std::nullopt});
  m_Shared.Events.record(timeline::kinds::RequestAccepted,
                         {timeline::SubjectType::Request, Request.request_id()},
                         {{"attempt", Request.attempt_id()}},
                         timeline::Stamp{Request.clock()});
  if (m_Completions) {
    if (!m_Standing.accepting())
      return m_Answering->finish(From, Error{m_Standing.refusalCode(),
                                             "no new work is taken",
                                             {},
                                             RefusedRetry});
    return m_Completions->run(Stream, std::move(Request));
  }
  // A key that was used before is answered also while draining: the home
  // machine decides, and the gate refuses what would be new work.
  const std::string Key = Request.idempotency_key();
  if (Key.empty())
    return m_Calls->run(Stream, std::move(Request));
  const uint64_t Epoch = Request.slice_epoch();
  m_Slices->hint(Key, Epoch,
                 [this, Stream, Request = std::move(Request)]() mutable {
                   if (m_Server->isOpen(Stream))
                     m_Calls->run(Stream, std::move(Request));
                 });
}

void Agent::onResume(StreamId Stream, wire::ResumeRequest Request) {
  if (m_Completions)
    return m_Completions->resume(Stream, Request);
  m_Answering->finish({Stream, Request.request_id(), Request.attempt_id()},
                      Error{ResultCode::AnswerNoLongerHeld,
                            "a service's answers are not held",
                            {},
                            std::nullopt});
}

void Agent::onOrder(StreamId Stream, wire::OrderRequest Request) {
  if (m_Orders)
    return m_Orders->onOrder(Stream, Request);
  wire::OrderReply Reply;
  Reply.set_code(static_cast<uint32_t>(ResultCode::OrderRejectedByTarget));
  Reply.set_message("a plain service takes no orders");
  Reply.set_state("refused");
  m_Server->send(Stream, Reply);
  m_Server->finish(Stream);
}

void Agent::onSync(StreamId Stream, wire::SyncUp Message) {
  m_Configuration->onSync(Message);
  m_Syncs->opened(Stream);
}

void Agent::onDrain(StreamId Stream, wire::DrainRequest Request) {
  if (Request.target() != m_Shared.Settings.Process.Id) {
    wire::DrainReply Reply;
    Reply.set_code(static_cast<uint32_t>(ResultCode::InvalidInput));
    Reply.set_message("another target is served here");
    m_Server->send(Stream, Reply);
    return m_Server->finish(Stream);
  }
  m_RecordAtPeerRequest = recordRevision();
  setReason(DrainReason::PeerRequest, !Request.undo());
  m_Drains.push_back(Stream);
  answerDrains();
}

void Agent::answerDrains() {
  const size_t Left = unfinished();
  if (m_Drains.empty() || (m_Standing.draining() && Left != 0))
    return;
  wire::DrainReply Reply;
  Reply.set_requests_in_flight(Left);
  Reply.set_clock(m_Shared.Events.clockToSend());
  for (const StreamId Stream : std::exchange(m_Drains, {})) {
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
  m_Syncs->ended(Stream);
  std::erase(m_Drains, Stream);
  if (m_Completions)
    m_Completions->streamEnded(Stream, End);
  if (m_Calls)
    m_Calls->streamEnded(Stream);
}

size_t Agent::unfinished() const {
  // Completions at the engine are also among the undelivered answers.
  return m_Completions ? m_Gate->queued() + m_Completions->undelivered()
                       : m_Gate->inFlight();
}

void Agent::setReason(DrainReason Why, bool On) {
  const bool Before = m_Standing.draining();
  m_Standing.set(Why, On);
  if (Before == m_Standing.draining())
    return;
  // Slices are handed to homes of the list.
  if (!Before)
    m_Fleet->refresh();
  const auto Kind =
      Before ? timeline::kinds::DrainUndone : timeline::kinds::DrainStarted;
  m_Shared.Events.record(
      Kind, {timeline::SubjectType::Target, m_Shared.Settings.Process.Id},
      {{"reason", static_cast<int>(Why)}});
  standingChanged();
}

void Agent::standingChanged() {
  if (m_Slices)
    m_Slices->setTaking(!m_Standing.draining());
  m_Gate->setAccepting(m_Standing.accepting(), m_Standing.refusalCode());
  m_Syncs->tick();
  publish();
}

uint64_t Agent::recordRevision() const {
  const auto &Now = m_Configuration->inForce();
  const config::SnapshotRecord *Record =
      Now ? Now->find("target", m_Shared.Settings.Process.Id) : nullptr;
  return Record ? Record->Stored.Revision : 0;
}

void Agent::configurationChanged() {
  const config::Snapshot &Now = *m_Configuration->inForce();
  setReason(DrainReason::OperatorRecord,
            Now.targetIntent(m_Shared.Settings.Process.Id) !=
                record::TargetIntent::Serve);
  // An entry passes an operator's drain on when the table does not take it.
  // Without this the target would stay drained after an operator's "undrain":
  // the later record takes the place of the wish that was never recorded.
  if (recordRevision() > m_RecordAtPeerRequest)
    setReason(DrainReason::PeerRequest, false);
  admission::AdmissionSettings Settings;
  Settings.MaximumSequences = m_Shared.Settings.Limits.RequestsInFlight;
  if (const auto *BackEnd = Now.backEnd(m_Shared.Settings.Target.BackEnd))
    for (const auto &[Class, Limits] : BackEnd->Classes)
      Settings.Classes[static_cast<size_t>(Class)].MaximumQueuedTokens =
          Limits.MaximumQueuedTokens;
  m_Gate->configure(Settings);
  m_Syncs->tick();
}

/// As the planner compares it with the record: an adapter that is left out
/// here is ordered again and again.
static std::string reportedName(const order::LoadedModel &Model) {
  const std::string Name = Model.Model + "@" + Model.Version;
  return Model.Adapter.empty() ? Name : Name + "+" + Model.Adapter;
}

wire::Load Agent::load() const {
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

wire::SyncDown Agent::report() const {
  wire::SyncDown Out;
  Out.set_target(m_Shared.Settings.Process.Id);
  Out.set_back_end(m_Shared.Settings.Target.BackEnd);
  Out.set_zone(m_Shared.Settings.Process.Zone);
  Out.set_revision_in_force(m_Configuration->revision());
  *Out.mutable_load() = load();
  const size_t Left = unfinished();
  Out.set_state(std::string(m_Standing.name(Left)));
  Out.set_requests_in_flight(Left);
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
  const wire::SyncDown Report = report();
  nlohmann::json Json{{"target", Report.target()},
                      {"backEnd", Report.back_end()},
                      {"zone", Report.zone()},
                      {"state", Report.state()},
                      {"accepting", Report.load().accepting()},
                      {"role", Report.load().role()},
                      {"revision", Report.revision_in_force()},
                      {"requestsInFlight", Report.requests_in_flight()},
                      {"atTarget", m_Gate->atTarget()},
                      {"entries", m_Syncs->entries()},
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
  Snapshot New;
  New.Json = Json.dump();
  if (m_Standing.accepting())
    New.NotReady.reset();
  else
    New.NotReady =
        Error{m_Standing.refusalCode(), Report.state(), {}, std::nullopt};
  m_Snapshots.publish(std::move(New));
}

} // namespace figlift::agent
