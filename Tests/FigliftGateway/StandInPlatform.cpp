//===- StandInPlatform.cpp - Store, servers and a caller ------------------===//
//
// See StandInPlatform.h.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace figlift::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using Json = nlohmann::json;

namespace {

/// Four ports that are free at this moment; held together while they are
/// chosen, so that they differ.
settings::GatewayListen freePorts() {
  asio::io_context Loop;
  std::vector<tcp::acceptor> Probes;
  for (int Each = 0; Each < 4; ++Each)
    Probes.emplace_back(Loop,
                        tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto Port = [&](size_t Which) {
    return Endpoint{"127.0.0.1", Probes[Which].local_endpoint().port()};
  };
  return {Port(0), Port(1), Port(2), Port(3)};
}

} // namespace

GatewayScene::GatewayScene(double Grace, double Repeats)
    : m_SettingsFile("/tmp/figlift-gateway-" + std::to_string(getpid())),
      m_Output(open("/dev/null", O_WRONLY)) {
  Settings.Process = {"g1", "z"};
  Settings.Store = Store.address();
  Settings.Fleet.Starts = true;
  Settings.Drain.Grace = settings::PlainSeconds(Grace);
  Settings.Retry.Base = Repeats;
  log::Options Quiet;
  Quiet.Threshold = log::Level::Off;
  log::configure(Quiet);
  startOnFreePorts();
  m_Thread = std::thread([this] {
    m_Gateway->run();
    m_Ended = true;
  });
}

/// Another process may take a port between its choice and its use: a whole run
/// of the suite ended so, beside other suites.
void GatewayScene::startOnFreePorts() {
  constexpr int Tries = 10;
  Result<void> Started = success();
  for (int Try = 0; Try < Tries; ++Try) {
    Settings.Listen = freePorts();
    m_Gateway =
        std::make_unique<gateway::Gateway>(Settings, m_Output, m_SettingsFile);
    Started = m_Gateway->start();
    if (Started)
      return;
  }
  FAIL(Started.error().Message.c_str());
}

GatewayScene::~GatewayScene() {
  m_Gateway->interrupt();
  m_Thread.join();
  unlink(m_SettingsFile.c_str());
}

void GatewayScene::configure(uint64_t Version, const std::string &Without) {
  Json Routes = Json::array();
  const auto Add = [&](const std::string &Name, const char *Kind,
                       const char *Service, bool Resumable,
                       int TimeoutMs = 2000) {
    if (Service == Without)
      return;
    Routes.push_back({{"name", Name},
                      {"host", "h"},
                      {"prefix", "/" + Name + "/"},
                      {"kind", Kind},
                      {"timeoutMs", TimeoutMs},
                      {"targetLatencyMs", 500},
                      {"maxAttempts", Kind == std::string("unsafe") ? 1 : 2},
                      {"resumable", Resumable},
                      {"service", Service}});
  };
  Add("safe", "safe", "plain", false);
  Add("unsafe", "unsafe", "plain", false);
  Add("stream", "streaming", "model", true);
  Add("once", "streaming", "model", false);
  Add("long", "streaming", "model", false, 15000);
  for (unsigned Each = 1; Each <= MoreRoutes; ++Each)
    Add("more-" + std::to_string(Each), "safe", "plain", false);
  const Json Engine = {{"slots", 8},           {"kvCapacity", 100000},
                       {"tokenKvBytes", 1000}, {"linkMbps", 10000},
                       {"kvHoldS", 5},         {"stageSwitchS", 3}};
  Json Services = Json::array();
  if (Without != "plain")
    Services.push_back({{"name", "plain"}, {"maxConnections", 100}});
  if (Without != "model")
    Services.push_back(
        {{"name", "model"}, {"maxConnections", 100}, {"engine", Engine}});
  Store.put(
      "op", "config",
      Json{{"version", Version}, {"routes", Routes}, {"services", Services}}
          .dump());
}

Listener &GatewayScene::server(const std::string &Id,
                               const std::string &Service,
                               Listener::Behaviour Act,
                               const std::string &Stage) {
  m_Servers[Id] = {std::make_unique<Listener>(Loop, std::move(Act)), Service,
                   Stage};
  list(Id, "ready");
  return *m_Servers[Id].Server;
}

void GatewayScene::list(const std::string &Id, const std::string &State) {
  const Entry &Which = m_Servers[Id];
  put(Id, Which.Service, Which.Server->address(), Which.Stage, State,
      Which.Started);
}

void GatewayScene::listMissingEngine(const std::string &Id,
                                     const std::string &Stage) {
  put(Id, "model", freePorts().Callers, Stage, "ready", Entry{}.Started);
}

void GatewayScene::put(const std::string &Id, const std::string &Service,
                       const Endpoint &Address, const std::string &Stage,
                       const std::string &State, int64_t Started) {
  Json Row = {{"service", Service},   {"address", Address.toString()},
              {"zone", "z"},          {"version", "v1"},
              {"slots", 4},           {"state", State},
              {"coldRemainingMs", 0}, {"sequence", ++m_Heartbeats},
              {"born", Started}};
  if (!Stage.empty())
    Row["stage"] = Stage;
  Store.put("servers", Id, Row.dump());
}

void GatewayScene::restart(const std::string &Id) {
  m_Servers[Id].Started += 5000;
  list(Id, "ready");
}

void GatewayScene::crash(const std::string &Id) {
  m_Servers[Id].Server->crash();
}

void GatewayScene::comeBack(const std::string &Id, const std::string &NewId) {
  Entry &Ended = m_Servers[Id];
  Entry &Started = m_Servers[NewId];
  Started = {std::make_unique<Listener>(Loop, Ended.Server->behaviour(),
                                        Ended.Server->address().Port),
             Ended.Service, Ended.Stage, Ended.Started + 5000};
  Store.remove("servers", Id);
  list(NewId, "ready");
}

std::string GatewayScene::exchange(const Endpoint &Where,
                                   const std::string &Bytes) {
  tcp::socket Socket(Loop);
  Socket.connect({asio::ip::make_address_v4(Where.Address), Where.Port});
  asio::write(Socket, asio::buffer(Bytes));
  Socket.non_blocking(true);
  std::string Received;
  until([&] {
    std::array<char, 4096> Buffer;
    boost::system::error_code Code;
    while (!Code) {
      const size_t Count = Socket.read_some(asio::buffer(Buffer), Code);
      Received.append(Buffer.data(), Count);
    }
    return Code != asio::error::would_block;
  });
  return Received;
}

std::string GatewayScene::ask(const std::string &Method,
                              const std::string &Path,
                              const std::string &Fields) {
  return exchange(Settings.Listen.Callers,
                  Method + " " + Path +
                      " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                      "Connection: close\r\n" +
                      Fields + "\r\n");
}

void GatewayScene::writeSettings(const std::string &Text) {
  std::ofstream(m_SettingsFile, std::ios::binary) << Text;
}

void GatewayScene::writeGrace(double Grace) {
  settings::GatewaySettings Changed = Settings;
  Changed.Drain.Grace = settings::PlainSeconds(Grace);
  writeSettings(settings::printSettings(Changed));
}

void GatewayScene::terminate() { kill(getpid(), SIGTERM); }

void GatewayScene::hangUp() { kill(getpid(), SIGHUP); }

std::string GatewayScene::metrics() {
  return exchange(Settings.Listen.Metrics,
                  "GET /metrics HTTP/1.1\r\nHost: h\r\n"
                  "Connection: close\r\n\r\n");
}

bool GatewayScene::becomesReady(bool Wanted) {
  const std::string Question =
      "GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  return until([&] {
    return exchange(Settings.Listen.Ready, Question)
               .starts_with("HTTP/1.1 200") == Wanted;
  });
}

