//===- Gateway.cpp - The gateway process ----------------------------------===//
//
// Everything runs on one event loop in one thread: the machines provide a
// fraction of a core, where a second thread only adds wake-ups.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "RequestFlow.h"

#include "LibLog/FailureReport.h"
#include "LibLog/Guard.h"
#include "LibLog/Log.h"
#include "platform/Headers.h"
#include "platform/Rows.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace figlift::gateway {

using std::chrono::milliseconds;

namespace {

/// How often the settings file is checked. Changes are not urgent, and each
/// check costs some system calls.
constexpr milliseconds SettingsInterval{1000};
/// A tick that is this late means that the process stalled, and its cached
/// view of the store is at least as old.
constexpr milliseconds StallThreshold{1000};
/// Delay of the loop that callers notice.
constexpr milliseconds LoggedDelay{250};
/// Bytes are held for about as long as a request lasts.
constexpr milliseconds NoMemoryRetryAfter{300};
/// Share of a server's connection limit that all gateways use together. The
/// rest is headroom: the server still counts connections that are being
/// closed.
constexpr double ConnectionShare = 0.85;
constexpr size_t MinimumConnections = 2;
/// A planned order that the first gateway has not given within this time is
/// given by the next one. Acquiring the lease and sending the order take a
/// fifth of it.
constexpr milliseconds OrderTurnTime{2500};
/// Delay between the trials of two gateways. Longer than the announcement of a
/// trial takes to arrive, so that only one gateway sends it.
constexpr milliseconds TrialTurnTime{1000};
/// While the version of a listed server is unconfirmed, each gateway reads the
/// list itself this long after its previous read. Shorter than the reads of the
/// elected reader (0.8 s) in a small fleet, as streams are held back; in a
/// large one the gateways share the store's limit on reads.
constexpr milliseconds ConfirmationReadInterval{600};
constexpr milliseconds ConfirmationReadIntervalPerGateway{20};

} // namespace

Gateway::Gateway(settings::GatewaySettings Settings, OutputWriter &Output,
                 std::string SettingsFile)
    : m_Shared(std::move(Settings)), m_Output(Output),
      m_SettingsFile(std::move(SettingsFile)),
      m_Store(m_Shared.Loop, m_Shared.Worker, m_Shared.Settings.Store),
      m_ConfigurationFollower(
          m_Shared.Loop, m_Store, std::string(slopes::OperatorTable),
          configurationListener(), {}, [this] { return m_Shared.draw(); }),
      m_ServerFollower(m_Shared.Loop, m_Store, std::string(slopes::ServerTable),
                       serverListener(), {},
                       [this] { return m_Shared.draw(); }),
      m_Leases(m_Store, "figlift-leases"), m_Versions(m_Shared, m_Store),
      m_Peers(m_Shared, m_Store),
      m_PeerLink(m_Shared, m_Peers,
                 [this](const auto &Update) { storeUpdateReceived(Update); }),
      m_Stages(m_Shared, m_Leases), m_UsageRecords(m_Store, "figlift-usage"),
      m_Usage(m_Shared, m_UsageRecords, m_Peers, m_PeerLink),
      m_Caches(m_Shared), m_Acceptor(m_Shared.Loop),
      m_AcceptTimer(m_Shared.Loop),
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
  m_Shared.Worker.run(
      [] {
        // A large page is decoded there.
        thread_local const log::SignalStack Stack;
        return true;
      },
      [](bool) {});
  m_Store.onNewEra(
      [this](uint64_t PreviousEra) { storeRestored(PreviousEra); });
  m_Store.onRefusedRows(
      [this](const std::string &Table, const slopes::RowsRead &Read) {
        storeRowsRefused(Table, Read);
      });
  m_Shared.Feedback.onShutdown(
      [this](const dispatch::ServerStart &Server) { targetShutsDown(Server); });
  FIGLIFT_TRY(listen());
  FIGLIFT_TRY(m_PeerLink.start());
  m_Peers.start();
  m_LastTick = BootClock::now();
  m_Shared.Delay.start(m_LastTick);
  m_PreviousTick = m_LastTick;
  m_ConfigurationFollower.start();
  m_ServerFollower.start();
  m_Versions.start();
  watchSignals();
  scheduleTick();
  log::logEvent(log::Level::Info, "started",
                {{"zone", m_Shared.Settings.Process.Zone},
                 {"callers", m_Shared.Settings.Listen.Callers.toString()},
                 {"store", m_Shared.Settings.Store.toString()}});
  return success();
}

