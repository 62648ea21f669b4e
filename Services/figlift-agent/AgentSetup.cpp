//===- AgentSetup.cpp - Construction and timers of the agent --------------===//
//
// The set of components depends on the type of the target.
//
//===----------------------------------------------------------------------===//

#include "Agent.h"

#include "LibMetrics/ProcessMetrics.h"
#include "LibTarget/HttpEngine.h"
#include "LibTarget/HttpService.h"

namespace figlift::agent {

static constexpr std::chrono::milliseconds TickInterval{20};
static constexpr std::chrono::milliseconds PublishInterval{200};
static constexpr std::chrono::milliseconds SlowTickInterval{1000};

Result<std::unique_ptr<Agent>> Agent::create(Context Shared) {
  std::unique_ptr<Agent> Created(new Agent(Shared));
  auto Server = PeerServer::create(Shared, *Created);
  if (!Server)
    return outcome::failure(Server.error());
  Created->m_Server = std::move(Server.value());
  if (auto Components = Created->createComponents(); !Components)
    return outcome::failure(Components.error());
  return Created;
}

Result<void> Agent::createComponents() {
  platform::HttpCallOptions PlatformOptions;
  PlatformOptions.Server = m_Shared.Settings.Platform.Address;
  PlatformOptions.Timeout = m_Shared.Settings.Platform.Timeout;
  auto Platform = platform::HttpPlatform::create(PlatformOptions);
  if (!Platform)
    return outcome::failure(Platform.error());
  m_Platform = std::move(Platform.value());
  auto Client = PeerClient::create(m_Shared);
  if (!Client)
    return outcome::failure(Client.error());
  m_Client = std::move(Client.value());
  m_Fleet = std::make_unique<Fleet>(m_Shared, *m_Platform);
  m_Gate = std::make_unique<AdmissionGate>(m_Shared);
  m_Configuration = std::make_unique<Configuration>(
      m_Shared, Configuration::Dependencies{*m_Server, *m_Client, *m_Fleet},
      Configuration::Observers{[this] { configurationChanged(); },
                               [this](bool Serving) {
                                 m_Availability.setConfigured(Serving);
                                 availabilityChanged();
                               }});
  m_Frames = std::make_unique<FrameSender>(
      m_Shared, *m_Server,
      FrameSender::Sources{[this] { return currentLoad(); },
                           [this] { return m_Configuration->revision(); }});
  m_SyncReporter = std::make_unique<SyncReporter>(
      m_Shared, *m_Server, [this] { return createReport(); });
  if (m_Shared.Settings.Target.Type == settings::TargetType::Engine)
    createEngineComponents();
  else
    createServiceComponents();
  return success();
}

void Agent::createEngineComponents() {
  target::HttpEngineOptions Options;
  Options.Target = m_Shared.Settings.Target.Address;
  Options.SilenceTimeout = m_Shared.Settings.Target.Timeout;
  m_Engine = std::make_unique<target::HttpEngine>(Options);
  m_Completions = std::make_unique<Completions>(
      m_Shared,
      Completions::Dependencies{*m_Gate, *m_Frames, *m_Engine, m_Prefixes});
  m_Orders = std::make_unique<Orders>(
      m_Shared,
      Orders::Dependencies{*m_Gate, *m_Server, *m_Platform, *m_Engine},
      Orders::Observers{[this](bool Open) {
                          m_Availability.setEngineOpen(Open);
                          availabilityChanged();
                        },
                        [this] {
                          m_Prefixes.clear();
                          m_CacheSequence = 0;
                        }});
  m_Gate->onLeave(
      [this] { m_Shared.Loop.post([this] { m_Orders->onWorkEnded(); }); });
}

void Agent::createServiceComponents() {
  m_Service =
      std::make_unique<target::HttpService>(m_Shared.Settings.Target.Address);
  m_Slices = std::make_unique<SliceManager>(
      m_Shared,
      SliceManager::Dependencies{*m_Platform, *m_Fleet, *m_Client, *m_Server},
      wallNow());
  m_Calls = std::make_unique<ServiceCalls>(
      m_Shared, ServiceCalls::Dependencies{*m_Gate, *m_Frames, *m_Service},
      [this](const idempotency::Action &Action) { m_Slices->perform(Action); });
  m_Slices->setCalls(*m_Calls);
}

void Agent::start() {
  m_Shared.Events.record(
      timeline::kinds::ProcessStarted,
      {timeline::SubjectType::Process, m_Shared.Settings.Process.Id});
  m_Fleet->onChange(
      [this] { setDrainReason(DrainReason::VmList, m_Fleet->leaving()); });
  m_Fleet->start();
  if (m_Orders) {
    m_Orders->start();
  } else {
    m_Availability.setEngineOpen(true);
    m_Slices->start();
  }
  availabilityChanged();
  scheduleControlTask(TickInterval, &Agent::tick);
  scheduleControlTask(PublishInterval, &Agent::publish);
  scheduleControlTask(SlowTickInterval, &Agent::slowTick);
}

void Agent::scheduleControlTask(std::chrono::milliseconds Period,
                                void (Agent::*Task)()) {
  metrics::Counter &CpuSeconds = metrics::controlCpuSeconds(m_Shared.Metrics);
  m_Shared.Loop.every(Period, [this, Task, &CpuSeconds] {
    const metrics::ControlCpuScope Measured(CpuSeconds);
    (this->*Task)();
  });
}

uint64_t Agent::controlBytes() const {
  const wire::Server &Server = m_Server->server();
  return m_Platform->bytes() + m_Client->bytes() + Server.bytesSent() +
         Server.bytesReceived() - Server.requestBytes();
}

void Agent::tick() {
  m_Gate->tick();
  // The transport's heartbeat closes dead streams, so an open Sync stream shows
  // that an entry is alive.
  if (m_SyncReporter->entries() != 0)
    m_Configuration->peerHeard();
  m_Configuration->tick();
  if (m_Orders)
    m_Orders->tick();
  answerDrains();
  if (m_Slices && m_Availability.draining())
    m_Slices->rebalance(true, m_Configuration->leavingTargets());
  m_SyncReporter->tick();
  stopTick();
}

void Agent::slowTick() {
  m_Client->closeIdle();
  if (m_Completions)
    m_Completions->tick();
  if (m_Calls) {
    m_Calls->tick();
    if (!m_Availability.draining())
      m_Slices->rebalance(false, m_Configuration->leavingTargets());
  }
  if (!m_Engine)
    return;
  m_Engine->load([this](const auto &Response) {
    if (Response)
      m_Shared.Loop.post([this, Free = Response.value().KvFreeTokens] {
        m_KvTokensFree = Free;
      });
  });
  m_Engine->cacheEvents(m_CacheSequence, [this](const auto &Response) {
    if (!Response)
      return;
    m_Shared.Loop.post([this, Events = Response.value()] {
      for (const target::CacheEvent &Event : Events) {
        m_CacheSequence = std::max(m_CacheSequence, Event.Sequence);
        if (!Event.Stored)
          m_Prefixes.evicted(Event.Hash);
      }
    });
  });
}

} // namespace figlift::agent
