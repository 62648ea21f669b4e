//===- Gateway.cpp - The process that stands before the servers -----------===//
//
// Everything runs on one loop and one thread: the machines here have a
// fraction of a core, and a second thread only adds wake-ups.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "RequestFlow.h"

#include "LibLog/Log.h"
#include "platform/Rows.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace figlift::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TickInterval{100};
/// How often the settings file is looked at: its changes are not urgent, and a
/// look costs some system calls.
constexpr milliseconds SettingsInterval{1000};
/// A tick this late means that the process stood still: what it believes is as
/// old as that.
constexpr milliseconds StandstillBound{1000};
/// A delay of the loop that callers notice.
constexpr milliseconds NotableDelay{250};
/// Pause after an accept that failed for want of descriptors.
constexpr milliseconds AcceptPause{50};
/// Share of a server's connections that all gateways together use: a
/// connection that is being closed still counts at the server.
constexpr double ConnectionShare = 0.85;
constexpr size_t MinimumConnections = 2;
/// A wanted order that the first gateway has not given after this is given by
/// the next: a lease and an order take a fifth of it.
constexpr milliseconds OrderTurn{2500};

} // namespace

Gateway::Gateway(settings::GatewaySettings Given, OutputWriter &Output,
                 std::string SettingsFile)
    : m_Shared(std::move(Given)), m_Output(Output),
      m_SettingsFile(std::move(SettingsFile)),
      m_Store(m_Shared.Loop, m_Shared.Worker, m_Shared.Settings.Store),
      m_ConfigurationFollower(
          m_Shared.Loop, m_Store, std::string(slopes::OperatorTable),
          configurationListener(), {}, [this] { return m_Shared.draw(); }),
      m_ServerFollower(m_Shared.Loop, m_Store, std::string(slopes::ServerTable),
                       serverListener(), {},
                       [this] { return m_Shared.draw(); }),
      m_Leases(m_Store, "figlift-leases"), m_Peers(m_Shared, m_Store),
      m_PeerLink(m_Shared, m_Peers,
                 [this](const auto &News) { storeNewsHeard(News); }),
      m_Stages(m_Shared, m_Leases), m_Caches(m_Shared),
      m_Acceptor(m_Shared.Loop), m_AcceptTimer(m_Shared.Loop),
      m_ReadyServer(m_Shared.Loop,
                    [this](const auto &) {
                      return TextServer::Answer{ready() ? 200U : 503U, {}};
                    }),
      m_MetricsServer(
          m_Shared.Loop,
          [this](const auto &) {
            return TextServer::Answer{200, m_Shared.Metrics.prometheusText()};
          }),
      m_Signals(m_Shared.Loop, SIGTERM, SIGHUP), m_TickTimer(m_Shared.Loop) {}

Result<void> Gateway::start() {
  describeMetrics();
  m_Store.onNewEra([this](uint64_t Before) { storeCameBack(Before); });
  FIGLIFT_TRY(listen());
  FIGLIFT_TRY(m_PeerLink.start());
  m_Peers.start();
  m_LastTick = BootClock::now();
  m_TickBefore = m_LastTick;
  m_ConfigurationFollower.start();
  m_ServerFollower.start();
  watchSignals();
  scheduleTick();
  log::logEvent(log::Level::Info, "started",
                {{"zone", m_Shared.Settings.Process.Zone},
                 {"callers", m_Shared.Settings.Listen.Callers.toString()},
                 {"store", m_Shared.Settings.Store.toString()}});
  return success();
}

Result<void> Gateway::listen() {
  const settings::GatewayListen &Where = m_Shared.Settings.Listen;
  auto Opened = openListener(m_Shared.Loop, Where.Callers, "listen.callers");
  if (!Opened)
    return outcome::failure(Opened.error());
  m_Acceptor = std::move(Opened.value());
  FIGLIFT_TRY(m_ReadyServer.start(Where.Ready, "listen.ready"));
  FIGLIFT_TRY(m_MetricsServer.start(Where.Metrics, "listen.metrics"));
  accept();
  return success();
}

void Gateway::accept() {
  m_Acceptor.async_accept([this](const boost::system::error_code &Code,
                                 tcp::socket Socket) {
    if (Code == asio::error::operation_aborted)
      return;
    if (Code) {
      // Out of descriptors: the queue of the listener keeps what waits.
      log::logEvent(log::Level::Warning, "accept-failed",
                    {{"message", Code.message()}});
      m_AcceptTimer.expires_after(AcceptPause);
      m_AcceptTimer.async_wait([this](const boost::system::error_code &Stop) {
        if (!Stop)
          accept();
      });
      return;
    }
    proxy::CallerLimits Limits;
    if (m_Shared.Configuration) {
      const dispatch::CallerBounds &Bounds = m_Shared.Configuration->Bounds;
      Limits = {{Bounds.HeadBytes, Bounds.BodyBytes},
                Bounds.HeadTimeout,
                Bounds.IdleTimeout};
    }
    auto Caller = std::make_shared<proxy::CallerConnection>(std::move(Socket),
                                                            Limits, *this);
    m_Callers.insert(Caller.get());
    Caller->start();
    accept();
  });
}

