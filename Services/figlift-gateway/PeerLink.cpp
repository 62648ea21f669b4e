//===- PeerLink.cpp - Datagrams between gateways --------------------------===//
//
// Sealed UDP datagrams, the same to each peer; the next datagram compensates
// for a lost one.
//
//===----------------------------------------------------------------------===//

#include "PeerLink.h"

#include "LibDispatch/PaceUpdate.h"
#include "LibLog/Guard.h"
#include "LibLog/Log.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace figlift::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// \name Kinds of datagrams.
/// @{
constexpr char ReportKind = 'R';
constexpr char StoreUpdateKind = 'N';
constexpr char SuspectsKind = 'S';
constexpr char UsageKind = 'U';
constexpr char StreamOriginsKind = 'V';
constexpr char CrashCausesKind = 'C';
constexpr char PacesKind = 'P';
/// @}
/// How often a report includes server limits, about 30 bytes each, and the
/// learned engine costs, about 100 bytes per service. After a start the
/// learned costs of a process are accurate after ten responses, which arrive
/// in about this time.
constexpr milliseconds EngineCostInterval{250};
/// How often measured paces are sent, about 35 bytes per engine.
constexpr milliseconds PaceInterval{500};
/// How often samples of peers and targets that no longer exist are removed from
/// memory. They have no weight by then.
constexpr milliseconds PacePruneInterval{10000};
/// Suspects are announced at once, and again with every fourth report: after a
/// tenth of a second with four gateways, and half a second with a hundred.
constexpr unsigned ReportsPerReannouncement = 4;
/// Each gateway hears this often from some peer why prompt parts are rejected,
/// so that one that starts anew learns of them.
constexpr milliseconds RejectionInterval{100};
/// Reports are sent many times a second, to each peer: a line for each failure
/// would use up the limit of all lines about the process's state.
constexpr milliseconds FailureLogInterval{1000};
/// Maximum number of parts in one report; the rest follows in the next.
constexpr size_t MaximumParts = 64;

} // namespace

PeerLink::PeerLink(Context &Shared, PeerList &Peers,
                   UpdateHandler OnStoreUpdate)
    : m_Shared(Shared), m_Peers(Peers),
      m_StoreUpdateHandler(std::move(OnStoreUpdate)), m_Socket(Shared.Loop),
      m_ReportTimer(Shared.Loop) {}

Result<void> PeerLink::start() {
  const Endpoint &Address = m_Shared.Settings.Listen.Peers;
  boost::system::error_code Code;
  m_Socket.open(asio::ip::udp::v4(), Code);
  if (!Code)
    m_Socket.bind(
        {asio::ip::make_address_v4(Address.Address, Code), Address.Port}, Code);
  if (!Code)
    m_Socket.non_blocking(true, Code);
  if (Code)
    return failure(ResultCode::SettingsInvalid,
                   "cannot listen at " + Address.toString() + ": " +
                       Code.message(),
                   "listen.peers");
  m_Shared.Crashes.onUpdate(
      [this](const auto &Updates) { announceSuspects(Updates); },
      [this](const auto &Update) { announceCrashCauses(Update); });
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
    log::guarded("report to the gateways", {}, [this] { report(); });
    scheduleReport();
  });
}

