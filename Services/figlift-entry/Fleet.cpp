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

/// Other entries that this one keeps connections to, to fetch the
/// configuration from when the platform is out.
constexpr size_t MaximumPeers = 6;

membership::Options membershipOptions(const settings::EntrySettings &From) {
  return {.EntryId = From.Process.Id,
          .Zone = From.Process.Zone,
          .Region = From.Process.Region,
          .TargetsPerBackEnd = From.Limits.TargetsPerBackEnd};
}

} // namespace

Fleet::Fleet(Parts Of)
    : m_Parts(Of), m_Membership(membershipOptions(Of.Settings)),
      m_Random(route::rendezvousKey(Of.Settings.Process.Id)) {}

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
  // Entries that started together must not ask the platform together.
  std::uniform_real_distribution<double> Factor(0.75, 1.25);
  return std::chrono::milliseconds(static_cast<int64_t>(
      static_cast<double>(Mean.count()) * Factor(m_Random)));
}

void Fleet::pollList() {
  if (m_Stopped)
    return;
  m_Parts.List.list([this](Result<std::vector<platform::Vm>> Read) {
    m_Parts.Control.post(
        [this, Read = std::move(Read)]() mutable { onList(std::move(Read)); });
  });
}

void Fleet::onList(Result<std::vector<platform::Vm>> Read) {
  const metrics::ControlCpuScope Cost(
      metrics::controlCpuSeconds(m_Parts.Metrics));
  if (Read) {
    noteListed(Read.value());
    step(membership::VmListRead{std::move(Read.value())});
  }
  publishSoon();
  m_Parts.Control.after(jittered(m_Parts.Settings.Platform.VmListInterval),
                        [this] { pollList(); });
}

void Fleet::noteListed(const std::vector<platform::Vm> &Listed) {
  if (Listed.empty())
    return;
  m_ListedIds.clear();
  for (const platform::Vm &Each : Listed)
    if (Each.State != platform::VmState::Gone)
      m_ListedIds.insert(Each.Id);
}

const Fleet::LastReport *Fleet::lastReport(const std::string &Target) const {
  const auto Found = m_Reports.find(Target);
  return Found == m_Reports.end() ? nullptr : &Found->second;
}

std::shared_ptr<wire::Channel>
Fleet::channelTo(const std::string &Target) const {
  const auto Found = m_Links.find(Target);
  return Found == m_Links.end() ? nullptr : Found->second.Link->sharedChannel();
}

void Fleet::setPlanned(std::set<std::string> BackEnds) {
  step(membership::PlannedChanged{std::move(BackEnds)});
}

void Fleet::step(const membership::Event &Happened) {
  for (const membership::Action &Next :
       m_Membership.step(Happened, BootClock::now()))
    std::visit([this](const auto &Which) { act(Which); }, Next);
}

void Fleet::act(const membership::Connect &Which) {
  const std::string Id = Which.Target.Id;
  const uint64_t Generation = ++m_Generations;
  TargetLink::Observer Told;
  Told.OnConnection = [this, Id, Generation](bool Up) {
    m_Parts.Control.post(
        [this, Id, Generation, Up] { onConnection(Id, Generation, Up); });
  };
  Told.OnReport = [this, Id, Generation](const wire::SyncDown &Report) {
    m_Parts.Control.post(
        [this, Id, Generation, Report] { onReport(Id, Generation, Report); });
  };
  m_Links[Id] = {TargetLink::connect(Which.Target,
                                     {m_Parts.Transport, m_Parts.Events,
                                      m_Book.gauge(Id), m_Health.health(Id)},
                                     std::move(Told)),
                 Generation};
}

void Fleet::act(const membership::Disconnect &Which) {
  m_Links.erase(Which.Target);
  m_Reports.erase(Which.Target);
  m_Health.remove(Which.Target);
}

void Fleet::act(const membership::TellLeaving &Which) {
  if (const auto Found = m_Links.find(Which.Target); Found != m_Links.end())
    Found->second.Link->askToDrain(
        "the platform's list says that the VM is leaving");
}

/// With a connection from every entry to every other, heartbeats alone would
/// take more than an entry's whole budget of control bytes at 200 entries.
std::vector<platform::Vm>
Fleet::peersToAsk(std::vector<platform::Vm> Peers) const {
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(MaximumPeers, Peers.size()));
  const auto Weight = [this](const platform::Vm &Peer) {
    return route::rendezvousKey(m_Parts.Settings.Process.Id + "\n" + Peer.Id);
  };
  std::ranges::partial_sort(Peers, Peers.begin() + Count, {}, Weight);
  Peers.resize(static_cast<size_t>(Count));
  return Peers;
}

