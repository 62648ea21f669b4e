//===- UsageDirector.cpp - Reports the fleet's usage ----------------------===//
//
// See UsageDirector.h.
//
//===----------------------------------------------------------------------===//

#include "UsageDirector.h"

#include "ControlCall.h"

#include "LibLog/Log.h"
#include "platform/DutyCalls.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace figlift::gateway {

using std::chrono::milliseconds;

namespace {

/// A call that is not answered within this time is aborted.
constexpr milliseconds CallTimeout{500};
/// How long a holder may act after a renewal of the lease.
constexpr milliseconds Authority{2000};
/// The first gateways besides the holder watch its lease, and collect sums, to
/// be able to take over. The others wait this long for a sign of the holder,
/// and this much longer for each live gateway before them.
constexpr size_t Standbys = 2;
constexpr milliseconds HolderSilence{1000};
constexpr milliseconds TurnTime{400};
/// Interval between two messages with sums; what a gateway counted since the
/// last one is lost when it is killed.
constexpr milliseconds SumInterval{250};
constexpr milliseconds SumIntervalPerPeer{2};
/// A gateway whose last report is older is not waited for.
constexpr std::chrono::seconds ExpectedSenderLifetime{12};

usage::DutyOptions dutyOptions(const settings::GatewayDuties &Duties) {
  return {std::chrono::duration_cast<milliseconds>(Duties.UsageWindow),
          std::chrono::duration_cast<milliseconds>(Duties.UsageDue)};
}

std::string recordKey(size_t Row) { return fmt::format("report/{}", Row); }

} // namespace

UsageDirector::UsageDirector(Context &Shared, platform::Table &Records,
                             PeerList &Peers, PeerLink &Link)
    : m_Shared(Shared), m_Records(Records), m_Peers(Peers), m_Link(Link),
      m_Duty(dutyOptions(Shared.Settings.Duties), *this),
      m_Incarnation(Shared.Random()) {
  const settings::GatewayDuties &Duties = m_Shared.Settings.Duties;
  if (!Duties.includes(slopes::UsageDutyName))
    return;
  m_Shared.Usage.Meter.emplace(dutyOptions(Duties).WindowLength);
  m_Shared.Usage.Clock.recordOwn(wallNow(), BootClock::now());
  m_Receiver = std::make_shared<upstream::ConnectionPool>(
      m_Shared.Loop, Duties.Address, upstream::PoolSettings{});
  lease::LeaseOptions Options;
  // A restarted process must not mistake its predecessor's row for its own.
  Options.Self =
      fmt::format("{}#{:x}", m_Shared.Settings.Process.Id, m_Incarnation);
  Options.Margin =
      std::chrono::duration_cast<milliseconds>(m_Shared.Settings.Orders.Lease) +
      CallTimeout;
  Options.Duration = Options.Margin + Authority;
  // The store calls back on the event loop already.
  m_Lease = std::make_shared<lease::LeaseKeeper>(
      m_Records, [](const std::function<void()> &Run) { Run(); }, "lease",
      std::move(Options),
      lease::LeaseKeeper::Observer{[](uint64_t Epoch) {
                                     log::logEvent(log::Level::Info,
                                                   "usage-duty-taken",
                                                   {{"epoch", Epoch}});
                                   },
                                   [](uint64_t Epoch) {
                                     log::logEvent(log::Level::Info,
                                                   "usage-duty-lost",
                                                   {{"epoch", Epoch}});
                                   }});
  m_Link.onUsageUpdate(
      [this](const usage::UsageUpdate &Update) { m_Ledger.apply(Update); });
  describeMetrics();
}

void UsageDirector::describeMetrics() {
  metrics::Registry &Metrics = m_Shared.Metrics;
  Metrics.registerGauge("figlift_gateway_usage_duty",
                        "1 while this gateway reports the fleet's usage",
                        [this] { return epoch() ? 1 : 0; });
  Metrics.registerCounter("figlift_gateway_usage_reports_total",
                          "Usage reports that were accepted",
                          [this] { return double(m_Reported); });
  Metrics.registerCounter("figlift_gateway_usage_missed_total",
                          "Windows whose usage was not reported in time",
                          [this] { return double(m_Missed); });
}

std::optional<uint64_t> UsageDirector::epoch() const {
  // A process that stops starts no more calls.
  return m_Shared.Stop.begun() ? std::nullopt : m_Lease->epoch();
}

void UsageDirector::tick(BootTime Now) {
  if (!m_Lease)
    return;
  UsageState &Usage = m_Shared.Usage;
  Usage.Clock.recordOwn(wallNow(), Now);
  tickLease(Now);
  if (Now - m_SumsSentAt >=
      SumInterval + SumIntervalPerPeer * m_Peers.all().size())
    sendSums(Now);
  step(usage::Tick{});
  Usage.OwnSettledThrough.reset();
  if (epoch()) {
    Usage.OwnSettledThrough = m_Duty.settledThrough();
    Usage.SettledThrough = m_Duty.settledThrough();
    Usage.HolderHeardAt = Now;
  }
  Usage.Meter->forgetThrough(Usage.SettledThrough);
  m_Ledger.forgetThrough(Usage.SettledThrough);
}

bool UsageDirector::isCandidate(BootTime Now) const {
  const UsageState &Usage = m_Shared.Usage;
  size_t Before = m_Peers.liveBefore(Now);
  if (Before > 0 && Usage.Holder < m_Shared.Settings.Process.Id)
    --Before;
  // The first of all waits for reports of a holder once, after its start.
  const bool IsStandby = Before < Standbys && !Usage.Holder.empty();
  return IsStandby ||
         Now - Usage.HolderHeardAt >= HolderSilence + TurnTime * Before;
}

