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

/// Graces in turn, one SIGHUP after another.
constexpr std::array Graces = {milliseconds(8000), milliseconds(6000),
                               milliseconds(4000)};
/// Beyond the grace: a busy test machine.
constexpr milliseconds StopSlack{1500};
/// The soak ticks twenty times a second.
constexpr milliseconds StandstillBound{1000};
constexpr milliseconds StartLimit{10000};
/// Of streams that may outlast every grace.
constexpr milliseconds LongTimeout{10000};
constexpr unsigned PlainServers = 3;
constexpr unsigned MovingServices = 3;
constexpr unsigned Engines = 4;

/// Ports of a gateway, on an address of its own. A port that was found free on
/// the address that all use may be given to a link of the fault proxy before
/// the gateway binds it; callers then reach a server or the store past all
/// gateways.
constexpr uint16_t CallersPort = 7001;
constexpr uint16_t ReadyPort = 7002;
constexpr uint16_t MetricsPort = 7003;
constexpr uint16_t PeersPort = 7004;

/// 127.64.0.0 to 127.127.255.255, apart for soaks that run at the same time.
std::string gatewayAddress(unsigned Which) {
  const auto Pid = static_cast<unsigned>(getpid());
  constexpr unsigned Hosts = 250;
  return fmt::format("127.{}.{}.{}", 64 + Pid / Hosts % 64, Pid % Hosts + 1,
                     Which + 1);
}

std::string modeName(LinkFault How) {
  switch (How) {
  case LinkFault::Cut:
    return "cut";
  case LinkFault::Freeze:
    return "freeze";
  case LinkFault::LoseRequests:
    return "drop-up";
  case LinkFault::LoseAnswers:
    return "drop-down";
  case LinkFault::Delay:
    return "delay";
  case LinkFault::Mended:
    return "pass";
  }
  return {};
}

std::string movingService(uint64_t Version) {
  return fmt::format("moving-{}", Version % MovingServices);
}

} // namespace

SoakFleet::SoakFleet(boost::asio::io_context &Loop, PromiseBook &Book,
                     uint64_t Seed, unsigned Gateways,
                     std::filesystem::path Folder)
    : m_Loop(Loop), m_Book(Book), m_Folder(std::move(Folder)), m_Store(Loop),
      m_Gateways(Gateways) {
  const auto Add = [&](const std::string &Service, const std::string &Stage) {
    m_Servers.push_back(std::make_unique<SoakServer>(
        Loop, Book, Seed + m_Servers.size(), Service, Stage));
    const auto Which = static_cast<unsigned>(m_Servers.size() - 1);
    m_Servers.back()->becomes(fmt::format("s{}-{}", Which, ++m_Incarnations));
    m_Servers.back()->Crashed = [this, Which] { comeBack(Which); };
    m_Servers.back()->StageChanged = [this, Which] { list(Which, "ready"); };
  };
  for (unsigned Each = 0; Each < PlainServers; ++Each)
    Add("plain", "");
  for (unsigned Each = 0; Each < MovingServices; ++Each)
    Add(movingService(Each), "");
  for (unsigned Each = 0; Each < Engines; ++Each)
    Add("model", Each == 0 ? "prefill" : "decode");
}

std::string SoakFleet::gatewayName(unsigned Which) const {
  return fmt::format("gateway-{}", Which + 1);
}

std::string SoakFleet::linkFlag(const std::string &Name,
                                const Endpoint &Target) const {
  return fmt::format("{}=127.0.0.1:0>{}", Name, Target.toString());
}

