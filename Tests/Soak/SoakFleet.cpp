//===- SoakFleet.cpp - Gateways, servers and links under faults -----------===//
//
// See SoakFleet.h.
//
//===----------------------------------------------------------------------===//

#include "SoakFleet.h"

#include "Support/Caller.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

namespace figlift::soak {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Each SIGHUP sets the next grace of these.
constexpr std::array Graces = {milliseconds(8000), milliseconds(6000),
                               milliseconds(4000)};
/// Allowance beyond the grace for a busy test machine.
constexpr milliseconds StopSlack{1500};
/// The soak ticks twenty times per second, so a longer gap is a stall.
constexpr milliseconds StallThreshold{1000};
constexpr milliseconds StartLimit{10000};
/// A quarter of the memory of a machine above that of a calm gateway.
constexpr size_t MaximumMemory = 76 << 20;
/// Route timeout of streams and requests that may outlast every grace.
constexpr milliseconds LongTimeout{10000};
constexpr unsigned PlainServers = 3;
/// Slots of plain servers that are to be full.
constexpr unsigned FewSlots = 1;
constexpr unsigned MovingServices = 3;
/// Ports of a gateway, on its own address. On a shared address, the fault proxy
/// may bind a port that was found free before the gateway does; callers then
/// bypass the gateways and reach a server or the store.
constexpr uint16_t CallersPort = 7001;
constexpr uint16_t ReadyPort = 7002;
constexpr uint16_t MetricsPort = 7003;
constexpr uint16_t PeersPort = 7004;

/// An address from 127.64.0.0 to 127.127.255.255, chosen by process id so that
/// concurrent soaks do not collide.
std::string gatewayAddress(unsigned Gateway) {
  const auto Pid = static_cast<unsigned>(getpid());
  constexpr unsigned Hosts = 250;
  return fmt::format("127.{}.{}.{}", 64 + Pid / Hosts % 64, Pid % Hosts + 1,
                     Gateway + 1);
}

std::string modeName(LinkFault How) {
  switch (How) {
  case LinkFault::Cut:
    return "cut";
  case LinkFault::Freeze:
    return "freeze";
  case LinkFault::LoseRequests:
    return "drop-up";
  case LinkFault::LoseResponses:
    return "drop-down";
  case LinkFault::Delay:
    return "delay";
  case LinkFault::CutHeads:
    return "cut-heads";
  case LinkFault::BreakAnswers:
    return "break-answers";
  case LinkFault::None:
    return "pass";
  }
  return {};
}

std::string movingService(uint64_t Version) {
  return fmt::format("moving-{}", Version % MovingServices);
}

} // namespace

SoakFleet::SoakFleet(boost::asio::io_context &Loop, InvariantChecker &Checker,
                     uint64_t Seed, unsigned Gateways,
                     std::filesystem::path Folder)
    : m_Loop(Loop), m_Checker(Checker), m_Folder(std::move(Folder)),
      m_Store(Loop), m_Gateways(Gateways) {
  const auto Add = [&](const std::string &Service, const std::string &Stage) {
    m_Servers.push_back(std::make_unique<SoakServer>(
        Loop, Checker, Seed + m_Servers.size(), Service, Stage));
    const auto Server = static_cast<unsigned>(m_Servers.size() - 1);
    m_Servers.back()->restartAs(
        serverPrefix(Server) + std::to_string(++m_IncarnationCount), "v1");
    m_Servers.back()->Crashed = [this, Server] { scheduleReplacement(Server); };
    m_Servers.back()->StageChanged = [this, Server] {
      publish(Server, "ready");
    };
  };
  for (unsigned I = 0; I < PlainServers; ++I)
    Add("plain", "");
  for (unsigned I = 0; I < MovingServices; ++I)
    Add(movingService(I), "");
  for (unsigned I = 0; I < Engines; ++I)
    Add("model", I == 0 ? "prefill" : "decode");
}

void SoakFleet::limitPlainServers() {
  for (unsigned I = 0; I < m_Servers.size(); ++I) {
    if (!m_Servers[I]->stage().empty())
      continue;
    m_Servers[I]->limitSlots(FewSlots);
    publish(I, "ready");
  }
}

