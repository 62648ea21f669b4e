//===- PeerList.cpp - The other gateways of the fleet ---------------------===//
//
// One row a gateway, written at its start, and one for the secret.
//
//===----------------------------------------------------------------------===//

#include "PeerList.h"

#include "LibLog/Log.h"

#include <algorithm>

namespace figlift::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Table of this system's own; a row's key is the gateway, its value the
/// address for datagrams.
const std::string PeerTable = "figlift-gateways";
/// The row of the fleet's secret; no gateway has such a name.
const std::string SecretRow = "#secret";
/// The first gateway of the list makes the secret. One that has read the list
/// this many times, and once for each live one before it, without finding one
/// makes it in its place.
constexpr unsigned ListsBeforeSecret = 3;
/// At four gateways a report each 25 ms: a tenth of the shortest latency
/// target is gone before others know of new work.
constexpr std::chrono::microseconds ReportInterval{25000};
/// Each further gateway slows the reports of all, so that the datagrams that
/// one gateway takes in stay below about 800 a second, at some 20 us each. At
/// 31 gateways this is a report each 61 ms; with one each 250 ms the gateways
/// sent new work to the same engines, and planned waits were off by half.
constexpr std::chrono::microseconds ReportIntervalPerPeer{1200};
/// Forty missed reports at the usual interval, and four at least.
constexpr milliseconds PeerLifetime{1000};
constexpr int ReportsMissed = 4;
/// New gateways make themselves known by their reports; the list serves those
/// that start at the same time and learn of each other from nobody. It is read
/// soon after a start, when rows still come in, and rarely from then on.
constexpr milliseconds FirstListInterval{1000};
/// While the store answers and has no secret: another gateway makes it at this
/// moment. Until then each one hears nobody, and would take the whole budget of
/// repeats for itself.
constexpr milliseconds SecretListInterval{100};
constexpr milliseconds ListInterval{60000};
constexpr unsigned FirstLists = 3;
} // namespace

PeerList::PeerList(Context &Shared, slopes::StoreClient &Store)
    : m_Shared(Shared), m_Store(Store), m_ListTimer(Shared.Loop) {}

void PeerList::start() {
  enroll();
  list();
}

void PeerList::readSoon() {
  m_Restores = true;
  // Unless a list is being read already, which schedules the next one.
  if (m_ListTimer.cancel() > 0)
    scheduleList();
}

void PeerList::heard(const std::string &Id,
                     const asio::ip::udp::endpoint &Address, BootTime Now) {
  m_Peers[Id] = {Address, Now};
}

void PeerList::enroll() {
  const std::string &Id = m_Shared.Settings.Process.Id;
  slopes::RowTransaction Enrolment;
  Enrolment.Writes.push_back(
      {PeerTable, "", Id, m_Shared.Settings.Listen.Peers.toString()});
  m_Store.commit(Enrolment, [this](Result<dispatch::StoreVersion> Written) {
    m_Enrolled = Written.has_value();
    if (!Written)
      log::logError(log::Level::Warning, "peer-enrolment-failed",
                    Written.error());
  });
}

/// Of several that try at once the store takes one, and all read that one.
void PeerList::makeSecret() {
  slopes::RowTransaction Making;
  Making.Conditions.push_back({PeerTable, "", SecretRow, 0});
  // One that the store has forgotten is still that of all who run.
  const std::string Secret =
      m_Seal ? m_Secret : dispatch::DatagramSeal::newSecret();
  Making.Writes.push_back({PeerTable, "", SecretRow, Secret});
  m_Store.commit(Making, [this,
                          Secret](Result<dispatch::StoreVersion> Written) {
    if (Written)
      return takeSecret(Secret);
    log::logError(log::Level::Info, "peer-secret-not-made", Written.error());
  });
}

void PeerList::takeSecret(const std::string &Secret) {
  const auto Seal = dispatch::DatagramSeal::fromSecret(Secret);
  if (!Seal)
    return log::logError(log::Level::Error, "peer-secret-invalid",
                         Seal.error());
  m_Seal = Seal.value();
  m_Secret = Secret;
  m_Shared.Crashes.useSecret(Secret);
}

void PeerList::scheduleList() {
  const milliseconds Interval = listInterval();
  m_ListTimer.expires_after(std::chrono::duration_cast<BootClock::duration>(
      Interval * (0.75 + 0.5 * m_Shared.draw())));
  m_ListTimer.async_wait([this](const boost::system::error_code &Stopped) {
    if (Stopped)
      return;
    if (!m_Enrolled)
      enroll();
    list();
  });
}

