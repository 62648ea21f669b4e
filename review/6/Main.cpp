//===- Main.cpp - Late heartbeats bring a server back -----------*- C++ -*-===//
//
// One gateway. Two heartbeats of one server get no answer from the store, which
// performs them some seconds later. In between the server leaves.
//
//===----------------------------------------------------------------------===//

#include "Caller.h"
#include "CaseSupport.h"
#include "Gateway.h"
#include "Service.h"

#include <algorithm>
#include <memory>

using namespace review;

namespace {

/// \name The deployment's bounds.
/// @{
constexpr milliseconds DrainTime{2000};
constexpr milliseconds StableWindow{3000};
constexpr milliseconds HeartbeatInterval{1200};
/// @}
/// The store performs a write without an answer 1 to 6 s later.
constexpr milliseconds Lateness{5700};
constexpr int LateHeartbeats = 2;
constexpr int ServerCount = 4;
constexpr int CallerCount = 16;
constexpr milliseconds PauseOfCallers{15};

int run(const std::string &Program, const std::string &RecordFile,
        bool WithTrouble) {
  Recorder Record(RecordFile);
  const TemporaryFolder Folder;
  Store Registry;
  Registry.set("op", "config", configurationOf({"pickup"}));
  std::vector<std::shared_ptr<Service>> Servers;
  for (int I = 0; I < ServerCount; ++I)
    Servers.push_back(std::make_shared<Service>(
        Registry, "i-pickup-" + std::to_string(I), "pickup"));
  Service &Leaving = *Servers.front();

  Gateway Used({"front-hall-a-1", Registry.port()}, Program, Folder.path());
  Used.start();
  if (!Used.waitUntilReady()) {
    Record.line("the gateway did not become ready");
    return 2;
  }
  Record.line("the gateway is ready");
  CallLog Calls;
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Callers;
  for (int I = 0; I < CallerCount; ++I)
    Callers.emplace_back([&] {
      Caller Client(Calls, Used.id(), Used.callers());
      while (!IsOver) {
        Client.get("/pickup/slot");
        std::this_thread::sleep_for(PauseOfCallers);
      }
    });
  std::this_thread::sleep_for(StableWindow + milliseconds(2000));

  const uint64_t Before = Leaving.heartbeats();
  if (WithTrouble)
    Leaving.delayHeartbeats(LateHeartbeats, Lateness);
  while (Leaving.heartbeats() < Before + LateHeartbeats)
    std::this_thread::sleep_for(milliseconds(5));
  const Time LastLost = Clock::now();
  Record.line("heartbeats " + std::to_string(Before + 1) + " and " +
              std::to_string(Before + LateHeartbeats) + " of " + Leaving.id() +
              (WithTrouble ? " got no answer" : " were written"));
  // The store is stable again, and has later heartbeats of the server.
  std::this_thread::sleep_until(LastLost + StableWindow + milliseconds(200));
  const uint64_t LastBeat = Leaving.heartbeats();
  Leaving.leave();
  const Time Gone = Clock::now();
  Record.line(Leaving.id() + " left the list; its last heartbeat was number " +
              std::to_string(LastBeat));
  // Its entry lapses after three intervals without a heartbeat.
  std::this_thread::sleep_until(LastLost + Lateness + 3 * HeartbeatInterval);
  Registry.remove("servers", Leaving.id());
  std::this_thread::sleep_for(milliseconds(1500));
  IsOver = true;
  for (std::thread &Thread : Callers)
    Thread.join();
  const bool HasEnded = Used.hasEnded();
  Used.kill();

  std::map<int, int> Summary;
  for (const Call &Entry : Calls.all())
    ++Summary[Entry.Status];
  for (const auto &[Status, Count] : Summary)
    Record.line("answers: " + std::to_string(Status) + ": " +
                std::to_string(Count));
  int Late = 0;
  for (const Service::Run &Ran : Leaving.runs())
    if (Ran.At > Gone + DrainTime && ++Late <= 3)
      Record.line("request " + Ran.AttemptId + " ran at " + Record.at(Ran.At) +
                  " on " + Leaving.id());
  Record.line("requests that " + Leaving.id() + " got over 2 s after " +
              Record.at(Gone) + ": " + std::to_string(Late));
  if (HasEnded || Summary.empty()) {
    Record.line("the gateway has ended by itself, or nothing was answered");
    return 2;
  }
  Record.line(Late > 0 ? "DRAIN broken" : "DRAIN held");
  return Late > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