void SoakFleet::letServersEnd() {
  m_ServersEnd = true;
  for (unsigned I = 0; I < m_Servers.size(); ++I) {
    m_Servers[I]->writeInParts();
    m_Servers[I]->Ended = [this, I] { startSuccessor(I); };
  }
}

void SoakFleet::relayPeers() {
  std::vector<Endpoint> Gateways;
  for (unsigned I = 0; I < m_Gateways.size(); ++I)
    Gateways.push_back({gatewayAddress(I), PeersPort});
  m_Peers = std::make_unique<PeerRelay>(m_Loop, Gateways);
  m_Store.Written = [this](const std::string &Table, const std::string &Key,
                           std::string Value) {
    for (unsigned I = 0; I < m_Gateways.size(); ++I)
      if (Table == "figlift-gateways" && Key == gatewayName(I))
        return m_Peers->address(I).toString();
    return Value;
  };
}

std::string SoakFleet::gatewayName(unsigned Gateway) const {
  return fmt::format("gateway-{}", Gateway + 1);
}

std::string SoakFleet::linkFlag(const std::string &Name,
                                const Endpoint &Target) const {
  return fmt::format("{}=127.0.0.1:0>{}", Name, Target.toString());
}

bool SoakFleet::startProxy() {
  // A broken link must not look like the end of a response.
  std::vector<std::string> Flags = {"--reset"};
  const auto Add = [&](const std::string &Name, const Endpoint &Target) {
    Flags.push_back("--link");
    Flags.push_back(linkFlag(Name, Target));
  };
  for (unsigned I = 0; I < m_Gateways.size(); ++I) {
    m_Gateways[I].Callers = {gatewayAddress(I), CallersPort};
    Add(fmt::format("store-{}", I), m_Store.address());
    Add(fmt::format("callers-{}", I), m_Gateways[I].Callers);
  }
  for (unsigned I = 0; I < m_Servers.size(); ++I)
    Add(fmt::format("server-{}", I), m_Servers[I]->address());
  m_Proxy =
      test::ChildProcess::start("Tests/StandIns/fault-proxy/fault-proxy", Flags,
                                (m_Folder / "fault-proxy.log").string());
  if (!m_Proxy.waitForOutput("listening ", StartLimit))
    return false;
  const std::string Text = m_Proxy.output();
  const size_t Start = Text.find("listening ") + 10;
  m_ProxyControl = Text.substr(Start, Text.find('\n', Start) - Start);
  return true;
}

Endpoint SoakFleet::linkAddress(const std::string &Name) const {
  const std::string Text = m_Proxy.output();
  const std::string Prefix = "link " + Name + " ";
  const size_t Start = Text.find(Prefix) + Prefix.size();
  return Endpoint::parse(Text.substr(Start, Text.find('\n', Start) - Start))
      .value();
}

void SoakFleet::setLink(Link Kind, unsigned Index, LinkFault Mode) {
  constexpr std::array Names = {"store", "callers", "server"};
  test::call(m_ProxyControl, "POST",
             fmt::format("/control/links/{}-{}",
                         Names[static_cast<size_t>(Kind)], Index),
             Json{{"mode", modeName(Mode)}, {"delay", "200ms"}}.dump(), {},
             StartLimit);
}

bool SoakFleet::start() {
  if (!startProxy())
    return false;
  for (unsigned I = 0; I < m_Servers.size(); ++I)
    publish(I, "ready");
  configure();
  for (unsigned I = 0; I < m_Gateways.size(); ++I)
    startGateway(I);
  return true;
}

