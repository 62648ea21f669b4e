//===- PeerLink.cpp - Datagrams between gateways --------------------------===//
//
// One row a gateway, written once at its start; the rest is UDP.
//
//===----------------------------------------------------------------------===//

#include "PeerLink.h"

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
/// this many times without finding one makes it in its place.
constexpr unsigned ListsBeforeSecret = 3;
/// \name Kinds of datagrams.
/// @{
constexpr char ReportKind = 'R';
constexpr char NewsKind = 'N';
/// @}
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
constexpr milliseconds ListInterval{60000};
constexpr unsigned FirstLists = 3;
/// How often a report tells what was learned of engines, some 100 bytes a
/// service. After a start the figures of a process are good within ten answers,
/// which come in about this time.
constexpr milliseconds FiguresInterval{250};
/// Parts in one report; what is beyond waits for the next.
constexpr size_t MaximumParts = 64;

} // namespace

PeerLink::PeerLink(Context &Shared, slopes::StoreClient &Store,
                   NewsHandler News)
    : m_Shared(Shared), m_Store(Store), m_Socket(Shared.Loop),
      m_ReportTimer(Shared.Loop), m_ListTimer(Shared.Loop),
      m_News(std::move(News)) {}

Result<void> PeerLink::start() {
  const Endpoint &Own = m_Shared.Settings.Listen.Peers;
  boost::system::error_code Code;
  m_Socket.open(asio::ip::udp::v4(), Code);
  if (!Code)
    m_Socket.bind({asio::ip::make_address_v4(Own.Address, Code), Own.Port},
                  Code);
  if (!Code)
    m_Socket.non_blocking(true, Code);
  if (Code)
    return failure(ResultCode::SettingsInvalid,
                   "cannot listen at " + Own.toString() + ": " + Code.message(),
                   "listen.peers");
  receive();
  enroll();
  list();
  scheduleReport();
  return success();
}

void PeerLink::enroll() {
  const std::string &Id = m_Shared.Settings.Process.Id;
  slopes::RowTransaction Enrolment;
  Enrolment.Writes.push_back(
      {PeerTable, "", Id, m_Shared.Settings.Listen.Peers.toString()});
  m_Store.commit(Enrolment, [this](Result<uint64_t> Written) {
    m_Enrolled = Written.has_value();
    if (!Written)
      log::logError(log::Level::Warning, "peer-enrolment-failed",
                    Written.error());
  });
}

/// Of several that try at once the store takes one, and all read that one.
void PeerLink::makeSecret() {
  slopes::RowTransaction Making;
  Making.Conditions.push_back({PeerTable, "", SecretRow, 0});
  const std::string Secret = dispatch::DatagramSeal::newSecret();
  Making.Writes.push_back({PeerTable, "", SecretRow, Secret});
  m_Store.commit(Making, [this, Secret](Result<uint64_t> Written) {
    if (Written)
      return takeSecret(Secret);
    log::logError(log::Level::Info, "peer-secret-not-made", Written.error());
  });
}

void PeerLink::takeSecret(const std::string &Secret) {
  const auto Seal = dispatch::DatagramSeal::fromSecret(Secret);
  if (!Seal)
    return log::logError(log::Level::Error, "peer-secret-invalid",
                         Seal.error());
  m_Seal = Seal.value();
}

void PeerLink::scheduleList() {
  const milliseconds Interval =
      m_Lists++ < FirstLists ? FirstListInterval : ListInterval;
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

void PeerLink::list() {
  m_Store.readAll(PeerTable, "", [this](Result<slopes::RowsRead> Read) {
    // Without the store the known peers are kept: reports say who is live.
    if (Read)
      learn(Read.value().Rows);
    scheduleList();
  });
}

void PeerLink::learn(const std::vector<slopes::StoreRow> &Rows) {
  const BootTime Now = BootClock::now();
  // Rows are never removed: of a gateway that is gone only its reports tell.
  std::map<std::string, Peer> Listed;
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now))
      Listed[Id] = Each;
  bool HasSecret = false;
  std::string First = m_Shared.Settings.Process.Id;
  m_Listed = 1;
  for (const slopes::StoreRow &Row : Rows) {
    if (Row.Key == SecretRow) {
      HasSecret = true;
      takeSecret(Row.Value);
      continue;
    }
    if (Row.Key == m_Shared.Settings.Process.Id)
      continue;
    ++m_Listed;
    First = std::min(First, Row.Key);
    const auto Address = Endpoint::parse(Row.Value);
    boost::system::error_code Code;
    const auto Number = asio::ip::make_address_v4(
        Address ? Address.value().Address : std::string(), Code);
    if (Code) {
      log::logEvent(log::Level::Warning, "peer-row-invalid",
                    {{"peer", Row.Key}, {"found", Row.Value}});
      continue;
    }
    Peer &Entry = Listed[Row.Key];
    if (isLive(Entry, Now))
      continue;
    Entry.Address = {Number, Address.value().Port};
  }
  m_Peers = std::move(Listed);
  if (!HasSecret &&
      (First == m_Shared.Settings.Process.Id || m_Lists >= ListsBeforeSecret))
    makeSecret();
}

