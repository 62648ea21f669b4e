//===- PeerList.cpp - The other gateways of the fleet ---------------------===//
//
// Each gateway writes one row at its start; another row holds the secret.
//
//===----------------------------------------------------------------------===//

#include "PeerList.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

#include <algorithm>

namespace figlift::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Figlift's own table. The key of a row is the gateway's id, its value the
/// address for datagrams.
const std::string PeerTable = "figlift-gateways";
/// The row of the fleet's secret; no gateway has this id.
const std::string SecretRow = "#secret";
/// The first gateway of the list creates the secret. Another gateway creates
/// it instead after it has read the list this many times, plus once for each
/// live gateway before it, without finding a secret.
constexpr unsigned ListsBeforeSecret = 3;
/// With four gateways each reports about every 25 ms: a tenth of the shortest
/// latency target passes before peers know about new work.
constexpr std::chrono::microseconds ReportInterval{25000};
/// Each further gateway increases the interval of all, so that one gateway
/// receives fewer than about 800 datagrams a second, at about 20 us each. With
/// 31 gateways the interval is 61 ms; at 250 ms gateways sent new work to the
/// same engines, and planned waits were wrong by half.
constexpr std::chrono::microseconds ReportIntervalPerPeer{1200};
/// Forty missed reports at the usual interval, and at least MissedReports at
/// longer ones.
constexpr milliseconds PeerLifetime{1000};
constexpr int MissedReports = 4;
/// New gateways announce themselves with their reports. The list is for
/// gateways that start at the same time and are not yet known to any peer: it
/// is read soon after a start, while rows are still being written, and rarely
/// from then on.
constexpr milliseconds FirstListInterval{1000};
/// Used while the store responds but has no secret, because another gateway is
/// about to create it. Until then each gateway receives no reports and would
/// use the whole retry budget alone.
constexpr milliseconds SecretListInterval{100};
constexpr milliseconds ListInterval{60000};
/// One of them may follow the registration at once.
constexpr unsigned InitialListReads = 4;
/// A gateway that has been silent for this long counts as gone: no stream that
/// it has begun may still be resumed if it stopped soon after its last report.
constexpr std::chrono::seconds MaximumSilence{120};
/// A row may have 64 KiB; an address has at most 21 bytes.
constexpr size_t MaximumLoggedBytes = 100;

} // namespace

PeerList::PeerList(Context &Shared, slopes::StoreClient &Store)
    : m_Shared(Shared), m_Store(Store), m_ListTimer(Shared.Loop) {}

void PeerList::start() {
  registerSelf();
  readList();
}

void PeerList::refreshSoon() {
  m_Restoring = true;
  // A read in progress schedules the next one itself.
  if (m_ListTimer.cancel() > 0)
    scheduleList();
}

void PeerList::reportReceived(const std::string &Id,
                              const asio::ip::udp::endpoint &Address,
                              BootTime Now) {
  m_Peers[Id] = {Address, Now};
}

void PeerList::registerSelf() {
  const std::string &Id = m_Shared.Settings.Process.Id;
  slopes::RowTransaction Registration;
  Registration.Writes.push_back(
      {PeerTable, "", Id, m_Shared.Settings.Listen.Peers.toString()});
  m_Store.commit(Registration, [this](Result<dispatch::StoreVersion> Written) {
    m_Registered = Written.has_value();
    if (!Written)
      return log::logError(log::Level::Warning, "peer-enrolment-failed",
                           Written.error());
    // The list has this gateway's row from now on, and so its place.
    if (m_Shared.Settings.Fleet.Starts)
      readList();
  });
}

