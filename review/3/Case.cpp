//===- Case.cpp - A raised limit on open connections ------------*- C++ -*-===//
//
// Two gateways in front of a plain service. The operator raises the largest
// body that callers may send. Callers whose connections were open before send
// such bodies only after the new version has to be in force everywhere.
//
//===----------------------------------------------------------------------===//

#include "../stand-ins/Gateway.h"
#include "../stand-ins/Service.h"

#include <cstdio>

using namespace review;

namespace {

constexpr milliseconds Deadline{1500};
constexpr milliseconds ConfigDeadline{2000};
/// Besides the deadline of the configuration, before the first larger body.
constexpr milliseconds Slack{1000};
constexpr milliseconds TimeBeforeChange{5000};
constexpr milliseconds TimeAfterChange{10000};
constexpr milliseconds Pace{250};
constexpr unsigned Clients = 48;
constexpr uint64_t OldBodyBytes = 4096;
constexpr uint64_t NewBodyBytes = 4194304;
constexpr size_t SmallBody = 600;
/// Within the new limit only.
constexpr size_t LargeBody = 9200;

Json configuration(uint64_t Version, uint64_t BodyBytes) {
  return {
      {"version", Version},
      {"routes",
       {{{"name", "notice"},
         {"host", "case.example"},
         {"prefix", "/notice/"},
         {"kind", "unsafe"},
         {"timeoutMs", 800},
         {"targetLatencyMs", 150},
         {"priority", 2},
         {"service", "app"},
         {"maxAttempts", 1}}}},
      {"services",
       {{{"name", "app"}, {"healthPath", "/health"}, {"maxConnections", 96}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", BodyBytes},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}}};
}

/// Requests that a gateway ended with a 4xx of its own.
struct Denials {
  std::atomic<unsigned> OnOldConnection = 0;
  std::atomic<unsigned> OnNewConnection = 0;
  std::atomic<unsigned> All = 0;
};

/// Sends one request after another on a kept connection; larger ones from
/// \p LargeFrom on.
void runClient(unsigned Number, uint16_t Port, Record &Seen, Denials &Counts,
               Clock::time_point LargeFrom, Clock::time_point Until) {
  std::unique_ptr<Connection> Kept;
  bool IsOld = true;
  auto Next = Clock::now() + Pace * Number / Clients;
  for (unsigned Count = 0; Next < Until; ++Count, Next += Pace) {
    std::this_thread::sleep_until(Next);
    const std::string Id =
        "a" + std::to_string(Number) + "-" + std::to_string(Count);
    if (Kept && Kept->peerLeft())
      Kept = nullptr;
    if (!Kept) {
      IsOld = Count == 0;
      Kept = Connection::open(Port);
    }
    const std::string Body(Clock::now() < LargeFrom ? SmallBody : LargeBody,
                           'x');
    Seen.sent(Id, std::to_string(Body.size()) + " bytes on a connection " +
                      (IsOld ? "of before" : "of later"));
    ++Counts.All;
    const bool IsSent =
        Kept &&
        Kept->send("POST /notice/" + Id +
                   " HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " + Id +
                   "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) +
                   "\r\nContent-Length: " + std::to_string(Body.size()) +
                   "\r\n\r\n" + Body);
    const auto Answer =
        IsSent ? Kept->receive(Clock::now() + Deadline) : std::nullopt;
    const unsigned Status = Answer ? Answer->status() : 0;
    Seen.answered(Id, Status);
    if (Status / 100 == 4 && Status != 408 && Status != 421 && Status != 429 &&
        !Answer->field("X-Response-Signature"))
      ++(IsOld ? Counts.OnOldConnection : Counts.OnNewConnection);
    if (!Answer || Answer->field("Connection").value_or("") == "close")
      Kept = nullptr;
  }
}

} // namespace

/// Arguments: root of the repository, folder for settings and logs, file for
/// the record, 1 if the limit is raised while callers are connected.
int main(int Count, char **Arguments) {
  if (Count != 5)
    return 2;
  const bool IsRaised = std::atoi(Arguments[4]) != 0;
  signal(SIGPIPE, SIG_IGN);
  Record Seen(Arguments[3]);
  Store Rows;
  Rows.put("op", "config",
           configuration(7, IsRaised ? OldBodyBytes : NewBodyBytes));
  std::vector<std::unique_ptr<ServiceServer>> Servers;
  for (const char *Id : {"i-0", "i-1"})
    Servers.push_back(std::make_unique<ServiceServer>(
        Rows, Seen, ServiceTraits{Id, "app", 6, 24, milliseconds(15), 0}));
  Deployment Site;
  Site.Root = Arguments[1];
  Site.Folder = Arguments[2];
  Site.StorePort = Rows.port();
  Gateway First(Site, "front-a-1");
  Gateway Second(Site, "front-b-1");
  for (Gateway *Front : {&First, &Second})
    Front->start();
  for (Gateway *Front : {&First, &Second})
    if (!Front->waitUntilReady(milliseconds(10000)))
      return 2;
  std::this_thread::sleep_for(milliseconds(4000));

  Denials Counts;
  const auto ChangeAt = Clock::now() + TimeBeforeChange;
  const auto LargeFrom = ChangeAt + ConfigDeadline + Slack;
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Clients; ++I)
    Threads.emplace_back(runClient, I, (I % 2 ? First : Second).port(),
                         std::ref(Seen), std::ref(Counts), LargeFrom,
                         ChangeAt + TimeAfterChange);
  std::this_thread::sleep_until(ChangeAt);
  if (IsRaised)
    Rows.put("op", "config", configuration(9, NewBodyBytes));
  Seen.note("configuration acknowledged");
  for (std::thread &Any : Threads)
    Any.join();

  const unsigned Denied = Counts.OnOldConnection + Counts.OnNewConnection;
  const double Allowed = 5 + Counts.All / 500.0;
  std::printf("requests: %u; 4xx of a gateway's own: %u on connections of "
              "before the change, %u on later ones; allowed: %.1f\n",
              Counts.All.load(), Counts.OnOldConnection.load(),
              Counts.OnNewConnection.load(), Allowed);
  std::fflush(stdout);
  const bool IsAlive = First.isRunning() && Second.isRunning();
  First.kill();
  Second.kill();
  // The stand-ins' threads end with the process.
  std::_Exit(!IsAlive ? 2 : Denied > Allowed ? 1 : 0);
}