void Fleet::act(const membership::PeersChanged &Which) {
  std::vector<Endpoint> Endpoints = m_Parts.Settings.Peers;
  for (const platform::Vm &Peer : peersToAsk(Which.Peers))
    Endpoints.push_back(Peer.Peer);
  m_OnPeers(std::move(Endpoints));
}

void Fleet::act(const membership::RoutingChanged &) { publishSoon(); }

void Fleet::onConnection(const std::string &Target, uint64_t Generation,
                         bool Up) {
  const auto Found = m_Links.find(Target);
  if (m_Stopped || Found == m_Links.end() ||
      Found->second.Generation != Generation)
    return;
  m_Parts.Events.record(Up ? timeline::kinds::PeerUp
                           : timeline::kinds::PeerDown,
                        {SubjectType::Target, Target});
  log::logEvent(log::Level::Info, Up ? "target-connected" : "target-lost",
                {{"target", Target}});
  m_Reports.erase(Target);
  step(membership::ConnectionChanged{Target, Up});
  if (Up && m_Configuration)
    openSync(*Found->second.Link);
}

void Fleet::openSync(TargetLink &Link) {
  // Whole: the agent may have nothing yet, and does not say before it was
  // told something.
  Link.openSync(syncMessage(0));
}

wire::SyncUp Fleet::syncMessage(uint64_t After) {
  wire::SyncUp Message = config::toSyncUp(m_Configuration->diffSince(After),
                                          m_Parts.Settings.Process.Id);
  Message.set_clock(m_Parts.Events.clockToSend());
  return Message;
}

void Fleet::onReport(const std::string &Target, uint64_t Generation,
                     const wire::SyncDown &Report) {
  const metrics::ControlCpuScope Cost(
      metrics::controlCpuSeconds(m_Parts.Metrics));
  const auto Found = m_Links.find(Target);
  if (m_Stopped || Found == m_Links.end() ||
      Found->second.Generation != Generation)
    return;
  m_OnRevision(Report.revision_in_force());
  learnSlices(Target, Report);
  LastReport &Last = m_Reports[Target];
  wire::SyncDown Whole = Report;
  if (Report.prefixes_unchanged())
    *Whole.mutable_prefix_hashes() = Last.Message.prefix_hashes();
  Last = {std::move(Whole), BootClock::now()};
  step(membership::Reported{Target, reportFromWire(Last.Message)});
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
    publishSoon();
}

void Fleet::learnHomes(const std::string &BackEnd,
                       const idempotency::GrantTable &Grants) {
  if (m_Homes[BackEnd].learn(Grants))
    publishSoon();
}

void Fleet::setConfiguration(config::SnapshotPointer Next) {
  const config::SnapshotPointer Before =
      std::exchange(m_Configuration, std::move(Next));
  const uint64_t Revision = m_Configuration->revision();
  m_Parts.Events.record(timeline::kinds::RevisionInForce,
                        {SubjectType::Process, m_Parts.Settings.Process.Id},
                        {{"revision", Revision}});
  log::logEvent(log::Level::Info, "revision-in-force",
                {{"revision", Revision}});
  membership::WishesRead Wishes;
  for (const config::Item *Known : m_Configuration->list("target"))
    Wishes.Wishes[Known->Stored.Name] =
        m_Configuration->targetIntent(Known->Stored.Name);
  step(Wishes);
  push(Before ? Before->revision() : 0);
  publishSoon();
}

void Fleet::push(uint64_t After) {
  const wire::SyncUp Delta = syncMessage(After);
  for (auto &[Id, Known] : m_Links)
    if (Known.Link->channel().state() == wire::ChannelState::Up &&
        !Known.Link->sendSync(Delta))
      openSync(*Known.Link);
}

std::vector<std::shared_ptr<wire::Channel>> Fleet::upChannels() const {
  std::vector<std::shared_ptr<wire::Channel>> Channels;
  for (const auto &[Id, Known] : m_Links)
    if (Known.Link->channel().state() == wire::ChannelState::Up)
      Channels.push_back(Known.Link->sharedChannel());
  return Channels;
}

void Fleet::setNotReady(std::optional<Error> Reason) {
  m_NotReady = std::move(Reason);
  publishSoon();
}

} // namespace figlift::entry