Result<void> Gateway::listen() {
  const settings::GatewayListen &Addresses = m_Shared.Settings.Listen;
  auto Opened =
      openListener(m_Shared.Loop, Addresses.Callers, "listen.callers");
  if (!Opened)
    return outcome::failure(Opened.error());
  m_Acceptor = std::move(Opened.value());
  boost::system::error_code Failed;
  m_Acceptor.non_blocking(true, Failed);
  if (Failed)
    return failure(ResultCode::SettingsInvalid,
                   "cannot be made non-blocking: " + Failed.message(),
                   "listen.callers");
  FIGLIFT_TRY(m_ReadyServer.start(Addresses.Ready, "listen.ready"));
  FIGLIFT_TRY(m_MetricsServer.start(Addresses.Metrics, "listen.metrics"));
  accept();
  return success();
}

proxy::ErrorResponse Gateway::rejected(unsigned Status) {
  if (m_Shared.Log.allows(LineKind::Notable, BootClock::now()))
    log::logEvent(log::Level::Info, "input-rejected",
                  {{"status", Status}, {"heldBytes", m_Shared.Memory.used()}});
  proxy::ErrorResponse Response = proxy::errorResponse(Status);
  if (Status == dispatch::NotRunStatus)
    slopes::addRetryAfter(Response.Head.Headers, NoMemoryRetryAfter);
  return Response;
}

void Gateway::closed(proxy::CallerConnection &Caller) {
  m_Callers.erase(&Caller);
  m_BeyondShare.erase(&Caller);
  recordClose(Caller.closeReport());
}

bool Gateway::ready() const {
  return !m_Shared.Stop.begun() && m_Shared.Configuration && m_ServersKnown;
}

void Gateway::apply(const std::vector<dispatch::TargetEvent> &Events) {
  if (Events.empty())
    return;
  m_Shared.Open.invalidate();
  m_PoolLimitsStale = true;
  struct Visitor {
    Gateway &Self;
    void operator()(const dispatch::TargetAdded &Event) const {
      Self.targetAdded(Event.Entry);
    }
    void operator()(const dispatch::TargetChanged &Event) const {
      log::logEvent(log::Level::Info, "target-changed",
                    {{"target", Event.Entry.Id},
                     {"softwareVersion", Event.Entry.SoftwareVersion},
                     {"stage", static_cast<int>(Event.Entry.EngineStage)}});
    }
    void operator()(const dispatch::TargetDraining &Event) const {
      log::logEvent(log::Level::Info, "target-drains", {{"target", Event.Id}});
      Self.m_Shared.Crashes.targetDraining(Event.Id);
    }
    void operator()(const dispatch::TargetRemoved &Event) const {
      Self.targetRemoved(Event.Id);
    }
  };
  // The list has changed already, so the other events must be handled in any
  // case.
  for (const dispatch::TargetEvent &Event : Events)
    log::guarded("change of a target", {},
                 [&] { std::visit(Visitor{*this}, Event); });
  dispatch::VersionHistory::VersionsByService Versions;
  for (const auto &[Id, Target] : m_Shared.Targets.all())
    Versions[Target.Service].insert(Target.SoftwareVersion);
  m_Shared.Origins.versions().replaceListed(Versions, BootClock::now());
}