bool SoakFleet::startProxy() {
  std::vector<std::string> Flags;
  const auto Add = [&](const std::string &Name, const Endpoint &Target) {
    Flags.push_back("--link");
    Flags.push_back(linkFlag(Name, Target));
  };
  for (unsigned Each = 0; Each < m_Gateways.size(); ++Each) {
    m_Gateways[Each].Callers = {gatewayAddress(Each), CallersPort};
    Add(fmt::format("store-{}", Each), m_Store.address());
    Add(fmt::format("callers-{}", Each), m_Gateways[Each].Callers);
  }
  for (unsigned Each = 0; Each < m_Servers.size(); ++Each)
    Add(fmt::format("server-{}", Each), m_Servers[Each]->address());
  m_Proxy =
      test::ChildProcess::start("Tests/StandIns/fault-proxy/fault-proxy", Flags,
                                (m_Folder / "fault-proxy.log").string());
  if (!m_Proxy.waitForOutput("listening ", StartLimit))
    return false;
  const std::string Text = m_Proxy.output();
  const size_t At = Text.find("listening ") + 10;
  m_ProxyControl = Text.substr(At, Text.find('\n', At) - At);
  return true;
}

Endpoint SoakFleet::linkAddress(const std::string &Name) const {
  const std::string Text = m_Proxy.output();
  const std::string Mark = "link " + Name + " ";
  const size_t At = Text.find(Mark) + Mark.size();
  return Endpoint::parse(Text.substr(At, Text.find('\n', At) - At)).value();
}

void SoakFleet::setLink(Link Which, unsigned Of, LinkFault How) {
  constexpr std::array Names = {"store", "callers", "server"};
  test::call(m_ProxyControl, "POST",
             fmt::format("/control/links/{}-{}",
                         Names[static_cast<size_t>(Which)], Of),
             Json{{"mode", modeName(How)}, {"delay", "200ms"}}.dump(), {},
             StartLimit);
}

void SoakFleet::list(unsigned Server, const std::string &State) {
  const SoakServer &Which = *m_Servers[Server];
  Json Row = {
      {"service", Which.service()},
      {"address", linkAddress(fmt::format("server-{}", Server)).toString()},
      {"zone", "z"},
      {"version", "v1"},
      {"slots", 4},
      {"state", State},
      {"coldRemainingMs", 0},
      {"sequence", ++m_Life[Server].Heartbeats},
      {"born", m_Life[Server].Started}};
  if (!Which.stage().empty())
    Row["stage"] = Which.stage();
  m_Store.put("servers", Which.id(), Row.dump());
}

bool SoakFleet::start() {
  if (!startProxy())
    return false;
  for (unsigned Each = 0; Each < m_Servers.size(); ++Each)
    list(Each, "ready");
  configure();
  for (unsigned Each = 0; Each < m_Gateways.size(); ++Each)
    startGateway(Each);
  return true;
}

std::filesystem::path SoakFleet::writeSettings(unsigned Which) {
  const Gateway &Of = m_Gateways[Which];
  const std::string Name = gatewayName(Which);
  const std::string Address = gatewayAddress(Which);
  const auto At = [&](uint16_t Port) {
    return Endpoint{Address, Port}.toString();
  };
  const Json Settings = {
      {"process", {{"id", Name}, {"zone", "z"}}},
      {"listen",
       {{"callers", Of.Callers.toString()},
        {"ready", At(ReadyPort)},
        {"metrics", At(MetricsPort)},
        {"peers", At(PeersPort)}}},
      {"store",
       {{"address", linkAddress(fmt::format("store-{}", Which)).toString()}}},
      {"fleet", {{"starts", Of.Starts == 0}}},
      {"retry",
       {{"ratio", PromiseTerms().RepeatRatio},
        {"base", PromiseTerms().RepeatBase},
        {"windowSeconds", 10}}},
      {"drain",
       {{"graceSeconds", std::chrono::duration<double>(Of.Grace).count()}}},
      {"orders", {{"leaseMilliseconds", 3000}}}};
  // A gateway may look at any moment.
  const auto New = m_Folder / (Name + ".new");
  std::ofstream(New) << Settings.dump(1);
  const auto File = m_Folder / (Name + ".json");
  std::filesystem::rename(New, File);
  return File;
}

