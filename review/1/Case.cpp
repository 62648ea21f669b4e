//===- Case.cpp - A second copy of a rejection ------------------*- C++ -*-===//
//
// Eight gateways in front of four plain services that are full most of the
// time. The servers of two of them send a second copy of three answers in a
// hundred, late. Requests of an unsafe route must still run once at most, and
// never if they are answered 503.
//
//===----------------------------------------------------------------------===//

#include "../stand-ins/Gateway.h"
#include "../stand-ins/Service.h"

#include <cstdio>

using namespace review;

namespace {

constexpr milliseconds Deadline{1500};
constexpr milliseconds TrafficTime{60000};
constexpr unsigned Gateways = 8;
constexpr unsigned Services = 4;
constexpr unsigned Clients = 96;

std::string serviceName(unsigned Number) {
  return "app-" + std::to_string(Number);
}
std::string prefix(unsigned Number) {
  return "/notice" + std::to_string(Number) + "/";
}

Json configuration() {
  Json Routes = Json::array();
  Json Listed = Json::array();
  for (unsigned I = 0; I < Services; ++I) {
    Routes.push_back({{"name", "notice-" + std::to_string(I)},
                      {"host", "case.example"},
                      {"prefix", prefix(I)},
                      {"kind", "unsafe"},
                      {"timeoutMs", 800},
                      {"targetLatencyMs", 150},
                      {"priority", 2},
                      {"service", serviceName(I)},
                      {"maxAttempts", 1}});
    Listed.push_back({{"name", serviceName(I)},
                      {"healthPath", "/health"},
                      {"maxConnections", 96}});
  }
  return {{"version", 7},
          {"routes", Routes},
          {"services", Listed},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

/// Sends one request after another on a kept connection, at its own pace.
void runClient(unsigned Number, uint16_t Port, milliseconds Pace, Record &Seen,
               Clock::time_point Until) {
  std::unique_ptr<Connection> Kept;
  auto Next = Clock::now() + Pace * Number / Clients;
  for (unsigned Count = 0; Next < Until; ++Count, Next += Pace) {
    std::this_thread::sleep_until(Next);
    const std::string Id =
        "a" + std::to_string(Number) + "-" + std::to_string(Count);
    if (!Kept || Kept->peerLeft())
      Kept = Connection::open(Port);
    const std::string Path =
        prefix((Number / Gateways + Count) % Services) + Id;
    Seen.sent(Id, "POST " + Path);
    if (!Kept ||
        !Kept->send("POST " + Path +
                    " HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " + Id +
                    "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) +
                    "\r\nContent-Length: 5\r\n\r\nhello")) {
      Seen.answered(Id, 0);
      Kept = nullptr;
      continue;
    }
    const auto Answer = Kept->receive(Clock::now() + Deadline);
    Seen.answered(Id, Answer ? Answer->status() : 0);
    if (!Answer || Answer->field("Connection").value_or("") == "close")
      Kept = nullptr;
    Next = std::max(Next, Clock::now() - Pace);
  }
}

} // namespace

/// Arguments: root of the repository, folder for settings and logs, file for
/// the record, share of answers with a second copy, requests a second.
int main(int Count, char **Arguments) {
  if (Count != 6)
    return 2;
  const std::string Root = Arguments[1];
  const double ExtraShare = std::atof(Arguments[4]);
  const double PerSecond = std::atof(Arguments[5]);
  signal(SIGPIPE, SIG_IGN);
  Record Seen(Arguments[3]);
  Store Rows;
  Rows.put("op", "config", configuration());
  std::vector<std::unique_ptr<ServiceServer>> Servers;
  for (unsigned I = 0; I < Services; ++I)
    Servers.push_back(std::make_unique<ServiceServer>(
        Rows, Seen,
        ServiceTraits{"i-" + std::to_string(I), serviceName(I), 2, 2,
                      milliseconds(30), I < Services / 2 ? ExtraShare : 0}));
  Deployment Site;
  Site.Root = Root;
  Site.Folder = Arguments[2];
  Site.StorePort = Rows.port();
  std::vector<std::unique_ptr<Gateway>> Fronts;
  for (unsigned I = 0; I < Gateways; ++I) {
    Fronts.push_back(
        std::make_unique<Gateway>(Site, "front-" + std::to_string(I)));
    Fronts.back()->start();
  }
  for (const auto &Front : Fronts)
    if (!Front->waitUntilReady(milliseconds(10000)))
      return 2;
  std::this_thread::sleep_for(milliseconds(2000));

  const auto Pace = milliseconds(static_cast<int>(1000 * Clients / PerSecond));
  const auto Until = Clock::now() + TrafficTime;
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Clients; ++I)
    Threads.emplace_back(runClient, I, Fronts[I % Gateways]->port(), Pace,
                         std::ref(Seen), Until);
  for (std::thread &Any : Threads)
    Any.join();
  // A request that was refused must not run later either.
  std::this_thread::sleep_for(milliseconds(2000));

  unsigned Twice = 0;
  unsigned Refused = 0;
  std::map<unsigned, unsigned> Statuses;
  for (const auto &[Id, Any] : Seen.attempts()) {
    ++Statuses[Any.Status];
    const bool PromisedNotRun = Any.Status == 503 || Any.Status == 429 ||
                                Any.Status == 408 || Any.Status == 421;
    if (Any.Runs.size() > 1) {
      ++Twice;
      Seen.note("TWICE " + Id);
    }
    if (PromisedNotRun && !Any.Runs.empty()) {
      ++Refused;
      Seen.note("REFUSED " + Id);
    }
  }
  for (const auto &[Status, Number] : Statuses)
    std::printf("status %u: %u\n", Status, Number);
  std::printf("ran twice: %u, ran although refused: %u\n", Twice, Refused);
  std::fflush(stdout);
  const bool IsAlive =
      std::all_of(Fronts.begin(), Fronts.end(),
                  [](const auto &Front) { return Front->isRunning(); });
  Fronts.clear();
  // The stand-ins' threads end with the process.
  std::_Exit(!IsAlive ? 2 : Twice + Refused > 0 ? 1 : 0);
}