void Gateway::targetShutsDown(const dispatch::ServerStart &Server) {
  const auto Events = m_Shared.Targets.recordShutdown(Server, BootClock::now());
  if (Events.empty())
    return;
  ++m_AnnouncedShutdowns;
  log::logEvent(log::Level::Info, "server-shutting-down",
                {{"target", Server.TargetId}});
  apply(Events);
}

void Gateway::targetAdded(const dispatch::Target &Target) {
  upstream::PoolSettings Settings;
  Settings.LastAwake = [this] { return m_Shared.Delay.lastAwake(); };
  auto &Pool = m_Shared.Pools[Target.Id];
  Pool = std::make_shared<upstream::ConnectionPool>(
      m_Shared.Loop, Target.Address, std::move(Settings));
  Pool->onUnexpectedClose([this, Server = Target.start()] {
    m_Shared.Restarts.connectionLost(Server);
  });
  uint64_t Capacity = 0;
  if (m_Shared.Configuration)
    if (const auto *Service = m_Shared.Configuration->service(Target.Service);
        Service && Service->Engine)
      Capacity = Service->Engine->KvCapacityTokens;
  m_Shared.Loads.targetAdded(Target, Capacity);
  m_Caches.engineAdded(Target, BootClock::now());
  log::logEvent(log::Level::Info, "target-came",
                {{"target", Target.Id},
                 {"service", Target.Service},
                 {"address", Target.Address.toString()},
                 {"zone", Target.Zone},
                 {"softwareVersion", Target.SoftwareVersion},
                 {"stage", static_cast<int>(Target.EngineStage)}});
}

void Gateway::targetRemoved(const std::string &Id) {
  log::logEvent(log::Level::Info, "target-gone", {{"target", Id}});
  m_Shared.Switching.remove(Id);
  m_Shared.PeerSwitching.erase(Id);
  m_Shared.Crashes.targetRemoved(Id);
  m_Shared.Limits.removeTarget(Id);
  if (const auto Pool = m_Shared.Pools.find(Id); Pool != m_Shared.Pools.end()) {
    Pool->second->retire();
    m_Shared.Pools.erase(Pool);
  }
  m_Shared.Loads.targetRemoved(Id);
  m_Shared.Paces.removeTarget(Id);
  m_Shared.ReadRatios.removeTarget(Id);
}

/// Visits all targets, so it does nothing while nothing has changed: with
/// thousands of servers, one pass takes milliseconds.
void Gateway::limitPools() {
  if (!m_Shared.Configuration)
    return;
  const size_t Sharing = m_Peers.sharingGateways(BootClock::now());
  const bool IsUnchanged = Sharing == m_PoolsSharedBy && !m_PoolLimitsStale;
  if (IsUnchanged)
    return;
  m_PoolsSharedBy = Sharing;
  m_PoolLimitsStale = false;
  for (const dispatch::Service &Service : m_Shared.Configuration->Services)
    limitPools(Service, Sharing);
}

void Gateway::limitPools(const dispatch::Service &Service, size_t Sharing) {
  const OpenTargets::List &All = m_Shared.Open.all(Service.Name);
  if (All.empty() || Service.MaximumConnections == 0)
    return;
  // Each server is used by a part of the gateways if each gateway uses a part
  // of the servers.
  const double Users = std::max(
      1.0, static_cast<double>(Sharing) *
               static_cast<double>(m_Shared.Open.used(Service.Name).size()) /
               static_cast<double>(All.size()));
  const auto Share =
      static_cast<size_t>(ConnectionShare * Service.MaximumConnections / Users);
  for (const dispatch::Target *Target : All) {
    // When several targets are added at once, those whose event has not been
    // handled yet have no pool. Dereferencing it unchecked crashed a gateway
    // that restarted in a running fleet.
    if (const auto Pool = m_Shared.Pools.find(Target->Id);
        Pool != m_Shared.Pools.end())
      Pool->second->setLimit(std::max(MinimumConnections, Share));
    // A target may be added before the configuration has been read.
    if (Service.Engine)
      m_Shared.Loads.targetAdded(*Target, Service.Engine->KvCapacityTokens);
  }
}