std::shared_ptr<proxy::RequestProcess>
Gateway::handle(proxy::Request What,
                std::shared_ptr<proxy::CallerConnection> Caller) {
  if (m_Shared.Stop.begun())
    Caller->closeAfterResponse();
  auto Flow = std::make_shared<RequestFlow>(m_Shared, std::move(What),
                                            std::move(Caller));
  Flow->start();
  return Flow;
}

proxy::Rejection Gateway::rejected(unsigned Status) {
  if (m_Shared.Log.allows(LineKind::Notable, BootClock::now()))
    log::logEvent(log::Level::Info, "input-rejected", {{"status", Status}});
  return proxy::rejectionOf(Status);
}

void Gateway::closed(proxy::CallerConnection &Caller) {
  m_Callers.erase(&Caller);
}

bool Gateway::ready() const {
  return !m_Shared.Stop.begun() && m_Shared.Configuration && m_ServersKnown;
}

void Gateway::apply(const std::vector<dispatch::TargetEvent> &Events) {
  struct Visitor {
    Gateway &Self;
    void operator()(const dispatch::TargetAdded &Event) const {
      Self.targetCame(Event.Entry);
    }
    void operator()(const dispatch::TargetChanged &Event) const {
      log::logEvent(log::Level::Info, "target-changed",
                    {{"target", Event.Entry.Id},
                     {"stage", static_cast<int>(Event.Entry.EngineStage)}});
    }
    void operator()(const dispatch::TargetDraining &Event) const {
      log::logEvent(log::Level::Info, "target-drains", {{"target", Event.Id}});
      Self.m_Shared.Crashes.targetLeaves(Event.Id);
    }
    void operator()(const dispatch::TargetRemoved &Event) const {
      Self.targetGone(Event.Id);
    }
  };
  for (const dispatch::TargetEvent &Each : Events)
    std::visit(Visitor{*this}, Each);
}

void Gateway::targetCame(const dispatch::Target &Which) {
  log::logEvent(log::Level::Info, "target-came",
                {{"target", Which.Id},
                 {"service", Which.Service},
                 {"address", Which.Address.toString()},
                 {"zone", Which.Zone},
                 {"stage", static_cast<int>(Which.EngineStage)}});
  m_Shared.Pools[Which.Id] = std::make_shared<upstream::ConnectionPool>(
      m_Shared.Loop, Which.Address, upstream::PoolSettings{});
  uint64_t Capacity = 0;
  if (m_Shared.Configuration)
    if (const auto *Service = m_Shared.Configuration->service(Which.Service);
        Service && Service->Engine)
      Capacity = Service->Engine->KvCapacityTokens;
  m_Shared.Loads.targetAdded(Which, Capacity);
  limitPools();
  m_Caches.engineCame(Which, BootClock::now());
}

void Gateway::targetGone(const std::string &Id) {
  log::logEvent(log::Level::Info, "target-gone", {{"target", Id}});
  m_Shared.Away.erase(Id);
  m_Shared.Crashes.targetGone(Id);
  m_Shared.Limits.targetGone(Id);
  if (const auto Found = m_Shared.Pools.find(Id);
      Found != m_Shared.Pools.end()) {
    Found->second->retire();
    m_Shared.Pools.erase(Found);
  }
  m_Shared.Loads.targetRemoved(Id);
}

void Gateway::limitPools() {
  if (!m_Shared.Configuration)
    return;
  const auto Sharers = static_cast<double>(m_Peers.sharers(BootClock::now()));
  for (const auto &[Id, Each] : m_Shared.Targets.all()) {
    const auto *Service = m_Shared.Configuration->service(Each.Service);
    if (!Service || Service->MaximumConnections == 0)
      continue;
    const auto Share = static_cast<size_t>(
        ConnectionShare * Service->MaximumConnections / Sharers);
    // Of several targets that came together, those whose event has not been
    // handled yet have no pool: taking it for granted ended the process at each
    // restart in a fleet that was running.
    if (const auto Pool = m_Shared.Pools.find(Id); Pool != m_Shared.Pools.end())
      Pool->second->limit(std::max(MinimumConnections, Share));
    // Targets may be known before the configuration is.
    if (Service->Engine)
      m_Shared.Loads.targetAdded(Each, Service->Engine->KvCapacityTokens);
  }
}

void Gateway::scheduleTick() {
  m_TickTimer.expires_after(TickInterval);
  m_TickTimer.async_wait([this](const boost::system::error_code &Stopped) {
    if (Stopped)
      return;
    tick();
    scheduleTick();
  });
}