void SoakFleet::startGateway(unsigned Which) {
  Gateway &Of = m_Gateways[Which];
  const std::string Name = gatewayName(Which);
  const auto Settings = writeSettings(Which);
  Of.ToldToEnd = false;
  Of.TerminatedAt = {};
  Of.Paused = false;
  Of.Process = test::ChildProcess::start(
      "Services/figlift-gateway/figlift-gateway",
      {"--settings", Settings.string()},
      (m_Folder / fmt::format("{}.{}.log", Name, ++Of.Starts)).string());
  m_Book.restarted(Name);
}

std::vector<Door> SoakFleet::doors() const {
  std::vector<Door> All;
  for (unsigned Each = 0; Each < m_Gateways.size(); ++Each)
    All.push_back(
        {gatewayName(Each), linkAddress(fmt::format("callers-{}", Each))});
  return All;
}

void SoakFleet::signal(unsigned Which, Signal What) {
  Gateway &Of = m_Gateways[Which];
  const BootTime Now = BootClock::now();
  if (!Of.Process.running())
    return;
  switch (What) {
  case Signal::Kill:
    Of.ToldToEnd = true;
    return Of.Process.kill();
  case Signal::Terminate:
    if (!std::exchange(Of.ToldToEnd, true)) {
      Of.TerminatedAt = Now;
      Of.StopLimit = Of.Grace;
      m_Book.stops(gatewayName(Which), Now, Of.Grace, Now);
    }
    return Of.Process.terminate();
  case Signal::Pause:
    Of.Paused = true;
    return Of.Process.pause();
  case Signal::HangUp:
    return hangUp(Which, Now);
  }
}

void SoakFleet::hangUp(unsigned Which, BootTime Now) {
  Gateway &Of = m_Gateways[Which];
  const auto At = std::find(Graces.begin(), Graces.end(), Of.Grace);
  Of.Grace =
      Graces[static_cast<size_t>(At - Graces.begin() + 1) % Graces.size()];
  if (Of.TerminatedAt != BootTime{}) {
    Of.StopLimit = std::max(Of.StopLimit, Of.Grace);
    m_Book.stops(gatewayName(Which), Of.TerminatedAt, Of.Grace, Now);
  }
  writeSettings(Which);
  m_Book.planned(gatewayName(Which), Now);
  ::kill(Of.Process.pid(), SIGHUP);
}

void SoakFleet::wake(unsigned Which) {
  Gateway &Of = m_Gateways[Which];
  if (!std::exchange(Of.Paused, false) || !Of.Process.running())
    return;
  // A process that stands still takes no signal: its grace begins now.
  if (Of.TerminatedAt != BootTime{})
    Of.TerminatedAt = BootClock::now();
  Of.Process.resume();
}

void SoakFleet::comeBack(unsigned Which) {
  // From a tenth of a second to more than a second, by turns.
  const milliseconds Away(100 + 400 * (++m_Crashes % 4));
  const auto Timer = std::make_shared<boost::asio::steady_timer>(m_Loop, Away);
  Timer->async_wait([this, Timer, Which](const auto &) { replace(Which); });
}

void SoakFleet::replace(unsigned Which) {
  SoakServer &Server = *m_Servers[Which];
  const std::string Before = Server.id();
  Life &Of = m_Life[Which];
  Of.Started += 1000;
  Of.Heartbeats = 0;
  // Every second one that was not told to leave comes back under its id, and
  // knows nothing of before.
  if (!std::exchange(Of.Leaves, false) && ++m_Incarnations % 2 == 0) {
    Server.becomes(Before);
    return list(Which, "ready");
  }
  Server.becomes(fmt::format("s{}-{}", Which, ++m_Incarnations));
  m_Store.remove("servers", Before);
  list(Which, "ready");
}

void SoakFleet::writeAgain() {
  for (const std::string &Id : m_Store.keys("servers"))
    if (std::none_of(m_Servers.begin(), m_Servers.end(),
                     [&](const auto &Each) { return Each->id() == Id; }))
      m_Store.remove("servers", Id);
  for (unsigned Each = 0; Each < m_Servers.size(); ++Each)
    list(Each, m_Life[Each].Leaves ? "draining" : "ready");
  configure();
}

void SoakFleet::drain(unsigned Which) {
  m_Book.leaves(m_Servers[Which]->id(), BootClock::now());
  m_Life[Which].Leaves = true;
  list(Which, "draining");
}