void Gateway::scheduleTick() {
  m_TickTimer.expires_after(TickInterval);
  m_TickTimer.async_wait([this](const boost::system::error_code &Stopped) {
    if (Stopped)
      return;
    log::guarded("tick", {}, [this] { tick(); });
    scheduleTick();
  });
}

/// A part that throws must not keep the others from running: among them are the
/// end of the process and the output of its log.
void Gateway::tick() {
  const BootTime Now = BootClock::now();
  const auto Part = [](std::string_view Name, auto Work) {
    log::guarded("tick", Name, Work);
  };
  Part("delays", [&] {
    catchUpIfLate();
    if (Now - m_LastTick > StallThreshold) {
      m_ConfigurationFollower.resync();
      m_ServerFollower.resync();
      log::logEvent(log::Level::Warning, "stood-still",
                    {{"for", Now - m_LastTick}});
    }
    recordLoopDelay(loopDelay());
    logClosedConnections(Now);
  });
  m_PreviousTick = std::exchange(m_LastTick, Now);
  Part("targets", [&] {
    serversKnown();
    m_Servers.forgetEnded(Now);
    apply(m_Shared.Targets.tick(Now));
  });
  Part("restarts", [&] {
    m_Shared.Restarts.tick(Now);
    const milliseconds Interval = std::max(
        ConfirmationReadInterval, ConfirmationReadIntervalPerGateway *
                                      static_cast<int>(m_Peers.liveCount(Now)));
    if (Now - m_ServersReadAt >= Interval && m_Shared.Restarts.needsEntries())
      m_ServerFollower.readNow();
  });
  Part("versions", [&] {
    if (const auto Since = m_Peers.silentSince(Now))
      m_Shared.Origins.versions().recordSilence(*Since, Now);
    m_Versions.tick(m_Peers.liveBefore(Now), m_Peers.liveCount(Now), Now);
  });
  Part("fleet", [&] {
    const size_t Sharing = m_Peers.sharingGateways(Now);
    if (std::exchange(m_BudgetSharedBy, Sharing) != Sharing)
      log::logEvent(log::Level::Info, "retry-budget-shared",
                    {{"processes", Sharing}});
    m_Shared.Budget.setProcessCount(Sharing, Now);
    m_Shared.Queues.setFleet(Sharing, m_Peers.livePeers(Now));
    m_Shared.Open.setPlace(m_Peers.place());
    limitPools();
    m_Shared.OrderTurnDelay =
        OrderTurnTime * static_cast<int>(m_Peers.liveBefore(Now));
  });
  Part("engine costs", [&] { logEngineCosts(Now); });
  Part("stages", [&] { m_Stages.tick(Now); });
  Part("usage", [&] { m_Usage.tick(Now); });
  Part("caches", [&] { m_Caches.tick(Now); });
  Part("crashes", [&] {
    m_Shared.Crashes.setTrialDelay(TrialTurnTime *
                                   static_cast<int>(m_Peers.liveBefore(Now)));
    m_Shared.Crashes.tick(Now);
  });
  Part("limits", [&] { shareLimits(Now); });
  Part("settings", [&] { watchSettings(Now); });
  Part("log", [&] { m_Shared.Log.tick(Now); });
  if (m_Shared.Stop.begun())
    Part("stop", [&] { stopTick(Now); });
  Part("output", [&] { m_Output.flush(); });
}

void Gateway::shareLimits(BootTime Now) {
  for (const auto &[Id, PerSecond] : m_Shared.Limits.activeLimits())
    m_Shared.Limits.setShare(
        Id, dispatch::limitShare(m_Peers.limitFleet(Id, Now), Id, PerSecond),
        Now);
}

BootClock::duration Gateway::loopDelay() const {
  return BootClock::now() - m_LastTick - TickInterval;
}

void Gateway::recordLoopDelay(BootClock::duration Delay) {
  m_AcceptControl.recordDelay(Delay);
  m_Shared.Delay.recordTick(BootClock::now());
  if (Delay >= LoggedDelay && Delay <= StallThreshold)
    log::logEvent(log::Level::Info, "loop-delayed", {{"for", Delay}});
}