void PeerLink::report() {
  dispatch::PeerReport Report;
  Report.Sender = m_Shared.Settings.Process.Id;
  Report.Loads = m_Shared.Loads.localLoads();
  auto &Parts = m_Shared.NewlyCached;
  const size_t Count = std::min(Parts.size(), MaximumParts);
  const auto End = Parts.begin() + static_cast<std::ptrdiff_t>(Count);
  Report.Cached.assign(Parts.begin(), End);
  Parts.erase(Parts.begin(), End);
  const BootTime Now = BootClock::now();
  for (const auto &[Service, Meter] : m_Shared.Demands)
    Report.Demands.push_back({Service, Meter.demand(Now)});
  for (const auto &[Id, Change] : m_Shared.Switching.all())
    if (Now < Change.Until)
      Report.Unavailable.push_back(
          {Id, std::chrono::duration_cast<milliseconds>(Change.Until - Now)});
  if (Now - m_EngineCostsSentAt >= EngineCostInterval) {
    m_EngineCostsSentAt = Now;
    for (const auto &[Service, Model] : m_Shared.EngineModels)
      Report.Engines.push_back({Service, Model.localParameters()});
    Report.Limits = m_Shared.Limits.makeUpdates(Now);
  }
  if (m_Shared.Usage.Meter) {
    Report.Clock = wallNow();
    Report.UsageSettledThrough = m_Shared.Usage.OwnSettledThrough;
  }
  std::string Body = encodePeerReport(Report);
  if (Body.size() > dispatch::MaximumReportBytes) {
    recordCut(fitIntoDatagram(Report), Now);
    Body = encodePeerReport(Report);
  }
  sendToAll(ReportKind, Body);
  sendPaces(Now);
  for (const auto &Update : m_Shared.Origins.takeUpdates(Now))
    sendToAll(StreamOriginsKind, encodeStreamOrigins(Update));
  if (++m_ReportsSinceReannouncement >= ReportsPerReannouncement)
    reannounceSuspects(Now);
}

void PeerLink::sendPaces(BootTime Now) {
  if (Now - m_PacesSentAt < PaceInterval)
    return;
  m_PacesSentAt = Now;
  if (Now - m_PacesPrunedAt >= PacePruneInterval) {
    m_PacesPrunedAt = Now;
    m_Shared.Paces.removeDecayed(Now);
    m_Shared.ReadRatios.removeDecayed(Now);
  }
  dispatch::PaceUpdate Update{m_Shared.Settings.Process.Id,
                              m_Shared.Paces.intervals().localSamples(Now),
                              m_Shared.ReadRatios.localSamples(Now),
                              m_Shared.Paces.ratios().localSamples(Now)};
  for (auto *Rows : {&Update.Intervals, &Update.ReadRatios})
    for (dispatch::TargetSamples &Row : *Rows)
      if (const dispatch::Target *Measured =
              m_Shared.Targets.find(Row.TargetId))
        Row.Started = Measured->Started;
  if (!Update.Intervals.empty() || !Update.ReadRatios.empty())
    sendToAll(PacesKind, encodePaceUpdate(Update));
}

void PeerLink::pacesReceived(std::string_view Body) {
  const auto Read = dispatch::decodePaceUpdate(Body);
  if (!Read)
    return log::logError(log::Level::Warning, "pace-update-invalid",
                         Read.error());
  const BootTime Now = BootClock::now();
  // The lists of this gateway decide which servers and services exist.
  const dispatch::PaceUpdate Update = currentSamples(
      Read.value(),
      [&](const dispatch::TargetSamples &Row) {
        const dispatch::Target *Listed = m_Shared.Targets.find(Row.TargetId);
        return Listed && Listed->Started == Row.Started;
      },
      [&](const std::string &Service) {
        return m_Shared.Configuration &&
               m_Shared.Configuration->service(Service);
      });
  m_Shared.ReadRatios.recordPeerReport(Update.Sender, Update.ReadRatios, Now);
  m_Shared.Paces.intervals().recordPeerReport(Update.Sender, Update.Intervals,
                                              Now);
  m_Shared.Paces.ratios().recordPeerReport(Update.Sender, Update.PauseRatios,
                                           Now);
}

void PeerLink::announceSuspects(
    const std::vector<dispatch::SuspectUpdate> &Updates) {
  sendToAll(SuspectsKind, encodeSuspectUpdates(Updates));
}

void PeerLink::reannounceSuspects(BootTime Now) {
  m_ReportsSinceReannouncement = 0;
  if (const auto Updates = m_Shared.Crashes.reannouncements(Now);
      !Updates.empty())
    announceSuspects(Updates);
  if (const auto Update = m_Shared.Crashes.causeReannouncement(Now);
      !Update.empty())
    announceCrashCauses(Update);
  const auto Interval =
      RejectionInterval * static_cast<int>(m_Peers.liveCount(Now));
  if (Now - m_RejectionsSentAt < Interval)
    return;
  m_RejectionsSentAt = Now;
  if (const auto Update = m_Shared.Crashes.rejectionReannouncement(Now);
      !Update.empty())
    announceCrashCauses(Update);
}

