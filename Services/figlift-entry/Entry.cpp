//===- Entry.cpp - The entry process --------------------------------------===//
//
// See Entry.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Entry.h"

#include "figlift-entry/PolicyByName.h"

#include "LibHttp/Administration.h"
#include "LibMetrics/ProcessMetrics.h"
#include "LibRoute/Subset.h"

#include <future>
#include <thread>

namespace figlift::entry {

using std::chrono::milliseconds;
using timeline::SubjectType;

namespace {

constexpr milliseconds NotReadyRetryAfter{500};
/// Minimum time between reporting not ready and closing the listener, so that
/// the load balancer notices and stops sending requests.
constexpr milliseconds MinimumDrainTime{300};
constexpr milliseconds DrainCheckInterval{10};
constexpr double PercentToRatio = 0.01;
/// Other entries are polled less often than the table: while the table is
/// readable, their replies only serve the status that operators see.
constexpr int PeerPollFactor = 2;

timeline::TimelineOptions
timelineOptions(const settings::EntrySettings &Source) {
  timeline::TimelineOptions Options;
  Options.ProcessId = Source.Process.Id;
  Options.ProcessKind = "entry";
  Options.Zone = Source.Process.Zone;
  Options.Capacity = Source.TimelineEvents;
  return Options;
}

retry::RetryBudgetSettings
budgetSettings(const settings::EntrySettings &Source) {
  retry::RetryBudgetSettings Settings;
  Settings.Ratio = Source.Limits.RetryPercent * PercentToRatio;
  return Settings;
}

retry::RetrySettings retrySettings(const settings::EntrySettings &Source) {
  retry::RetrySettings Settings;
  Settings.MaximumAttempts = Source.Limits.AttemptsPerRequest;
  return Settings;
}

std::vector<std::string> serviceBackEnds(const config::Snapshot &Snapshot) {
  std::vector<std::string> Names;
  for (const config::SnapshotRecord *Item : Snapshot.list("backEnd"))
    if (const record::BackEnd *Spec = Snapshot.backEnd(Item->Stored.Name);
        Spec && Spec->Type == record::BackEndType::Service)
      Names.push_back(Item->Stored.Name);
  return Names;
}

} // namespace

Entry::Entry(const settings::EntrySettings &Settings)
    : m_Settings(Settings), m_Events(timelineOptions(Settings)),
      m_Budget(budgetSettings(Settings)),
      m_RetryOptions(retrySettings(Settings)),
      m_Routing(routingPolicyByName(Settings.Policy.Routing)) {}

Entry::~Entry() = default;

Result<std::unique_ptr<Entry>>
Entry::create(const settings::EntrySettings &Settings) {
  std::unique_ptr<Entry> Created(new Entry(Settings));
  Created->m_Events.record(timeline::kinds::ProcessStarted,
                           {SubjectType::Process, Settings.Process.Id});
  Created->registerMetrics();
  FIGLIFT_TRY(Created->openPlatform());
  FIGLIFT_TRY(Created->openTransport());
  Created->followConfiguration();
  Created->serveOperators();
  FIGLIFT_TRY(Created->listenToPeers());
  FIGLIFT_TRY(Created->listenToCallers());
  return Created;
}

void Entry::registerMetrics() {
  metrics::registerProcessMetrics(m_Metrics);
  m_Metrics.registerGauge(
      "entry_revision", "Configuration revision in force.", [this] {
        return m_Configuration
                   ? static_cast<double>(m_Configuration->revision())
                   : 0.0;
      });
  m_Metrics.registerGauge("entry_retry_budget",
                          "Retries that may be spent now.",
                          [this] { return m_Budget.remaining(); });
  metrics::registerControlBytes(m_Metrics, [this] { return controlBytes(); });
  m_Metrics.registerCounter(
      "wire_bytes_total", "Bytes exchanged with agents and entries.", [this] {
        return m_Transport ? static_cast<double>(m_Transport->bytesSent() +
                                                 m_Transport->bytesReceived())
                           : 0.0;
      });
}

uint64_t Entry::controlBytes() const {
  uint64_t Sum = m_Platform ? m_Platform->bytes() : 0;
  if (m_Transport)
    Sum += m_Transport->bytesSent() + m_Transport->bytesReceived() -
           m_Transport->requestBytes();
  if (m_PeerServer)
    Sum += m_PeerServer->bytesSent() + m_PeerServer->bytesReceived() -
           m_PeerServer->requestBytes();
  return Sum;
}

Result<void> Entry::openPlatform() {
  platform::HttpCallOptions Options;
  Options.Server = m_Settings.Platform.Address;
  Options.Timeout = m_Settings.Platform.Timeout;
  FIGLIFT_TRY(Created, platform::HttpPlatform::create(Options));
  m_Platform = std::move(Created);
  return success();
}

Result<void> Entry::openTransport() {
  wire::ClientOptions Options;
  Options.Threads = m_Settings.Threads.Wire;
  Options.ConnectTimeout = m_Settings.Wire.ConnectTimeout;
  Options.HeartbeatInterval = m_Settings.Wire.HeartbeatInterval;
  Options.HeartbeatTimeout = m_Settings.Wire.HeartbeatTimeout;
  Options.Seed = route::rendezvousKey(m_Settings.Process.Id);
  FIGLIFT_TRY(Created, wire::Client::create(Options));
  m_Transport = std::move(Created);
  return success();
}

void Entry::followConfiguration() {
  m_Fleet = std::make_unique<Fleet>(
      Fleet::Dependencies{m_Settings, m_Control, *m_Transport, m_Events,
                          m_Metrics, *m_Platform, m_State});
  m_Homes = std::make_unique<HomeReader>(m_Control, *m_Platform, *m_Fleet);
  m_Peers = std::make_unique<PeerConfiguration>(
      PeerConfiguration::Dependencies{
          m_Control, *m_Transport, m_Events, m_Settings.Process.Id,
          m_Settings.Platform.Timeout,
          PeerPollFactor * m_Settings.Platform.PollInterval,
          [this] { return m_Configuration->revision(); }},
      [this] { return m_Fleet->upChannels(); });
  config::FollowerOptions Options;
  Options.PollInterval = m_Settings.Platform.PollInterval;
  Options.IsolationBound = m_Settings.Limits.IsolationBound;
  config::ConfigCallbacks Callbacks;
  Callbacks.OnSnapshot = [this](const config::SnapshotPointer &Next) {
    m_Control.post([this, Next] { m_Fleet->setConfiguration(Next); });
    m_Homes->watch(serviceBackEnds(*Next));
  };
  Callbacks.OnServing = [this](auto Stopped) { onServing(Stopped); };
  m_Configuration = std::make_unique<config::ConfigService>(
      Options, config::makeTableSource(*m_Platform, m_Peers->fetcher()),
      std::move(Callbacks));
  m_Planner = std::make_unique<PlannerHost>(
      PlannerHost::Dependencies{m_Settings, m_Control, *m_Fleet, *m_Platform,
                                m_Ids, m_Events, m_Metrics});
  m_Planner->start();
  m_Control.post([this] {
    m_Peers->setPeers(m_Settings.Peers);
    m_Peers->startPolling([this](config::Delta Newer) {
      m_Configuration->push(std::move(Newer));
    });
    m_Fleet->start(
        [this](std::vector<Endpoint> Peers) { m_Peers->setPeers(Peers); },
        [this](uint64_t Revision) {
          m_Configuration->observeRevision(Revision);
        });
  });
}

void Entry::onServing(std::optional<config::follower::StopReason> Stopped) {
  std::optional<Error> Reason;
  if (Stopped) {
    const bool IsBehind = *Stopped == config::follower::StopReason::Behind;
    Reason =
        Error{IsBehind ? ResultCode::StaleConfiguration : ResultCode::NotReady,
              "the entry takes no new work: " +
                  std::string(config::stopReasonName(*Stopped)),
              {},
              NotReadyRetryAfter};
  }
  m_Control.post(
      [this, Reason = std::move(Reason)] { m_Fleet->setNotReady(Reason); });
}

Result<void> Entry::ready() const {
  if (m_IsShuttingDown.load())
    return outcome::failure(Error{ResultCode::Draining,
                                  "this entry is shutting down",
                                  {},
                                  NotReadyRetryAfter});
  const auto Reason =
      m_State.read([](const ServingState &Now) { return Now.NotReady; });
  if (Reason)
    return outcome::failure(*Reason);
  return success();
}

void Entry::serveOperators() {
  m_Status =
      std::make_unique<EntryStatusProvider>(EntryStatusProvider::Dependencies{
          m_Settings.Process.Id, *m_Fleet, *m_Peers, m_State, m_Events});
  m_Operators =
      std::make_unique<config::OperatorService>(config::OperatorContext{
          *m_Platform, *m_Status, [this] { return servingConfiguration(); },
          [this] {
            const Result<void> State = ready();
            return State ? std::string() : State.error().Message;
          },
          [this](const config::ChangeOutcome &Outcome) {
            m_Configuration->onCommitted(Outcome);
          },
          [this](const std::string &Target, bool Undo) {
            return requestDrain(Target, Undo);
          }});
}

/// Returns the configuration that requests are served with, which may be older
/// than the last one received: when a revision is reported as in force, the
/// next request must be served with it.
config::SnapshotPointer Entry::servingConfiguration() const {
  if (!m_Configuration->current())
    return nullptr;
  return m_State.read(
      [](const ServingState &Now) { return Now.Configuration; });
}

bool Entry::requestDrain(const std::string &Target, bool Undo) const {
  const auto Link =
      m_State.read([&](const ServingState &Now) -> std::shared_ptr<TargetLink> {
        const auto Iterator = Now.Links.find(Target);
        return Iterator == Now.Links.end() ? nullptr : Iterator->second;
      });
  if (!Link || Link->channel().state() != wire::ChannelState::Up)
    return false;
  Link->requestDrain("an operator's wish that the table did not take", Undo);
  return true;
}

Result<void> Entry::listenToPeers() {
  wire::ServerOptions Peer;
  Peer.Listen = m_Settings.Listen.Peer;
  Peer.Threads = m_Settings.Threads.Wire;
  Peer.HeartbeatInterval = m_Settings.Wire.HeartbeatInterval;
  Peer.HeartbeatTimeout = m_Settings.Wire.HeartbeatTimeout;
  FIGLIFT_TRY(Peers,
              wire::Server::create(Peer, std::make_shared<PeerServer>([this] {
                                     return m_Configuration->current();
                                   })));
  m_PeerServer = std::move(Peers);
  return success();
}

Result<void> Entry::listenToCallers() {
  m_Calls = std::make_unique<CallContext>(CallContext{
      m_State, m_Timers, m_Events, m_CallMetrics, m_Ids, m_Budget,
      m_Fleet->healthBook(), m_Workspaces, m_Routing, m_RetryOptions,
      [this](uint64_t Revision) { m_Configuration->observeRevision(Revision); },
      [this](const std::string &BackEnd) { m_Homes->requestRead(BackEnd); }});

  std::vector<http::Route> Routes = http::administrationRoutes(
      {.Ready = [this] { return ready(); },
       .Metrics = [this] { return m_Metrics.prometheusText(); },
       .TimelineAfter =
           [this](uint64_t After) {
             return m_Events.toJson(timeline::Stamp{After});
           }});
  for (http::Route &Route :
       callerRoutes(*m_Calls, m_Settings.Limits.DefaultDeadline))
    Routes.push_back(std::move(Route));
  for (http::Route &Route : operatorRoutes(*m_Operators))
    Routes.push_back(std::move(Route));
  http::ServerOptions Options;
  Options.Listen = m_Settings.Listen.Callers;
  Options.MaximumBodyBytes = m_Settings.Limits.RequestBytes.Bytes;
  Options.MaximumRequests = m_Settings.Limits.RequestsInFlight;
  Options.Threads = m_Settings.Threads.Http;
  FIGLIFT_TRY(Callers, http::Server::create(Options, std::move(Routes)));
  m_Callers = std::move(Callers);
  return success();
}

bool Entry::waitForRequests() const {
  const BootTime Begin = BootClock::now();
  const BootTime End = Begin + m_Settings.Drain.Timeout;
  while (BootClock::now() < End) {
    if (m_Callers->requestsInFlight() == 0 &&
        BootClock::now() - Begin >= MinimumDrainTime)
      return true;
    std::this_thread::sleep_for(DrainCheckInterval);
  }
  return m_Callers->requestsInFlight() == 0;
}

void Entry::stopPlanner() {
  std::promise<void> Stopped;
  m_Planner->stop([&Stopped] { Stopped.set_value(); });
  Stopped.get_future().wait();
}

bool Entry::shutDown() {
  m_Events.record(timeline::kinds::ProcessStopping,
                  {SubjectType::Process, m_Settings.Process.Id});
  log::logEvent(log::Level::Info, "leaving",
                {{"requests", m_Callers->requestsInFlight()}});
  m_IsShuttingDown.store(true);
  stopPlanner();
  m_Callers->drain();
  m_PeerServer->drain();
  const bool Completed = waitForRequests();
  m_Callers->stop();
  m_Timers.stop();
  m_Control.post([this] {
    m_Fleet->stop();
    m_Peers->stop();
  });
  m_Control.stop();
  m_PeerServer->stop();
  log::logEvent(log::Level::Info, "left", {{"whole", Completed}});
  return Completed;
}

} // namespace figlift::entry
