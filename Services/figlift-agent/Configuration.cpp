//===- Configuration.cpp - Keeps the configuration up to date -------------===//
//
// Entries usually push the configuration; the agent fetches what it missed.
//
//===----------------------------------------------------------------------===//

#include "Configuration.h"

#include "LibConfig/WireDelta.h"
#include "LibLog/Log.h"

#include <algorithm>
#include <utility>

namespace figlift::agent {

using namespace config::follower;

/// Requests that wait longer than this for their configuration are refused.
static constexpr std::chrono::milliseconds WaitTimeout{500};

/// Number of entries that a new agent queries for their whole configuration, of
/// which it keeps the newest. Querying all of several hundred entries would
/// transfer as many copies.
static constexpr size_t MaximumQueriedEntries = 4;

static config::FollowerOptions
followerOptions(const settings::AgentLimits &Limits) {
  config::FollowerOptions Options;
  Options.PollsStore = false;
  Options.IsolationBound = Limits.IsolationBound;
  return Options;
}

Configuration::Configuration(Context Shared, Dependencies Services,
                             Observers Callbacks)
    : m_Shared(Shared), m_Dependencies(Services),
      m_Observers(std::move(Callbacks)),
      m_Follower(followerOptions(Shared.Settings.Limits)),
      // Agents start at different entries, so that a restart of many agents
      // does not send all queries to the first entry of the list.
      m_NextEntry(std::hash<std::string>()(Shared.Settings.Process.Id)) {}

void Configuration::step(const Event &Event) {
  const auto Actions = m_Follower.step(Event, BootClock::now());
  for (const Action &Action : Actions)
    std::visit([this](const auto &Chosen) { perform(Chosen); }, Action);
}

void Configuration::tick() {
  step(Tick{});
  completePending();
}

void Configuration::onSync(const wire::SyncUp &Message) {
  step(ChangesPushed{config::fromSyncUp(Message)});
}

void Configuration::onConfiguration(StreamId Stream,
                                    const wire::ConfigurationRequest &Request) {
  const auto Current = inForce() ? inForce() : config::Snapshot::empty();
  m_Dependencies.Writer.send(
      Stream, config::toReply(Current->diffSince(Request.after_revision())));
  m_Dependencies.Writer.finish(Stream);
}

void Configuration::perform(const Publish &Action) {
  m_Shared.Events.record(
      timeline::kinds::RevisionInForce,
      {timeline::SubjectType::Process, m_Shared.Settings.Process.Id},
      {{"revision", Action.Next->revision()}});
  log::logEvent(log::Level::Info, "revision-in-force",
                {{"revision", Action.Next->revision()}});
  m_Observers.Changed();
  completePending();
}

void Configuration::perform(const ResumeServing &) {
  m_Observers.Serving(true);
}

void Configuration::perform(const StopServing &Action) {
  log::logEvent(log::Level::Warning, "configuration-too-old",
                {{"reason", config::stopReasonName(Action.Reason)}});
  m_Observers.Serving(false);
}

void Configuration::perform(const PollHead &) { step(StoreFailed{}); }

void Configuration::perform(const FetchChanges &) { step(StoreFailed{}); }

void Configuration::perform(const FetchFromPeers &Action) {
  const auto Entries = m_Dependencies.Peers.entries();
  // Posted, because the follower must not be called from within its step().
  if (Entries.empty())
    return m_Shared.Loop.post([this] { step(PeersFailed{}); });
  wire::ConfigurationRequest Request;
  Request.set_after_revision(Action.After);
  Request.set_sender(m_Shared.Settings.Process.Id);
  auto Round = std::make_shared<QueryRound>();
  Round->Unanswered =
      Action.AskAll ? std::min(MaximumQueriedEntries, Entries.size()) : 1;
  for (size_t Index = 0; Index < Round->Unanswered; ++Index)
    m_Dependencies.Client.query(
        Entries[(m_NextEntry + Index) % Entries.size()],
        wire::Method::Configuration, {Request.SerializeAsString()},
        [this, Round, After = Action.After](const auto &Answer) {
          answered(Round, After, Answer);
        });
}

void Configuration::answered(const std::shared_ptr<QueryRound> &Round,
                             uint64_t After,
                             const Result<std::string> &Answer) {
  wire::ConfigurationReply Reply;
  if (Answer && Reply.ParseFromString(Answer.value())) {
    auto Changes = config::fromReply(Reply, After);
    if (!Round->Newest || Changes.Head > Round->Newest->Head)
      Round->Newest = std::move(Changes);
  }
  if (--Round->Unanswered != 0)
    return;
  if (Round->Newest)
    return step(PeersFetched{*Round->Newest});
  m_NextEntry += MaximumQueriedEntries;
  step(PeersFailed{});
}

void Configuration::awaitRevision(uint64_t Revision,
                                  std::function<void(bool)> Done) {
  if (inForce() && Revision <= revision())
    return Done(true);
  m_Pending.push_back(
      {Revision, std::move(Done), BootClock::now() + WaitTimeout});
  step(RevisionSeen{Revision});
}

void Configuration::completePending() {
  if (m_Pending.empty())
    return;
  const BootTime Now = BootClock::now();
  for (PendingRequest &Pending : std::exchange(m_Pending, {})) {
    if (inForce() && Pending.Revision <= revision())
      Pending.Done(true);
    else if (Pending.Deadline <= Now)
      Pending.Done(false);
    else
      m_Pending.push_back(std::move(Pending));
  }
}

std::set<std::string> Configuration::leavingTargets() const {
  std::set<std::string> Targets;
  if (!inForce())
    return Targets;
  for (const config::SnapshotRecord *Target : inForce()->list("target"))
    if (inForce()->targetIntent(Target->Stored.Name) !=
        record::TargetIntent::Serve)
      Targets.insert(Target->Stored.Name);
  return Targets;
}

} // namespace figlift::agent