void Gateway::tick() {
  const BootTime Now = BootClock::now();
  if (Now - m_LastTick > StandstillBound) {
    log::logEvent(log::Level::Warning, "stood-still",
                  {{"for", Now - m_LastTick}});
    m_ConfigurationFollower.distrust();
    m_ServerFollower.distrust();
  }
  noteDelay(Now - m_LastTick - TickInterval);
  m_TickBefore = std::exchange(m_LastTick, Now);
  m_Shared.ServersSeen = m_ServerJournal.knownAt();
  apply(m_Shared.Targets.tick(Now));
  m_Shared.Budget.setProcesses(m_Peers.sharers(Now), Now);
  limitPools();
  m_Shared.OrderTurnDelay =
      OrderTurn * static_cast<int>(m_Peers.liveBefore(Now));
  noteFigures(Now);
  m_Stages.tick(Now);
  m_Caches.tick(Now);
  m_Shared.Crashes.tick(Now);
  shareLimits(Now);
  watchSettings(Now);
  m_Shared.Log.tick(Now);
  if (m_Shared.Stop.begun())
    stopTick(Now);
  m_Output.flush();
}

void Gateway::shareLimits(BootTime Now) {
  for (const auto &[Id, PerSecond] : m_Shared.Limits.inForce())
    m_Shared.Limits.share(
        Id, dispatch::limitShare(m_Peers.limitFleet(Id, Now), Id, PerSecond),
        Now);
}

void Gateway::noteDelay(BootClock::duration Delay) {
  m_Delays += std::max(Delay, BootClock::duration::zero());
  if (Delay >= NotableDelay && Delay <= StandstillBound)
    log::logEvent(log::Level::Info, "loop-delayed", {{"for", Delay}});
}

void Gateway::watchSignals() {
  // Taken from the process's start to its end: were they given back between
  // two waits, one that came just then would end the process.
  m_Signals.async_wait(
      [this](const boost::system::error_code &Code, int Signal) {
        if (Code)
          return;
        if (Signal == SIGTERM)
          stop();
        else
          reloadSettings(m_SettingsFile.read());
        watchSignals();
      });
}

/// The platform may change the file without a signal.
void Gateway::watchSettings(BootTime Now) {
  if (Now - m_SettingsSeen < SettingsInterval)
    return;
  m_SettingsSeen = Now;
  if (const auto Changed = m_SettingsFile.readIfChanged())
    reloadSettings(*Changed);
}

void Gateway::reloadSettings(const std::string &Text) {
  auto Read = settings::parseGatewaySettings(Text);
  if (!Read)
    return log::logError(log::Level::Error, "reload-refused", Read.error());
  // Addresses are bound for the life of the process; the rest takes effect.
  m_Shared.Settings.Drain = Read.value().Drain;
  m_Shared.Stop.graceChanged(grace());
  m_Shared.Settings.Orders = Read.value().Orders;
  ++m_Reloads;
  log::logEvent(log::Level::Info, "reloaded", {{"grace", grace()}});
}

milliseconds Gateway::grace() const {
  return std::chrono::duration_cast<milliseconds>(
      m_Shared.Settings.Drain.Grace);
}

void Gateway::stop() {
  if (m_Shared.Stop.begun())
    return;
  const BootTime Now = BootClock::now();
  m_Shared.Stop.begin(m_TickBefore, grace());
  // A change of the settings right before SIGTERM may not have been seen yet;
  // the kill may be due by either, so the earlier one has to be known.
  if (const auto Changed = m_SettingsFile.readIfChanged())
    reloadSettings(*Changed);
  // Also the answers to what is at hand say that the connection closes.
  for (proxy::CallerConnection *Each : m_Callers)
    Each->closeAfterResponse();
  log::logEvent(log::Level::Info, "stopping",
                {{"callers", m_Callers.size()},
                 {"busy", busyCallers()},
                 {"grace", grace()},
                 {"endsInMs", *m_Shared.Stop.timeLeft(Now)}});
}

size_t Gateway::busyCallers() const {
  return static_cast<size_t>(std::count_if(
      m_Callers.begin(), m_Callers.end(),
      [](const proxy::CallerConnection *Each) { return Each->busy(); }));
}

void Gateway::stopTick(BootTime Now) {
  const auto Callers = m_Callers;
  if (m_Shared.Stop.closesIdle(Now))
    for (proxy::CallerConnection *Each : Callers)
      Each->closeIfIdle();
  if (m_Shared.Stop.answersNow(Now))
    for (proxy::CallerConnection *Each : Callers)
      Each->announceEnd();
  if (!m_Shared.Stop.over(Now, m_Callers.empty()))
    return;
  log::logEvent(log::Level::Info, "stopped",
                {{"callers", Callers.size()}, {"cut", busyCallers()}});
  for (proxy::CallerConnection *Each : Callers)
    Each->end();
  m_Output.flush();
  m_Shared.Loop.stop();
}

void Gateway::run() { m_Shared.Loop.run(); }

} // namespace figlift::gateway