/// If several gateways create a secret at once, the store accepts one, and all
/// of them read it.
void PeerList::createSecret() {
  slopes::RowTransaction Transaction;
  Transaction.Conditions.push_back({PeerTable, "", SecretRow, 0});
  // If the store lost the secret, the running gateways still share the old
  // one.
  const std::string Secret =
      m_Seal ? m_Secret : dispatch::DatagramSeal::newSecret();
  Transaction.Writes.push_back({PeerTable, "", SecretRow, Secret});
  m_Store.commit(Transaction, [this,
                               Secret](Result<dispatch::StoreVersion> Written) {
    if (Written)
      return useSecret(Secret);
    log::logError(log::Level::Info, "peer-secret-not-made", Written.error());
  });
}

void PeerList::useSecret(const std::string &Secret) {
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
    const bool IsReading = log::guarded("list of gateways", {}, [this] {
      if (!m_Registered)
        registerSelf();
      readList();
    });
    if (!IsReading)
      scheduleList();
  });
}

milliseconds PeerList::listInterval() const {
  // Without the secret this gateway receives no reports, however long it has
  // run.
  if (!m_Seal || m_Restoring)
    return m_StoreReachable ? SecretListInterval : FirstListInterval;
  return m_ListReads < InitialListReads ? FirstListInterval : ListInterval;
}

void PeerList::readList() {
  m_Store.readAll(PeerTable, "", [this](Result<slopes::RowsRead> Read) {
    // While the store is unavailable, the known peers are kept: their reports
    // show which ones are live.
    m_StoreReachable = Read.has_value();
    if (Read) {
      ++m_ListReads;
      updatePeers(Read.value().Rows);
    }
    scheduleList();
  });
}

void PeerList::updatePeers(const std::vector<slopes::StoreRow> &Rows) {
  const BootTime Now = BootClock::now();
  // Rows are never removed; whether a gateway is live shows only in its
  // reports.
  std::map<std::string, Peer> Listed;
  for (const auto &[Id, Entry] : m_Peers)
    if (isLive(Entry, Now))
      Listed[Id] = Entry;
  bool HasSecret = false;
  bool HasOwnRow = false;
  std::string First = m_Shared.Settings.Process.Id;
  m_Listed = 1;
  for (const slopes::StoreRow &Row : Rows) {
    if (Row.Key == SecretRow) {
      HasSecret = true;
      log::guarded("secret of gateways", Row.Key,
                   [&] { useSecret(Row.Value); });
      continue;
    }
    if (Row.Key == m_Shared.Settings.Process.Id) {
      HasOwnRow = true;
      continue;
    }
    ++m_Listed;
    First = std::min(First, Row.Key);
    if (const auto Known = m_Peers.find(Row.Key); Known != m_Peers.end())
      Listed.insert(*Known);
    // Another program may have written an odd row, which must not keep the
    // others from being applied.
    log::guarded("entry of gateways", Row.Key,
                 [&] { updateAddress(Row, Listed[Row.Key]); });
  }
  // A gateway that registers later finds at least one row more.
  if (HasOwnRow && m_Shared.Settings.Fleet.Starts)
    m_Shared.Budget.setStartPlace(m_Listed);
  m_Peers = std::move(Listed);
  m_ListsWithoutSecret = HasSecret ? 0 : m_ListsWithoutSecret + 1;
  if (m_Restoring && !HasOwnRow)
    registerSelf();
  m_Restoring = m_Restoring && !(HasSecret && HasOwnRow);
  if (!HasSecret && shouldCreateSecret(First))
    createSecret();
}

/// The first gateway creates the secret, and the next ones in turn if it does
/// not.
bool PeerList::shouldCreateSecret(const std::string &FirstListed) const {
  const size_t Place = liveBefore(BootClock::now());
  const bool IsFirst =
      m_Seal ? Place == 0 : FirstListed == m_Shared.Settings.Process.Id;
  return IsFirst || m_ListsWithoutSecret >= ListsBeforeSecret + Place;
}