std::filesystem::path SoakFleet::writeSettings(unsigned Index) {
  const Gateway &Target = m_Gateways[Index];
  const std::string Name = gatewayName(Index);
  const std::string Address = gatewayAddress(Index);
  const auto MakeAddress = [&](uint16_t Port) {
    return Endpoint{Address, Port}.toString();
  };
  const Json Settings = {
      {"process", {{"id", Name}, {"zone", "z"}}},
      {"listen",
       {{"callers", Target.Callers.toString()},
        {"ready", MakeAddress(ReadyPort)},
        {"metrics", MakeAddress(MetricsPort)},
        {"peers", MakeAddress(PeersPort)}}},
      {"store",
       {{"address", linkAddress(fmt::format("store-{}", Index)).toString()}}},
      {"fleet", {{"starts", Target.Starts == 0}}},
      {"retry",
       {{"ratio", InvariantBounds().RetryRatio},
        {"base", InvariantBounds().RetryBase},
        {"windowSeconds", 10}}},
      {"drain",
       {{"graceSeconds", std::chrono::duration<double>(Target.Grace).count()}}},
      {"orders", {{"leaseMilliseconds", 3000}}}};
  // The file is replaced atomically, as a gateway may read it at any time.
  const auto NewFile = m_Folder / (Name + ".new");
  std::ofstream(NewFile) << Settings.dump(1);
  const auto File = m_Folder / (Name + ".json");
  std::filesystem::rename(NewFile, File);
  return File;
}

void SoakFleet::startGateway(unsigned Index) {
  Gateway &Target = m_Gateways[Index];
  const std::string Name = gatewayName(Index);
  const auto Settings = writeSettings(Index);
  Target.StopRequested = false;
  Target.TerminatedAt = {};
  Target.Paused = false;
  Target.ExceededMemory = false;
  Target.Process = test::ChildProcess::start(
      "Services/figlift-gateway/figlift-gateway",
      {"--settings", Settings.string()},
      (m_Folder / fmt::format("{}.{}.log", Name, ++Target.Starts)).string());
  m_Checker.recordRestart(Name, BootClock::now());
}

std::vector<GatewayEndpoint> SoakFleet::gatewayEndpoints() const {
  std::vector<GatewayEndpoint> Endpoints;
  for (unsigned I = 0; I < m_Gateways.size(); ++I)
    Endpoints.push_back(
        {gatewayName(I), linkAddress(fmt::format("callers-{}", I))});
  return Endpoints;
}

void SoakFleet::signal(unsigned Index, Signal Kind) {
  Gateway &Target = m_Gateways[Index];
  const BootTime Now = BootClock::now();
  if (!Target.Process.running())
    return;
  switch (Kind) {
  case Signal::Kill:
    Target.StopRequested = true;
    return Target.Process.kill();
  case Signal::Terminate:
    if (!std::exchange(Target.StopRequested, true)) {
      Target.TerminatedAt = Now;
      Target.StopLimit = Target.Grace;
      m_Checker.recordStop(gatewayName(Index), Now, Target.Grace, Now);
    }
    return Target.Process.terminate();
  case Signal::Pause:
    Target.Paused = true;
    return Target.Process.pause();
  case Signal::HangUp:
    return hangUp(Index, Now);
  }
}

void SoakFleet::hangUp(unsigned Index, BootTime Now) {
  Gateway &Target = m_Gateways[Index];
  const auto Current = std::find(Graces.begin(), Graces.end(), Target.Grace);
  Target.Grace =
      Graces[static_cast<size_t>(Current - Graces.begin() + 1) % Graces.size()];
  if (Target.TerminatedAt != BootTime{}) {
    Target.StopLimit = std::max(Target.StopLimit, Target.Grace);
    m_Checker.recordStop(gatewayName(Index), Target.TerminatedAt, Target.Grace,
                         Now);
  }
  writeSettings(Index);
  m_Checker.recordPlannedChange(gatewayName(Index), Now);
  ::kill(Target.Process.pid(), SIGHUP);
}

void SoakFleet::resume(unsigned Index) {
  Gateway &Target = m_Gateways[Index];
  if (!std::exchange(Target.Paused, false) || !Target.Process.running())
    return;
  // A paused process does not handle signals, so its grace begins now.
  if (Target.TerminatedAt != BootTime{})
    Target.TerminatedAt = BootClock::now();
  Target.Process.resume();
}