KeptCaller::KeptCaller(GatewayScene &Scene) : m_Socket(Scene.Loop) {
  const Endpoint &Where = Scene.Settings.Listen.Callers;
  m_Socket.connect({asio::ip::make_address_v4(Where.Address), Where.Port});
  m_Socket.non_blocking(true);
}

void KeptCaller::send(const std::string &Method, const std::string &Path,
                      const std::string &Fields) {
  sendBytes(Method + " " + Path +
            " HTTP/1.1\r\nHost: h\r\n"
            "X-Attempt-Id: a1\r\n"
            "Content-Length: 0\r\n" +
            Fields + "\r\n");
}

void KeptCaller::sendBytes(const std::string &Bytes) {
  asio::write(m_Socket, asio::buffer(Bytes));
}

const std::string &KeptCaller::received() {
  std::array<char, 4096> Buffer;
  boost::system::error_code Code;
  while (!Code) {
    const size_t Count = m_Socket.read_some(asio::buffer(Buffer), Code);
    m_Received.append(Buffer.data(), Count);
  }
  m_Ended = m_Ended || Code != asio::error::would_block;
  return m_Received;
}

namespace {
proxy::ResponseHead signedHead(const proxy::Request &What, unsigned Status) {
  proxy::ResponseHead Head;
  Head.Status = Status;
  Head.Headers.add(
      "X-Attempt-Id",
      std::string(What.Head.Headers.find("X-Attempt-Id").value_or("")));
  Head.Headers.add("X-Response-Signature", "s");
  return Head;
}
} // namespace

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