std::chrono::microseconds PeerLink::reportInterval() const {
  return ReportInterval + ReportIntervalPerPeer * m_Peers.size();
}

bool PeerLink::isLive(const Peer &Which, BootTime Now) const {
  return Now - Which.Heard <
         std::max<BootClock::duration>(PeerLifetime,
                                       reportInterval() * ReportsMissed);
}

void PeerLink::scheduleReport() {
  m_Shared.Loads.reportsCome(reportInterval());
  m_ReportTimer.expires_after(reportInterval());
  m_ReportTimer.async_wait([this](const boost::system::error_code &Stopped) {
    if (Stopped)
      return;
    report();
    scheduleReport();
  });
}

void PeerLink::report() {
  dispatch::PeerReport What;
  What.From = m_Shared.Settings.Process.Id;
  What.Loads = m_Shared.Loads.ownLoads();
  auto &Parts = m_Shared.NewlyCached;
  const size_t Count = std::min(Parts.size(), MaximumParts);
  const auto End = Parts.begin() + static_cast<std::ptrdiff_t>(Count);
  What.Cached.assign(Parts.begin(), End);
  Parts.erase(Parts.begin(), End);
  const BootTime Now = BootClock::now();
  for (const auto &[Service, Meter] : m_Shared.Demands)
    What.Demands.push_back({Service, Meter.demand(Now)});
  for (const auto &[Id, Until] : m_Shared.Away)
    if (Now < Until)
      What.Away.push_back(
          {Id, std::chrono::duration_cast<milliseconds>(Until - Now)});
  if (Now - m_FiguresTold >= FiguresInterval) {
    m_FiguresTold = Now;
    for (const auto &[Service, Model] : m_Shared.EngineModels)
      What.Engines.push_back({Service, Model.own()});
  }
  sendToAll(ReportKind, encodePeerReport(What));
}

void PeerLink::tell(const dispatch::StoreNews &What) {
  sendToAll(NewsKind, encodeStoreNews(What));
}

void PeerLink::sendToAll(char Kind, const std::string &Body) {
  if (!m_Seal)
    return;
  const std::string Bytes = m_Seal->seal(Kind, Body);
  for (const auto &[Id, Each] : m_Peers) {
    // A datagram that can't be sent is made up for by the next one.
    boost::system::error_code Ignored;
    m_Socket.send_to(asio::buffer(Bytes), Each.Address, 0, Ignored);
  }
}

void PeerLink::receive() {
  m_Socket.async_receive_from(
      asio::buffer(m_Buffer), m_Sender,
      [this](const boost::system::error_code &Code, size_t Count) {
        if (Code == asio::error::operation_aborted)
          return;
        // Other errors tell of an earlier datagram that reached nobody.
        if (!Code)
          received({m_Buffer.data(), Count});
        receive();
      });
}

void PeerLink::received(std::string_view Bytes) {
  const auto Opened = m_Seal ? m_Seal->open(Bytes) : std::nullopt;
  if (!Opened) {
    ++m_Refused;
    return;
  }
  if (Opened->Kind == ReportKind)
    reportReceived(Opened->Body);
  else if (Opened->Kind == NewsKind)
    newsReceived(Opened->Body);
}

void PeerLink::newsReceived(std::string_view Body) {
  const auto Read = dispatch::decodeStoreNews(Body);
  if (!Read)
    return log::logError(log::Level::Warning, "store-news-invalid",
                         Read.error());
  m_News(Read.value());
}

void PeerLink::reportReceived(std::string_view Body) {
  const auto Read = dispatch::decodePeerReport(Body);
  if (!Read) {
    log::logError(log::Level::Warning, "peer-report-invalid", Read.error());
    return;
  }
  const BootTime Now = BootClock::now();
  const dispatch::PeerReport &What = Read.value();
  Peer &Sender = m_Peers[What.From];
  Sender.Address = m_Sender;
  Sender.Heard = Now;
  m_Shared.Loads.peerReported(What.From, What.Loads, Now);
  m_Shared.PeerDemands[What.From] = What.Demands;
  for (const dispatch::ServiceFigures &Each : What.Engines)
    m_Shared.EngineModels[Each.Service].peerTold(What.From, Each.Figures, Now);
  for (const dispatch::AwayTarget &Each : What.Away)
    m_Shared.Loads.avoid(Each.TargetId, Now + Each.Left);
  for (const dispatch::CachedPart &Each : What.Cached)
    if (!m_Shared.Targets.find(Each.TargetId))
      continue;
    else if (Each.Within > milliseconds(0))
      m_Shared.Loads.cache(Each.TargetId).expect(Each.Part, Now + Each.Within);
    else
      m_Shared.Loads.cache(Each.TargetId).insert(Each.Part);
}

size_t PeerLink::live(BootTime Now) const {
  size_t Count = 1;
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now))
      ++Count;
  return Count;
}

size_t PeerLink::sharers(BootTime Now) const {
  return std::max(live(Now), m_Listed);
}

size_t PeerLink::liveBefore(BootTime Now) const {
  size_t Count = 0;
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now) && Id < m_Shared.Settings.Process.Id)
      ++Count;
  return Count;
}

} // namespace figlift::gateway