void PeerLink::announceCrashCauses(const dispatch::CrashCauseUpdate &Update) {
  sendToAll(CrashCausesKind, encodeCrashCauses(Update));
}

void PeerLink::crashCausesReceived(std::string_view Body) {
  const auto Read = dispatch::decodeCrashCauses(Body);
  if (!Read)
    return log::logError(log::Level::Warning, "crash-causes-invalid",
                         Read.error());
  m_Shared.Crashes.peerReportedCauses(Read.value(), BootClock::now());
}

void PeerLink::suspectsReceived(std::string_view Body) {
  const auto Read = dispatch::decodeSuspectUpdates(Body);
  if (!Read)
    return log::logError(log::Level::Warning, "suspect-news-invalid",
                         Read.error());
  m_Shared.Crashes.peerReported(Read.value(), BootClock::now());
}

void PeerLink::announce(const dispatch::StoreUpdate &Update) {
  sendToAll(StoreUpdateKind, encodeStoreUpdate(Update));
}

void PeerLink::sendToAll(char Kind, const std::string &Body) {
  const dispatch::DatagramSeal *Seal = m_Peers.seal();
  if (!Seal)
    return;
  const std::string Bytes = Seal->seal(Kind, Body);
  for (const auto &[Id, Peer] : m_Peers.all())
    sendTo(Peer, Bytes);
}

void PeerLink::sendTo(const PeerList::Peer &Peer, const std::string &Bytes) {
  // A gateway whose row has no address can be reached after its first report.
  if (Peer.Address.port() == 0)
    return;
  // The next datagram compensates for one that could not be sent.
  boost::system::error_code Code;
  m_Socket.send_to(asio::buffer(Bytes), Peer.Address, 0, Code);
  if (Code)
    recordFailedSend(Peer, Bytes.size(), Code);
}

void PeerLink::recordCut(size_t LeftOut, BootTime Now) {
  m_ItemsLeftOut += LeftOut;
  if (Now - m_CutLoggedAt < FailureLogInterval ||
      !m_Shared.Log.allows(LineKind::State, Now))
    return;
  m_CutLoggedAt = Now;
  log::logEvent(log::Level::Warning, "peer-report-cut", {{"leftOut", LeftOut}});
}

void PeerLink::recordFailedSend(const PeerList::Peer &Peer, size_t Bytes,
                                const boost::system::error_code &Code) {
  ++m_SendsFailed;
  const BootTime Now = BootClock::now();
  if (Now - m_SendFailureLoggedAt < FailureLogInterval)
    return;
  m_SendFailureLoggedAt = Now;
  if (m_Shared.Log.allows(LineKind::State, Now))
    log::logEvent(log::Level::Warning, "peer-send-failed",
                  {{"address", Peer.Address.address().to_string()},
                   {"port", Peer.Address.port()},
                   {"bytes", Bytes},
                   {"reason", Code.message()},
                   {"failed", m_SendsFailed}});
}

void PeerLink::sendUsage(const usage::UsageUpdate &Update,
                         const std::vector<std::string> &Receivers) {
  const dispatch::DatagramSeal *Seal = m_Peers.seal();
  if (!Seal || Receivers.empty())
    return;
  const std::string Bytes =
      Seal->seal(UsageKind, usage::encodeUsageUpdate(Update));
  for (const std::string &Id : Receivers)
    if (const auto Peer = m_Peers.all().find(Id); Peer != m_Peers.all().end())
      sendTo(Peer->second, Bytes);
}

void PeerLink::usageReceived(std::string_view Body) {
  const auto Read = usage::decodeUsageUpdate(Body);
  if (!Read)
    return log::logError(log::Level::Warning, "usage-update-invalid",
                         Read.error());
  if (m_UsageHandler)
    m_UsageHandler(Read.value());
}

void PeerLink::receive() {
  m_Socket.async_receive_from(
      asio::buffer(m_Buffer), m_Sender,
      [this](const boost::system::error_code &Code, size_t Count) {
        if (Code == asio::error::operation_aborted)
          return;
        // Other errors refer to an earlier datagram that was not delivered.
        if (!Code)
          log::guarded("datagram", {}, [&] {
            received({m_Buffer.data(), Count});
          });
        receive();
      });
}