bool endsWhole(const std::string &Stream) {
  return Stream.ends_with("\r\n0\r\n\r\n");
}

bool isTurnedAway(const std::string &Answer) {
  return has(Answer, "HTTP/1.1 503") && has(Answer, "Retry-After") &&
         has(Answer, "Connection: close");
}

const std::string Prompt = "X-Token-Count: 4000,8\r\n"
                           "X-Prompt-Prefix: a1:2000,b2:2000\r\n";

void answer(const proxy::Request &What, const Caller &To, unsigned Status,
            const std::string &Body) {
  To->respond(signedHead(What, Status), Body);
}

void turnAway(const Caller &To) {
  proxy::ResponseHead Head;
  Head.Status = 503;
  Head.Headers.add("X-Not-Executed", "1");
  To->respond(Head, "");
}

void beginStream(const proxy::Request &What, const Caller &To) {
  To->beginStream(signedHead(What, 200));
}

Listener::Behaviour answersWith(const std::string &Body) {
  return [Body](const proxy::Request &What, const Caller &To) {
    answer(What, To, 200, Body);
  };
}

void readsPrompt(const proxy::Request &, const Caller &To) {
  proxy::ResponseHead Head;
  Head.Status = 200;
  To->respond(Head, R"({"kvHandle":"k1","tokens":4000,"version":1})");
}

namespace {
/// Writes event \p Number and, after a pause, those behind it.
void writeEvents(const std::shared_ptr<asio::steady_timer> &Timer,
                 const Caller &To, unsigned Number, unsigned Events) {
  constexpr std::chrono::milliseconds Pause{20};
  To->writeStream("id: " + std::to_string(Number) + "\n\n");
  if (Number == Events)
    return To->endStream();
  Timer->expires_after(Pause);
  Timer->async_wait([=](const boost::system::error_code &Stopped) {
    if (!Stopped)
      writeEvents(Timer, To, Number + 1, Events);
  });
}
} // namespace

Listener::Behaviour streamsFor(asio::io_context &Loop,
                               std::chrono::milliseconds Time) {
  return [&Loop, Time](const proxy::Request &What, const Caller &To) {
    beginStream(What, To);
    const auto Events = static_cast<unsigned>(Time.count() / 20) + 1;
    writeEvents(std::make_shared<asio::steady_timer>(Loop), To, 1, Events);
  };
}

} // namespace figlift::testing
