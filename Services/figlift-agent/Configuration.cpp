//===- Configuration.cpp - Keeps the configuration up to date -------------===//
//
// Pushes of entries are the usual way; fetching is for what they miss.
//
//===----------------------------------------------------------------------===//

#include "Configuration.h"

#include "LibConfig/WireDelta.h"
#include "LibLog/Log.h"

#include <algorithm>
#include <utility>

namespace figlift::agent {

using namespace config::follower;

/// Work that waits longer for its configuration is refused.
static constexpr std::chrono::milliseconds WaitLimit{500};

/// Entries that a new agent asks for their whole configuration, of which it
/// takes the newest. All of some hundred entries would send it as many copies.
static constexpr size_t MaximumAsked = 4;

static config::FollowerOptions
makeOptions(const settings::AgentLimits &Limits) {
  config::FollowerOptions Options;
  Options.PollsStore = false;
  Options.IsolationBound = Limits.IsolationBound;
  return Options;
}

Configuration::Configuration(Context Shared, Parts Of, Observers Told)
    : m_Shared(Shared), m_Parts(Of), m_Told(std::move(Told)),
      m_Follower(makeOptions(Shared.Settings.Limits)),
      // In a restart storm all agents would ask the first entry of the list.
      m_NextEntry(std::hash<std::string>()(Shared.Settings.Process.Id)) {}

void Configuration::step(const Event &What) {
  const auto Actions = m_Follower.step(What, BootClock::now());
  for (const Action &Next : Actions)
    std::visit([this](const auto &Which) { act(Which); }, Next);
}

void Configuration::tick() {
  step(Tick{});
  endWaits();
}

void Configuration::onSync(const wire::SyncUp &Message) {
  step(ChangesPushed{config::fromSyncUp(Message)});
}

void Configuration::onConfiguration(StreamId Stream,
                                    const wire::ConfigurationRequest &Request) {
  const auto Held = inForce() ? inForce() : config::Snapshot::empty();
  m_Parts.Back.send(Stream,
                    config::toReply(Held->diffSince(Request.after_revision())));
  m_Parts.Back.finish(Stream);
}

void Configuration::act(const Publish &What) {
  m_Shared.Events.record(
      timeline::kinds::RevisionInForce,
      {timeline::SubjectType::Process, m_Shared.Settings.Process.Id},
      {{"revision", What.Next->revision()}});
  log::logEvent(log::Level::Info, "revision-in-force",
                {{"revision", What.Next->revision()}});
  m_Told.Changed();
  endWaits();
}

void Configuration::act(const ResumeServing &) { m_Told.Serving(true); }

void Configuration::act(const StopServing &What) {
  log::logEvent(log::Level::Warning, "configuration-too-old",
                {{"reason", config::stopReasonName(What.Reason)}});
  m_Told.Serving(false);
}

void Configuration::act(const PollHead &) { step(StoreFailed{}); }

void Configuration::act(const FetchChanges &) { step(StoreFailed{}); }

void Configuration::act(const FetchFromPeers &What) {
  const auto Entries = m_Parts.Peers.entries();
  // Told by the next turn of the loop: the machine is in the middle of a step.
  if (Entries.empty())
    return m_Shared.Decisions.post([this] { step(PeersFailed{}); });
  wire::ConfigurationRequest Request;
  Request.set_after_revision(What.After);
  Request.set_sender(m_Shared.Settings.Process.Id);
  auto Of = std::make_shared<Round>();
  Of->Missing = What.AskAll ? std::min(MaximumAsked, Entries.size()) : 1;
  for (size_t Asked = 0; Asked < Of->Missing; ++Asked)
    m_Parts.Client.ask(Entries[(m_NextEntry + Asked) % Entries.size()],
                       wire::Method::Configuration,
                       {Request.SerializeAsString()},
                       [this, Of, After = What.After](const auto &Answer) {
                         answered(Of, After, Answer);
                       });
}

void Configuration::answered(const std::shared_ptr<Round> &Of, uint64_t After,
                             const Result<std::string> &Answer) {
  wire::ConfigurationReply Reply;
  if (Answer && Reply.ParseFromString(Answer.value())) {
    auto Changes = config::fromReply(Reply, After);
    if (!Of->Newest || Changes.Head > Of->Newest->Head)
      Of->Newest = std::move(Changes);
  }
  if (--Of->Missing != 0)
    return;
  if (Of->Newest)
    return step(PeersFetched{*Of->Newest});
  m_NextEntry += MaximumAsked;
  step(PeersFailed{});
}

void Configuration::require(uint64_t Revision, std::function<void(bool)> Then) {
  if (inForce() && Revision <= revision())
    return Then(true);
  m_Waiting.push_back(
      {Revision, std::move(Then), BootClock::now() + WaitLimit});
  step(RevisionSeen{Revision});
}

void Configuration::endWaits() {
  if (m_Waiting.empty())
    return;
  const BootTime Now = BootClock::now();
  for (Waiting &Waiter : std::exchange(m_Waiting, {})) {
    if (inForce() && Waiter.Revision <= revision())
      Waiter.Then(true);
    else if (Waiter.Until <= Now)
      Waiter.Then(false);
    else
      m_Waiting.push_back(std::move(Waiter));
  }
}

std::set<std::string> Configuration::leavingTargets() const {
  std::set<std::string> Out;
  if (!inForce())
    return Out;
  for (const config::SnapshotRecord *Target : inForce()->list("target"))
    if (inForce()->targetIntent(Target->Stored.Name) !=
        record::TargetIntent::Serve)
      Out.insert(Target->Stored.Name);
  return Out;
}

} // namespace figlift::agent