void PeerLink::received(std::string_view Bytes) {
  const dispatch::DatagramSeal *Seal = m_Peers.seal();
  const auto Opened = Seal ? Seal->open(Bytes) : std::nullopt;
  if (!Opened) {
    ++m_Rejected;
    return;
  }
  const log::HandledMessage Scope(
      "datagram", fmt::format("{} (kind {})", m_Sender.address().to_string(),
                              Opened->Kind));
  if (Opened->Kind == ReportKind)
    reportReceived(Opened->Body);
  else if (Opened->Kind == StoreUpdateKind)
    storeUpdateReceived(Opened->Body);
  else if (Opened->Kind == SuspectsKind)
    suspectsReceived(Opened->Body);
  else if (Opened->Kind == UsageKind)
    usageReceived(Opened->Body);
  else if (Opened->Kind == StreamOriginsKind)
    streamOriginsReceived(Opened->Body);
  else if (Opened->Kind == CrashCausesKind)
    crashCausesReceived(Opened->Body);
  else if (Opened->Kind == PacesKind)
    pacesReceived(Opened->Body);
}

void PeerLink::streamOriginsReceived(std::string_view Body) {
  const auto Read = dispatch::decodeStreamOrigins(Body);
  if (!Read)
    return log::logError(log::Level::Warning, "stream-origins-invalid",
                         Read.error());
  m_Shared.Origins.applyUpdate(Read.value(), BootClock::now());
}

void PeerLink::storeUpdateReceived(std::string_view Body) {
  const auto Read = dispatch::decodeStoreUpdate(Body);
  if (!Read)
    return log::logError(log::Level::Warning, "store-news-invalid",
                         Read.error());
  m_StoreUpdateHandler(Read.value());
}

void PeerLink::reportReceived(std::string_view Body) {
  const auto Read = dispatch::decodePeerReport(Body);
  if (!Read) {
    log::logError(log::Level::Warning, "peer-report-invalid", Read.error());
    return;
  }
  const BootTime Now = BootClock::now();
  const dispatch::PeerReport &Report = Read.value();
  m_Peers.reportReceived(Report.Sender, m_Sender, Now);
  m_Shared.Loads.recordPeerReport(Report.Sender, Report.Loads, Now);
  m_Shared.Queues.wake();
  m_Shared.PeerDemands[Report.Sender] = Report.Demands;
  if (Report.Clock)
    m_Shared.Usage.Clock.recordPeer(Report.Sender, *Report.Clock, Now);
  if (Report.UsageSettledThrough) {
    m_Shared.Usage.Holder = Report.Sender;
    m_Shared.Usage.HolderHeardAt = Now;
    m_Shared.Usage.SettledThrough = *Report.UsageSettledThrough;
  }
  for (const dispatch::ServiceMeasurements &Costs : Report.Engines)
    m_Shared.EngineModels[Costs.Service].recordPeerParameters(
        Report.Sender, Costs.Figures, Now);
  for (const dispatch::LimitUpdate &Limit : Report.Limits)
    if (m_Shared.Targets.find(Limit.Server.TargetId))
      m_Shared.Limits.applyUpdate(Limit, Now);
  for (const dispatch::UnavailableTarget &Switching : Report.Unavailable) {
    m_Shared.Loads.excludeUntil(Switching.TargetId, Now + Switching.Remaining);
    if (m_Shared.Targets.find(Switching.TargetId))
      m_Shared.PeerSwitching[Switching.TargetId] = Now + Switching.Remaining;
  }
  for (const dispatch::CachedPart &Entry : Report.Cached)
    if (!m_Shared.Targets.find(Entry.TargetId))
      continue;
    else if (Entry.Within > milliseconds(0))
      m_Shared.Loads.cache(Entry.TargetId)
          .addPending(Entry.Part, Now + Entry.Within);
    else
      m_Shared.Loads.cache(Entry.TargetId).insert(Entry.Part);
}

} // namespace figlift::gateway