/// Entries in the list of servers that no server wrote: they name none to use,
/// and must harm no request.
void SoakFleet::writeForeignEntries() {
  m_Store.put("servers", "foreign-1", "\xff\xfe");
  m_Store.put("servers", "foreign-2",
              R"({"service":"plain","address":"127.0.0.1:1","zone":7})");
  m_Store.put("servers", "foreign-3",
              R"({"service":"model","address":"127.0.0.1:1","zone":"z",
                  "version":"v1","slots":4,"state":"retired",
                  "coldRemainingMs":0,"sequence":1,"stage":"decode"})");
}

void SoakFleet::configure() {
  ++m_Version;
  writeForeignEntries();
  Json Routes = Json::array();
  const auto Add = [&](const char *Name, const char *Kind,
                       const std::string &Service, bool Resumable = false,
                       milliseconds Timeout = milliseconds(2000)) {
    const bool Once = Kind == std::string("unsafe");
    Routes.push_back({{"name", Name},
                      {"host", "h"},
                      {"prefix", fmt::format("/{}/", Name)},
                      {"kind", Kind},
                      {"timeoutMs", Timeout.count()},
                      {"targetLatencyMs", 500},
                      {"maxAttempts", Once ? 1 : 3},
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
  const Json Engine = {{"slots", 8},           {"kvCapacity", 100000},
                       {"tokenKvBytes", 1000}, {"linkMbps", 10000},
                       {"kvHoldS", 5},         {"stageSwitchS", 1}};
  Json Services = {
      {{"name", "plain"}, {"maxConnections", 100}},
      {{"name", "model"}, {"maxConnections", 100}, {"engine", Engine}}};
  for (unsigned Each = 0; Each < MovingServices; ++Each)
    Services.push_back(
        {{"name", movingService(Each)}, {"maxConnections", 100}});
  m_Store.put(
      "op", "config",
      Json{{"version", m_Version}, {"routes", Routes}, {"services", Services}}
          .dump());
  m_Book.configured(m_Version, movingService(m_Version), BootClock::now());
}

void SoakFleet::ended(unsigned Which, BootTime Now) {
  Gateway &Of = m_Gateways[Which];
  const int Code = Of.Process.waitForExit(milliseconds(0)).value_or(0);
  if (!Of.ToldToEnd)
    m_Book.broken(
        fmt::format("{} ended by itself with {}", gatewayName(Which), Code));
  if (Of.TerminatedAt == BootTime{})
    m_Book.disturbed(gatewayName(Which), Now);
  m_Book.planned(gatewayName(Which), Now);
  startGateway(Which);
}

/// While the soak itself did not run, its machine ran nothing: gateways had no
/// time to stop either.
void SoakFleet::allowForStandstill(BootTime Now) {
  const BootTime Before = std::exchange(m_LastTick, Now);
  if (Before == BootTime{} || Now - Before < StandstillBound)
    return;
  for (Gateway &Each : m_Gateways)
    if (Each.TerminatedAt != BootTime{})
      Each.StopLimit += std::chrono::duration_cast<milliseconds>(Now - Before);
}

void SoakFleet::tick(BootTime Now) {
  allowForStandstill(Now);
  for (unsigned Each = 0; Each < m_Gateways.size(); ++Each) {
    Gateway &Of = m_Gateways[Each];
    if (!Of.Process.running()) {
      ended(Each, Now);
      continue;
    }
    if (Of.Paused)
      continue;
    if (Of.ToldToEnd && Of.TerminatedAt != BootTime{} &&
        Now - Of.TerminatedAt > Of.StopLimit + StopSlack) {
      m_Book.broken(gatewayName(Each) + " did not stop within its grace");
      Of.Process.kill();
    }
  }
}

bool SoakFleet::allRun() {
  for (Gateway &Each : m_Gateways)
    if (!Each.Process.running() || Each.Paused || Each.ToldToEnd)
      return false;
  return true;
}

} // namespace figlift::soak