milliseconds PeerList::listInterval() const {
  // Without the secret this gateway is deaf, however long it has run.
  if (!m_Seal || m_Restores)
    return m_Reached ? SecretListInterval : FirstListInterval;
  return m_Lists < FirstLists ? FirstListInterval : ListInterval;
}

void PeerList::list() {
  m_Store.readAll(PeerTable, "", [this](Result<slopes::RowsRead> Read) {
    // Without the store the known peers are kept: reports say who is live.
    m_Reached = Read.has_value();
    if (Read) {
      ++m_Lists;
      learn(Read.value().Rows);
    }
    scheduleList();
  });
}

void PeerList::learn(const std::vector<slopes::StoreRow> &Rows) {
  const BootTime Now = BootClock::now();
  // Rows are never removed: of a gateway that is gone only its reports tell.
  std::map<std::string, Peer> Listed;
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now))
      Listed[Id] = Each;
  bool HasSecret = false;
  bool HasOwnRow = false;
  std::string First = m_Shared.Settings.Process.Id;
  m_Listed = 1;
  for (const slopes::StoreRow &Row : Rows) {
    if (Row.Key == SecretRow) {
      HasSecret = true;
      takeSecret(Row.Value);
      continue;
    }
    if (Row.Key == m_Shared.Settings.Process.Id) {
      HasOwnRow = true;
      continue;
    }
    ++m_Listed;
    First = std::min(First, Row.Key);
    learnAddress(Row, Listed[Row.Key]);
  }
  m_Peers = std::move(Listed);
  m_ListsWithoutSecret = HasSecret ? 0 : m_ListsWithoutSecret + 1;
  if (m_Restores && !HasOwnRow)
    enroll();
  m_Restores = m_Restores && !(HasSecret && HasOwnRow);
  if (!HasSecret && makesSecret(First))
    makeSecret();
}

/// One does it, and others in turn if that one does not.
bool PeerList::makesSecret(const std::string &FirstListed) const {
  const size_t Place = liveBefore(BootClock::now());
  const bool IsFirst =
      m_Seal ? Place == 0 : FirstListed == m_Shared.Settings.Process.Id;
  return IsFirst || m_ListsWithoutSecret >= ListsBeforeSecret + Place;
}

void PeerList::learnAddress(const slopes::StoreRow &Row, Peer &Which) {
  // Where it was heard from is newer than its row.
  if (isLive(Which, BootClock::now()))
    return;
  const auto Address = Endpoint::parse(Row.Value);
  boost::system::error_code Code;
  const auto Number = asio::ip::make_address_v4(
      Address ? Address.value().Address : std::string(), Code);
  if (Code)
    return log::logEvent(log::Level::Warning, "peer-row-invalid",
                         {{"peer", Row.Key}, {"found", Row.Value}});
  Which.Address = {Number, Address.value().Port};
}

std::chrono::microseconds PeerList::reportInterval() const {
  return ReportInterval + ReportIntervalPerPeer * m_Peers.size();
}

bool PeerList::isLive(const Peer &Which, BootTime Now) const {
  return Now - Which.Heard <
         std::max<BootClock::duration>(PeerLifetime,
                                       reportInterval() * ReportsMissed);
}

size_t PeerList::live(BootTime Now) const {
  size_t Count = 1;
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now))
      ++Count;
  return Count;
}

size_t PeerList::sharers(BootTime Now) const {
  return std::max(live(Now), m_Listed);
}

dispatch::LimitFleet PeerList::limitFleet(const std::string &TargetId,
                                          BootTime Now) const {
  dispatch::LimitFleet Fleet;
  Fleet.Self = m_Shared.Settings.Process.Id;
  Fleet.Sharers = sharers(Now);
  const dispatch::Target *Which = m_Shared.Targets.find(TargetId);
  const std::string Service = Which ? Which->Service : std::string();
  if (const auto Own = m_Shared.Demands.find(Service);
      Own != m_Shared.Demands.end())
    Fleet.OwnDemand = Own->second.demand(Now).sum();
  Fleet.TotalDemand = Fleet.OwnDemand;
  for (const auto &[Id, Each] : m_Peers) {
    if (!isLive(Each, Now))
      continue;
    Fleet.Others.push_back(Id);
    if (const auto Told = m_Shared.PeerDemands.find(Id);
        Told != m_Shared.PeerDemands.end())
      for (const dispatch::ServiceDemand &Of : Told->second)
        if (Of.Service == Service)
          Fleet.TotalDemand += Of.Demand.sum();
  }
  return Fleet;
}

size_t PeerList::liveBefore(BootTime Now) const {
  size_t Count = 0;
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now) && Id < m_Shared.Settings.Process.Id)
      ++Count;
  return Count;
}

} // namespace figlift::gateway