void Gateway::watchSignals() {
  // The handler stays installed for the life of the process. If it were
  // removed between two waits, a signal that arrives in between would kill the
  // process.
  m_Signals.async_wait(
      [this](const boost::system::error_code &Code, int Signal) {
        if (Code)
          return;
        log::guarded("signal", {}, [&] {
          if (Signal == SIGTERM)
            stop();
          else
            reloadSettings(m_SettingsFile.read());
        });
        watchSignals();
      });
}

/// The platform may change the file without sending a signal.
void Gateway::watchSettings(BootTime Now) {
  if (Now - m_SettingsCheckedAt < SettingsInterval)
    return;
  m_SettingsCheckedAt = Now;
  if (const auto Changed = m_SettingsFile.readIfChanged())
    reloadSettings(*Changed);
}

void Gateway::reloadSettings(const std::string &Text) {
  auto Read = settings::parseGatewaySettings(Text);
  if (!Read)
    return log::logError(log::Level::Error, "reload-refused", Read.error());
  // Addresses stay bound for the life of the process; the other settings take
  // effect now.
  m_Shared.Settings.Drain = Read.value().Drain;
  m_Shared.Stop.updateGrace(grace());
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
  m_Shared.Stop.begin(m_PreviousTick, grace());
  // A settings change right before SIGTERM may not have been read yet. SIGKILL
  // may follow the old or the new grace time, so the earlier one has to be
  // known.
  log::guarded("settings", {}, [this] {
    if (const auto Changed = m_SettingsFile.readIfChanged())
      reloadSettings(*Changed);
  });
  // Responses to requests in progress announce the end of the connection, too.
  for (proxy::CallerConnection *Caller : m_Callers)
    Caller->closeAfterResponse();
  log::guarded("stop", {}, [&] {
    log::logEvent(log::Level::Info, "stopping",
                  {{"callers", m_Callers.size()},
                   {"busy", busyCallers()},
                   {"grace", grace()},
                   {"endsInMs", *m_Shared.Stop.timeLeft(Now)}});
  });
  m_Shared.Queues.stop();
}

size_t Gateway::busyCallers() const {
  return static_cast<size_t>(std::count_if(
      m_Callers.begin(), m_Callers.end(),
      [](const proxy::CallerConnection *Caller) { return Caller->isBusy(); }));
}

void Gateway::stopTick(BootTime Now) {
  const auto Callers = m_Callers;
  const auto ForEach = [&](auto Work) {
    for (proxy::CallerConnection *Caller : Callers)
      log::guarded("stop", {}, [&] { Work(*Caller); });
  };
  if (m_Shared.Stop.closesIdle(Now))
    ForEach([](auto &Caller) { Caller.closeIfIdle(); });
  if (m_Shared.Stop.startsFinalAnswers(Now))
    ForEach([](auto &Caller) { Caller.notifyProcessStopping(); });
  if (!m_Shared.Stop.mayExit(Now, m_Callers.empty()))
    return;
  log::guarded("stop", {}, [&] {
    log::logEvent(log::Level::Info, "stopped",
                  {{"callers", Callers.size()},
                   {"cut", busyCallers()},
                   {"givenUpOfEarlier", m_Shared.Stops.givenUpOfEarlier()},
                   {"givenUpOfLater", m_Shared.Stops.givenUpOfLater()}});
  });
  ForEach([](auto &Caller) { Caller.closeForExit(); });
  log::guarded("stop", {}, [&] { m_Usage.sendSums(Now); });
  m_Output.flush();
  m_Shared.Loop.stop();
}

void Gateway::run() {
  // Handlers have guards of their own where others depend on their end. The
  // loop goes on with the next handler after one that threw.
  while (!log::guarded({}, {}, [this] { m_Shared.Loop.run(); }))
    continue;
}

} // namespace figlift::gateway