void SoakFleet::configure() {
  ++m_Version;
  writeForeignEntries();
  Json Routes = Json::array();
  const auto Add = [&](const char *Name, const char *Kind,
                       const std::string &Service, bool Resumable = false,
                       milliseconds Timeout = milliseconds(2000)) {
    const bool IsUnsafe = Kind == std::string("unsafe");
    Routes.push_back({{"name", Name},
                      {"host", "h"},
                      {"prefix", fmt::format("/{}/", Name)},
                      {"kind", Kind},
                      {"timeoutMs", Timeout.count()},
                      {"targetLatencyMs", 500},
                      {"maxAttempts", IsUnsafe ? 1 : 3},
                      {"resumable", Resumable},
                      {"gapAimMs", 150},
                      {"service", Service}});
  };
  Add("safe", "safe", "plain");
  Add("unsafe", "unsafe", "plain");
  Add("moving", "safe", movingService(m_Version));
  Add("stream", "streaming", "model", true);
  Add("once", "streaming", "model");
  Add("long", "streaming", "model", false, LongTimeout);
  Add("slow", "unsafe", "plain", false, LongTimeout);
  const Json Engine = {{"slots", 8},           {"kvCapacity", 100000},
                       {"tokenKvBytes", 1000}, {"linkMbps", 10000},
                       {"kvHoldS", 5},         {"stageSwitchS", 1}};
  Json Services = {
      {{"name", "plain"}, {"maxConnections", 100}},
      {{"name", "model"}, {"maxConnections", 100}, {"engine", Engine}}};
  for (unsigned I = 0; I < MovingServices; ++I)
    Services.push_back({{"name", movingService(I)}, {"maxConnections", 100}});
  m_Store.put(
      "op", "config",
      Json{{"version", m_Version}, {"routes", Routes}, {"services", Services}}
          .dump());
  m_Checker.recordConfiguration(m_Version, movingService(m_Version),
                                BootClock::now());
}

void SoakFleet::handleExit(unsigned Index, BootTime Now) {
  Gateway &Target = m_Gateways[Index];
  const int Code = Target.Process.waitForExit(milliseconds(0)).value_or(0);
  if (!Target.StopRequested)
    m_Checker.addViolation(fmt::format("{} exited unexpectedly with code {}",
                                       gatewayName(Index), Code));
  if (Target.TerminatedAt == BootTime{})
    m_Checker.recordFault(gatewayName(Index), Now);
  m_Checker.recordPlannedChange(gatewayName(Index), Now);
  startGateway(Index);
}

/// When the soak itself stalls, the whole machine probably did, so gateways get
/// as much more time to stop.
void SoakFleet::extendStopLimits(BootTime Now) {
  const BootTime PreviousTick = std::exchange(m_LastTick, Now);
  if (PreviousTick == BootTime{} || Now - PreviousTick < StallThreshold)
    return;
  for (Gateway &Target : m_Gateways)
    if (Target.TerminatedAt != BootTime{})
      Target.StopLimit +=
          std::chrono::duration_cast<milliseconds>(Now - PreviousTick);
}

void SoakFleet::tick(BootTime Now) {
  extendStopLimits(Now);
  for (unsigned I = 0; I < m_Gateways.size(); ++I) {
    Gateway &Target = m_Gateways[I];
    if (!Target.Process.running()) {
      if (Now >= Target.RestartAt)
        handleExit(I, Now);
      continue;
    }
    checkMemory(I);
    if (Target.Paused)
      continue;
    if (Target.StopRequested && Target.TerminatedAt != BootTime{} &&
        Now - Target.TerminatedAt > Target.StopLimit + StopSlack) {
      m_Checker.addViolation(gatewayName(I) + " did not stop within its grace");
      Target.Process.kill();
    }
  }
}

void SoakFleet::checkMemory(unsigned Index) {
  Gateway &Target = m_Gateways[Index];
  const size_t Bytes = Target.Process.highestMemory();
  if (Bytes > MaximumMemory && !std::exchange(Target.ExceededMemory, true))
    m_Checker.addViolation(fmt::format("{} has taken {} MiB of memory",
                                       gatewayName(Index), Bytes >> 20));
}

bool SoakFleet::allRunning() {
  for (Gateway &Target : m_Gateways)
    if (!Target.Process.running() || Target.Paused || Target.StopRequested)
      return false;
  return true;
}

} // namespace figlift::soak