void UsageDirector::tickLease(BootTime Now) {
  if (!m_Shared.Stop.begun()) {
    if (epoch() || isCandidate(Now))
      m_Lease->tick();
    return;
  }
  // A successor acts as soon as the lease is released. If this gateway held it
  // again soon after, its calls would alternate with the successor's within
  // the time that the platform forbids.
  const auto Quiet = std::chrono::duration_cast<BootClock::duration>(
      m_Shared.Settings.Orders.Lease);
  if (!m_Lease->stopped() && Now - m_LastCallEnds >= Quiet)
    m_Lease->stop();
}

std::vector<std::string> UsageDirector::sumReceivers(BootTime Now) const {
  std::vector<std::string> Receivers = m_Peers.livePeers(Now);
  if (Receivers.size() > Standbys)
    Receivers.resize(Standbys);
  const UsageState &Usage = m_Shared.Usage;
  const bool IsListed = std::find(Receivers.begin(), Receivers.end(),
                                  Usage.Holder) != Receivers.end();
  if (!IsListed && !Usage.Holder.empty() && !epoch())
    Receivers.push_back(Usage.Holder);
  return Receivers;
}

void UsageDirector::sendSums(BootTime Now) {
  if (!m_Lease)
    return;
  m_SumsSentAt = Now;
  usage::UsageUpdate Update;
  Update.Sender = m_Shared.Settings.Process.Id;
  Update.Incarnation = m_Incarnation;
  Update.Sums = m_Shared.Usage.Meter->sums(m_Shared.Usage.Clock.at(Now));
  m_Ledger.apply(Update);
  m_Link.sendUsage(Update, sumReceivers(Now));
}

void UsageDirector::storeRestored(uint64_t Era) {
  if (!m_Lease)
    return;
  m_Lease->storeRestored(Era);
  step(usage::StoreRestored{});
}

bool UsageDirector::isComplete(usage::WindowNumber Window) const {
  std::vector<std::string> Senders =
      m_Peers.heardSince(BootClock::now() - ExpectedSenderLifetime);
  Senders.push_back(m_Shared.Settings.Process.Id);
  return m_Ledger.isComplete(Window, Senders);
}

usage::Counts UsageDirector::totals(usage::WindowNumber Window) const {
  return m_Ledger.totals(Window);
}

void UsageDirector::step(const usage::Event &Input) {
  const BootTime Now = BootClock::now();
  for (const usage::Action &Action :
       m_Duty.step(Input, {Now, m_Shared.Usage.Clock.at(Now), epoch()}))
    std::visit([this](const auto &Selected) { act(Selected); }, Action);
}

void UsageDirector::act(const usage::ReadRecord &Read) {
  m_Records.read(recordKey(Read.Row), [this](Result<platform::Row> Row) {
    if (!Row)
      return step(usage::ReadFailed{});
    usage::RecordRead Known;
    Known.Row.Version = Row.value().Version;
    if (Row.value().Version > 0) {
      const auto Decoded = usage::decodeReport(Row.value().Value);
      if (Decoded)
        Known.Row.Record = Decoded.value();
      else
        log::logError(log::Level::Warning, "usage-record-invalid",
                      Decoded.error());
    }
    step(Known);
  });
}

void UsageDirector::act(const usage::WriteRecord &Write) {
  platform::Transaction Change;
  Change.Conditions = {{recordKey(Write.Row), Write.ExpectedVersion}};
  Change.Writes = {{recordKey(Write.Row), usage::encodeReport(Write.Record)}};
  m_Records.commit(Change, [this](const Result<std::monostate> &Done) {
    if (Done)
      return step(usage::RecordWritten{});
    step(usage::WriteFailed{});
  });
}

void UsageDirector::act(const usage::SendReport &Send) {
  const BootTime Now = BootClock::now();
  auto Connection = m_Receiver->acquire(Now);
  if (!Connection)
    return callEnded(Send, 0);
  m_LastCallEnds = Now + CallTimeout;
  const auto Start = [&](std::shared_ptr<upstream::ExchangeSink> Sink) {
    Connection->exchange(
        slopes::usageCallBytes(m_Shared.Settings.Duties.Address.toString(),
                               {m_Shared.Settings.Process.Id, Send.Epoch},
                               Send.Recorded),
        true, std::move(Sink));
    return Connection;
  };
  startControlCall(m_Shared, Start, CallTimeout,
                   [this, Send](unsigned Status, const std::string &) {
                     m_LastCallEnds = BootClock::now();
                     callEnded(Send, Status);
                   });
}

void UsageDirector::callEnded(const usage::SendReport &Sent, unsigned Status) {
  const usage::Reply Reply = slopes::decodeUsageReply(Status);
  uint64_t Requests = 0;
  for (const auto &[Tenant, Count] : Sent.Recorded.Requests)
    Requests += Count;
  if (Reply == usage::Reply::Accepted)
    ++m_Reported;
  log::logEvent(Reply == usage::Reply::Accepted ? log::Level::Info
                                                : log::Level::Warning,
                "usage-reported",
                {{"window", Sent.Recorded.Window},
                 {"status", Status},
                 {"tenants", Sent.Recorded.Requests.size()},
                 {"requests", Requests},
                 {"epoch", Sent.Epoch}});
  step(usage::ReportAnswered{Sent.Recorded.Window, Reply});
}

void UsageDirector::act(const usage::MissedWindow &Missed) {
  ++m_Missed;
  log::logEvent(log::Level::Warning, "usage-missed",
                {{"window", Missed.Window}});
}

} // namespace figlift::gateway
