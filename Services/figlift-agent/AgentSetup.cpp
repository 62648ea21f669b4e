//===- AgentParts.cpp - Construction and timers of the agent --------------===//
//
// Which parts there are depends on the target's type.
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
  std::unique_ptr<Agent> Made(new Agent(Shared));
  auto Server = PeerServer::create(Shared, *Made);
  if (!Server)
    return outcome::failure(Server.error());
  Made->m_Server = std::move(Server.value());
  if (auto Connected = Made->connectParts(); !Connected)
    return outcome::failure(Connected.error());
  return Made;
}

Result<void> Agent::connectParts() {
  platform::HttpCallOptions Store;
  Store.Server = m_Shared.Settings.Platform.Address;
  Store.Timeout = m_Shared.Settings.Platform.Timeout;
  auto Platform = platform::HttpPlatform::create(Store);
  if (!Platform)
    return outcome::failure(Platform.error());
  m_Platform = std::move(Platform.value());
  auto Client = PeerClient::create(m_Shared);
  if (!Client)
    return outcome::failure(Client.error());
  m_Client = std::move(Client.value());
  m_Fleet = std::make_unique<Fleet>(m_Shared, *m_Platform);
  m_Gate = std::make_unique<Gate>(m_Shared);
  m_Configuration = std::make_unique<Configuration>(
      m_Shared, Configuration::Parts{*m_Server, *m_Client, *m_Fleet},
      Configuration::Observers{[this] { configurationChanged(); },
                               [this](bool Serving) {
                                 m_Standing.setConfigured(Serving);
                                 standingChanged();
                               }});
  m_Answering = std::make_unique<Answering>(
      m_Shared, *m_Server,
      Answering::Sources{[this] { return load(); },
                         [this] { return m_Configuration->revision(); }});
  m_Syncs =
      std::make_unique<Syncs>(m_Shared, *m_Server, [this] { return report(); });
  if (m_Shared.Settings.Target.Type == settings::TargetType::Engine)
    makeEngineParts();
  else
    makeServiceParts();
  return success();
}

void Agent::makeEngineParts() {
  target::HttpEngineOptions Options;
  Options.Target = m_Shared.Settings.Target.Address;
  Options.SilenceTimeout = m_Shared.Settings.Target.Timeout;
  m_Engine = std::make_unique<target::HttpEngine>(Options);
  m_Completions = std::make_unique<Completions>(
      m_Shared,
      Completions::Parts{*m_Gate, *m_Answering, *m_Engine, m_Prefixes});
  m_Orders = std::make_unique<Orders>(
      m_Shared, Orders::Parts{*m_Gate, *m_Server, *m_Platform, *m_Engine},
      Orders::Observers{[this](bool Open) {
                          m_Standing.setEngineOpen(Open);
                          standingChanged();
                        },
                        [this] {
                          m_Prefixes.clear();
                          m_CacheSequence = 0;
                        }});
  m_Gate->onLeave(
      [this] { m_Shared.Decisions.post([this] { m_Orders->workLeft(); }); });
}

void Agent::makeServiceParts() {
  m_Service =
      std::make_unique<target::HttpService>(m_Shared.Settings.Target.Address);
  m_Slices = std::make_unique<SliceKeeper>(
      m_Shared, SliceKeeper::Parts{*m_Platform, *m_Fleet, *m_Client, *m_Server},
      wallNow());
  m_Calls = std::make_unique<ServiceCalls>(
      m_Shared, ServiceCalls::Parts{*m_Gate, *m_Answering, *m_Service},
      [this](const idempotency::Action &What) { m_Slices->carryOut(What); });
  m_Slices->setCalls(*m_Calls);
}

void Agent::start() {
  m_Shared.Events.record(
      timeline::kinds::ProcessStarted,
      {timeline::SubjectType::Process, m_Shared.Settings.Process.Id});
  m_Fleet->onChange(
      [this] { setReason(DrainReason::VmList, m_Fleet->leaving()); });
  m_Fleet->start();
  if (m_Orders) {
    m_Orders->start();
  } else {
    m_Standing.setEngineOpen(true);
    m_Slices->start();
  }
  standingChanged();
  everyControl(TickInterval, &Agent::tick);
  everyControl(PublishInterval, &Agent::publish);
  everyControl(SlowTickInterval, &Agent::slowTick);
}

void Agent::everyControl(std::chrono::milliseconds Period,
                         void (Agent::*What)()) {
  metrics::Counter &Spent = metrics::controlCpuSeconds(m_Shared.Metrics);
  m_Shared.Decisions.every(Period, [this, What, &Spent] {
    const metrics::ControlCpuScope Cost(Spent);
    (this->*What)();
  });
}

uint64_t Agent::controlBytes() const {
  const wire::Server &Server = m_Server->server();
  return m_Platform->bytes() + m_Client->bytes() + Server.bytesSent() +
         Server.bytesReceived() - Server.requestBytes();
}

void Agent::tick() {
  m_Gate->tick();
  // The transport's heartbeat ends dead streams: an open one is a sign of life.
  if (m_Syncs->entries() != 0)
    m_Configuration->peerHeard();
  m_Configuration->tick();
  if (m_Orders)
    m_Orders->tick();
  answerDrains();
  if (m_Slices && m_Standing.draining())
    m_Slices->rebalance(true, m_Configuration->leavingTargets());
  m_Syncs->tick();
  stopTick();
}

void Agent::slowTick() {
  m_Client->closeIdle();
  if (m_Completions)
    m_Completions->tick();
  if (m_Calls) {
    m_Calls->tick();
    if (!m_Standing.draining())
      m_Slices->rebalance(false, m_Configuration->leavingTargets());
  }
  if (!m_Engine)
    return;
  m_Engine->load([this](const auto &Read) {
    if (Read)
      m_Shared.Decisions.post(
          [this, Free = Read.value().KvFreeTokens] { m_KvTokensFree = Free; });
  });
  m_Engine->cacheEvents(m_CacheSequence, [this](const auto &Read) {
    if (!Read)
      return;
    m_Shared.Decisions.post([this, Events = Read.value()] {
      for (const target::CacheEvent &Event : Events) {
        m_CacheSequence = std::max(m_CacheSequence, Event.Sequence);
        if (!Event.Stored)
          m_Prefixes.evicted(Event.Hash);
      }
    });
  });
}

} // namespace figlift::agent
