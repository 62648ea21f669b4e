//===- PeerLink.cpp - Datagrams between gateways --------------------------===//
//
// Sealed UDP, to each peer alike; a lost datagram is made up for by the next.
//
//===----------------------------------------------------------------------===//

#include "PeerLink.h"

#include "LibLog/Log.h"

#include <algorithm>

namespace figlift::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// \name Kinds of datagrams.
/// @{
constexpr char ReportKind = 'R';
constexpr char NewsKind = 'N';
constexpr char SuspectsKind = 'S';
/// @}
/// How often a report tells limits of servers, some 30 bytes each, and what was
/// learned of engines, some 100 bytes a
/// service. After a start the figures of a process are good within ten answers,
/// which come in about this time.
constexpr milliseconds FiguresInterval{250};
/// Suspects are told at once; again with each of so many reports, a tenth of a
/// second at four gateways and half a second at a hundred.
constexpr unsigned ReportsPerRepeat = 4;
/// Parts in one report; what is beyond waits for the next.
constexpr size_t MaximumParts = 64;

} // namespace

PeerLink::PeerLink(Context &Shared, PeerList &Peers, NewsHandler News)
    : m_Shared(Shared), m_Peers(Peers), m_News(std::move(News)),
      m_Socket(Shared.Loop), m_ReportTimer(Shared.Loop) {}

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
  m_Shared.Crashes.onNews([this](const auto &What) { tellSuspects(What); });
  receive();
  scheduleReport();
  return success();
}

void PeerLink::scheduleReport() {
  m_Shared.Loads.setReportInterval(m_Peers.reportInterval());
  m_ReportTimer.expires_after(m_Peers.reportInterval());
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
  What.Loads = m_Shared.Loads.localLoads();
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
      What.Engines.push_back({Service, Model.localParameters()});
    What.Limits = m_Shared.Limits.news(Now);
  }
  sendToAll(ReportKind, encodePeerReport(What));
  if (++m_ReportsSinceRepeat >= ReportsPerRepeat)
    repeatSuspects(Now);
}

void PeerLink::tellSuspects(const std::vector<dispatch::SuspectNews> &What) {
  sendToAll(SuspectsKind, encodeSuspectNews(What));
}

void PeerLink::repeatSuspects(BootTime Now) {
  m_ReportsSinceRepeat = 0;
  if (const auto Repeats = m_Shared.Crashes.repeats(Now); !Repeats.empty())
    tellSuspects(Repeats);
}

void PeerLink::suspectsReceived(std::string_view Body) {
  const auto Read = dispatch::decodeSuspectNews(Body);
  if (!Read)
    return log::logError(log::Level::Warning, "suspect-news-invalid",
                         Read.error());
  m_Shared.Crashes.heard(Read.value(), BootClock::now());
}

void PeerLink::tell(const dispatch::StoreNews &What) {
  sendToAll(NewsKind, encodeStoreNews(What));
}

void PeerLink::sendToAll(char Kind, const std::string &Body) {
  const dispatch::DatagramSeal *Seal = m_Peers.seal();
  if (!Seal)
    return;
  const std::string Bytes = Seal->seal(Kind, Body);
  for (const auto &[Id, Each] : m_Peers.all()) {
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
  const dispatch::DatagramSeal *Seal = m_Peers.seal();
  const auto Opened = Seal ? Seal->open(Bytes) : std::nullopt;
  if (!Opened) {
    ++m_Refused;
    return;
  }
  if (Opened->Kind == ReportKind)
    reportReceived(Opened->Body);
  else if (Opened->Kind == NewsKind)
    newsReceived(Opened->Body);
  else if (Opened->Kind == SuspectsKind)
    suspectsReceived(Opened->Body);
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
  m_Peers.heard(What.From, m_Sender, Now);
  m_Shared.Loads.recordPeerReport(What.From, What.Loads, Now);
  m_Shared.PeerDemands[What.From] = What.Demands;
  for (const dispatch::ServiceFigures &Each : What.Engines)
    m_Shared.EngineModels[Each.Service].recordPeerParameters(What.From,
                                                             Each.Figures, Now);
  for (const dispatch::LimitNews &Each : What.Limits)
    if (m_Shared.Targets.find(Each.Server.TargetId))
      m_Shared.Limits.heard(Each, Now);
  for (const dispatch::AwayTarget &Each : What.Away)
    m_Shared.Loads.excludeUntil(Each.TargetId, Now + Each.Left);
  for (const dispatch::CachedPart &Each : What.Cached)
    if (!m_Shared.Targets.find(Each.TargetId))
      continue;
    else if (Each.Within > milliseconds(0))
      m_Shared.Loads.cache(Each.TargetId)
          .addPending(Each.Part, Now + Each.Within);
    else
      m_Shared.Loads.cache(Each.TargetId).insert(Each.Part);
}

} // namespace figlift::gateway
