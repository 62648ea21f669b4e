//===- Fleet.cpp - Connections to the targets -----------------------------===//
//
// See Fleet.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Fleet.h"

#include "figlift-entry/LoadMessage.h"

#include "LibConfig/WireDelta.h"
#include "LibMetrics/ProcessMetrics.h"
#include "LibRoute/Subset.h"

#include <algorithm>
#include <utility>

namespace figlift::entry {

using timeline::SubjectType;

namespace {

/// Number of other entries to stay connected to. The configuration is fetched
/// from them while the platform is unreachable.
constexpr size_t MaximumPeers = 6;

membership::Options membershipOptions(const settings::EntrySettings &Settings) {
  return {.EntryId = Settings.Process.Id,
          .Zone = Settings.Process.Zone,
          .Region = Settings.Process.Region,
          .TargetsPerBackEnd = Settings.Limits.TargetsPerBackEnd};
}

} // namespace

Fleet::Fleet(Dependencies Services)
    : m_Dependencies(Services),
      m_Membership(membershipOptions(Services.Settings)),
      m_Random(route::rendezvousKey(Services.Settings.Process.Id)) {}

void Fleet::start(PeersObserver OnPeers, RevisionObserver OnRevision) {
  m_OnPeers = std::move(OnPeers);
  m_OnRevision = std::move(OnRevision);
  pollList();
}

void Fleet::stop() {
  m_Stopped = true;
  m_Links.clear();
}

std::chrono::milliseconds Fleet::jittered(std::chrono::milliseconds Mean) {
  // Spreads the polls of entries that started at the same time.
  std::uniform_real_distribution<double> Factor(0.75, 1.25);
  return std::chrono::milliseconds(static_cast<int64_t>(
      static_cast<double>(Mean.count()) * Factor(m_Random)));
}

void Fleet::pollList() {
  if (m_Stopped)
    return;
  m_Dependencies.List.list([this](Result<std::vector<platform::Vm>> VmList) {
    m_Dependencies.Control.post([this, VmList = std::move(VmList)]() mutable {
      onList(std::move(VmList));
    });
  });
}

void Fleet::onList(Result<std::vector<platform::Vm>> VmList) {
  const metrics::ControlCpuScope Cost(
      metrics::controlCpuSeconds(m_Dependencies.Metrics));
  if (VmList) {
    recordListedIds(VmList.value());
    step(membership::VmListRead{std::move(VmList.value())});
  }
  schedulePublish();
  m_Dependencies.Control.after(
      jittered(m_Dependencies.Settings.Platform.VmListInterval),
      [this] { pollList(); });
}

void Fleet::recordListedIds(const std::vector<platform::Vm> &Listed) {
  if (Listed.empty())
    return;
  m_ListedIds.clear();
  for (const platform::Vm &Vm : Listed)
    if (Vm.State != platform::VmState::Gone)
      m_ListedIds.insert(Vm.Id);
}

const Fleet::LastReport *Fleet::lastReport(const std::string &Target) const {
  const auto Iterator = m_Reports.find(Target);
  return Iterator == m_Reports.end() ? nullptr : &Iterator->second;
}

std::shared_ptr<wire::Channel>
Fleet::channelTo(const std::string &Target) const {
  const auto Iterator = m_Links.find(Target);
  return Iterator == m_Links.end() ? nullptr
                                   : Iterator->second.Link->sharedChannel();
}

void Fleet::setPlanned(std::set<std::string> BackEnds) {
  step(membership::PlannedBackEndsChanged{std::move(BackEnds)});
}

void Fleet::step(const membership::Event &Event) {
  for (const membership::Action &Next :
       m_Membership.step(Event, BootClock::now()))
    std::visit([this](const auto &Action) { perform(Action); }, Next);
}

void Fleet::perform(const membership::Connect &Action) {
  const std::string Id = Action.Target.Id;
  const uint64_t Generation = ++m_LastGeneration;
  TargetLink::Observer Callbacks;
  Callbacks.OnConnection = [this, Id, Generation](bool Up) {
    m_Dependencies.Control.post(
        [this, Id, Generation, Up] { onConnection(Id, Generation, Up); });
  };
  Callbacks.OnReport = [this, Id, Generation](const wire::SyncDown &Report) {
    m_Dependencies.Control.post(
        [this, Id, Generation, Report] { onReport(Id, Generation, Report); });
  };
  m_Links[Id] = {
      TargetLink::connect(Action.Target,
                          {m_Dependencies.Transport, m_Dependencies.Events,
                           m_InFlight.gauge(Id), m_Health.health(Id)},
                          std::move(Callbacks)),
      Generation};
}

void Fleet::perform(const membership::Disconnect &Action) {
  m_Links.erase(Action.Target);
  m_Reports.erase(Action.Target);
  m_Health.remove(Action.Target);
}

void Fleet::perform(const membership::NotifyLeaving &Action) {
  if (const auto Iterator = m_Links.find(Action.Target);
      Iterator != m_Links.end())
    Iterator->second.Link->requestDrain(
        "the platform's list says that the VM is leaving");
}

/// Selects a bounded number of peers. In a full mesh of 200 entries, heartbeats
/// alone would exceed the control traffic budget of an entry.
std::vector<platform::Vm>
Fleet::selectPeers(std::vector<platform::Vm> Peers) const {
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(MaximumPeers, Peers.size()));
  const auto Weight = [this](const platform::Vm &Peer) {
    return route::rendezvousKey(m_Dependencies.Settings.Process.Id + "\n" +
                                Peer.Id);
  };
  std::ranges::partial_sort(Peers, Peers.begin() + Count, {}, Weight);
  Peers.resize(static_cast<size_t>(Count));
  return Peers;
}