void PeerList::updateAddress(const slopes::StoreRow &Row, Peer &Entry) {
  // The source address of its latest report is newer than its row.
  if (isLive(Entry, BootClock::now()))
    return;
  const auto Address = Endpoint::parse(Row.Value);
  boost::system::error_code Code;
  const auto Number = asio::ip::make_address_v4(
      Address ? Address.value().Address : std::string(), Code);
  if (Code) {
    if (m_Shared.Log.allows(LineKind::State, BootClock::now()))
      log::logEvent(log::Level::Warning, "peer-row-invalid",
                    {{"peer", Row.Key},
                     {"found", Row.Value.substr(0, MaximumLoggedBytes)},
                     {"bytes", Row.Value.size()}});
    return;
  }
  Entry.Address = {Number, Address.value().Port};
}

std::chrono::microseconds PeerList::reportInterval() const {
  return ReportInterval + ReportIntervalPerPeer * m_Peers.size();
}

bool PeerList::isLive(const Peer &Entry, BootTime Now) const {
  return Now - Entry.LastReport <
         std::max<BootClock::duration>(PeerLifetime,
                                       reportInterval() * MissedReports);
}

size_t PeerList::liveCount(BootTime Now) const {
  size_t Count = 1;
  for (const auto &[Id, Entry] : m_Peers)
    if (isLive(Entry, Now))
      ++Count;
  return Count;
}

dispatch::GatewayPlace PeerList::place() const {
  const auto Own = m_Peers.lower_bound(m_Shared.Settings.Process.Id);
  return {static_cast<size_t>(std::distance(m_Peers.begin(), Own)),
          m_Peers.size() + 1};
}

size_t PeerList::sharingGateways(BootTime Now) const {
  return std::max(liveCount(Now), m_Listed);
}

dispatch::LimitFleet PeerList::limitFleet(const std::string &TargetId,
                                          BootTime Now) const {
  dispatch::LimitFleet Fleet;
  Fleet.Self = m_Shared.Settings.Process.Id;
  Fleet.Sharers = sharingGateways(Now);
  const dispatch::Target *Target = m_Shared.Targets.find(TargetId);
  const std::string Service = Target ? Target->Service : std::string();
  if (const auto Meter = m_Shared.Demands.find(Service);
      Meter != m_Shared.Demands.end())
    Fleet.OwnDemand = Meter->second.demand(Now).sum();
  Fleet.TotalDemand = Fleet.OwnDemand;
  for (const auto &[Id, Entry] : m_Peers) {
    if (!isLive(Entry, Now))
      continue;
    Fleet.Others.push_back(Id);
    if (const auto Reported = m_Shared.PeerDemands.find(Id);
        Reported != m_Shared.PeerDemands.end())
      for (const dispatch::ServiceDemand &Demand : Reported->second)
        if (Demand.Service == Service)
          Fleet.TotalDemand += Demand.Demand.sum();
  }
  return Fleet;
}

std::vector<std::string> PeerList::livePeers(BootTime Now) const {
  std::vector<std::string> Live;
  for (const auto &[Id, Entry] : m_Peers)
    if (isLive(Entry, Now))
      Live.push_back(Id);
  return Live;
}

std::vector<std::string> PeerList::heardSince(BootTime Since) const {
  std::vector<std::string> Heard;
  for (const auto &[Id, Entry] : m_Peers)
    if (Entry.LastReport >= Since)
      Heard.push_back(Id);
  return Heard;
}

std::optional<BootTime> PeerList::silentSince(BootTime Now) const {
  std::optional<BootTime> Since;
  for (const auto &[Id, Entry] : m_Peers) {
    const BootTime Last = std::max(Entry.LastReport, m_StartedAt);
    if (!isLive(Entry, Now) && Now - Last < MaximumSilence)
      Since = std::min(Since.value_or(Last), Last);
  }
  return Since;
}

size_t PeerList::liveBefore(BootTime Now) const {
  size_t Count = 0;
  for (const auto &[Id, Entry] : m_Peers)
    if (isLive(Entry, Now) && Id < m_Shared.Settings.Process.Id)
      ++Count;
  return Count;
}

} // namespace figlift::gateway