void Fleet::perform(const membership::PeersChanged &Action) {
  std::vector<Endpoint> Endpoints = m_Dependencies.Settings.Peers;
  for (const platform::Vm &Peer : selectPeers(Action.Peers))
    Endpoints.push_back(Peer.Peer);
  m_OnPeers(std::move(Endpoints));
}

void Fleet::perform(const membership::RoutingChanged &) { schedulePublish(); }

void Fleet::onConnection(const std::string &Target, uint64_t Generation,
                         bool Up) {
  const auto Iterator = m_Links.find(Target);
  if (m_Stopped || Iterator == m_Links.end() ||
      Iterator->second.Generation != Generation)
    return;
  m_Dependencies.Events.record(Up ? timeline::kinds::PeerUp
                                  : timeline::kinds::PeerDown,
                               {SubjectType::Target, Target});
  log::logEvent(log::Level::Info, Up ? "target-connected" : "target-lost",
                {{"target", Target}});
  m_Reports.erase(Target);
  step(membership::ConnectionChanged{Target, Up});
  if (Up && m_Configuration)
    openSync(*Iterator->second.Link);
}

void Fleet::openSync(TargetLink &Link) {
  // Starts with the full configuration: the agent may have none, and sends no
  // report before it receives the first message.
  Link.openSync(syncMessage(0));
}

wire::SyncUp Fleet::syncMessage(uint64_t After) {
  wire::SyncUp Message = config::toSyncUp(m_Configuration->diffSince(After),
                                          m_Dependencies.Settings.Process.Id);
  Message.set_clock(m_Dependencies.Events.clockToSend());
  return Message;
}

void Fleet::onReport(const std::string &Target, uint64_t Generation,
                     const wire::SyncDown &Report) {
  const metrics::ControlCpuScope Cost(
      metrics::controlCpuSeconds(m_Dependencies.Metrics));
  const auto Iterator = m_Links.find(Target);
  if (m_Stopped || Iterator == m_Links.end() ||
      Iterator->second.Generation != Generation)
    return;
  m_OnRevision(Report.revision_in_force());
  learnSlices(Target, Report);
  LastReport &Last = m_Reports[Target];
  wire::SyncDown Complete = Report;
  if (Report.prefixes_unchanged())
    *Complete.mutable_prefix_hashes() = Last.Message.prefix_hashes();
  Last = {std::move(Complete), BootClock::now()};
  step(membership::ReportReceived{Target, reportFromWire(Last.Message)});
}

void Fleet::learnSlices(const std::string &Target,
                        const wire::SyncDown &Report) {
  if (Report.slices().empty())
    return;
  idempotency::HomeDirectory &Homes = m_Homes[Report.back_end()];
  bool Changed = false;
  for (const wire::SliceGrant &Grant : Report.slices())
    if (Grant.slice() < idempotency::SliceCount)
      Changed |= Homes.learn(Grant.slice(), {Target, Grant.epoch()});
  if (Changed)
    schedulePublish();
}

void Fleet::learnHomes(const std::string &BackEnd,
                       const idempotency::GrantTable &Grants) {
  if (m_Homes[BackEnd].learn(Grants))
    schedulePublish();
}

void Fleet::setConfiguration(config::SnapshotPointer Next) {
  const config::SnapshotPointer Previous =
      std::exchange(m_Configuration, std::move(Next));
  const uint64_t Revision = m_Configuration->revision();
  m_Dependencies.Events.record(
      timeline::kinds::RevisionInForce,
      {SubjectType::Process, m_Dependencies.Settings.Process.Id},
      {{"revision", Revision}});
  log::logEvent(log::Level::Info, "revision-in-force",
                {{"revision", Revision}});
  membership::DesiredStatesRead DesiredStates;
  for (const config::SnapshotRecord *Item : m_Configuration->list("target"))
    DesiredStates.DesiredStates[Item->Stored.Name] =
        m_Configuration->targetIntent(Item->Stored.Name);
  step(DesiredStates);
  pushConfiguration(Previous ? Previous->revision() : 0);
  schedulePublish();
}

void Fleet::pushConfiguration(uint64_t After) {
  const wire::SyncUp Delta = syncMessage(After);
  for (auto &[Id, Entry] : m_Links)
    if (Entry.Link->channel().state() == wire::ChannelState::Up &&
        !Entry.Link->sendSync(Delta))
      openSync(*Entry.Link);
}

std::vector<std::shared_ptr<wire::Channel>> Fleet::upChannels() const {
  std::vector<std::shared_ptr<wire::Channel>> Channels;
  for (const auto &[Id, Entry] : m_Links)
    if (Entry.Link->channel().state() == wire::ChannelState::Up)
      Channels.push_back(Entry.Link->sharedChannel());
  return Channels;
}

void Fleet::setNotReady(std::optional<Error> Reason) {
  m_NotReady = std::move(Reason);
  schedulePublish();
}

} // namespace figlift::entry
