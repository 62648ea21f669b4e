//===- Main.cpp - One gateway is not told that a server drains --*- C++ -*-===//
//
// Two gateways, of which the first one reads the list of servers for both. A
// server drains. It says so in its entry and in its answers, and the first
// gateway gets such answers before it reads the entry.
//
//===----------------------------------------------------------------------===//

#include "Caller.h"
#include "CaseSupport.h"
#include "Gateway.h"
#include "Service.h"

#include <memory>

using namespace review;

namespace {

/// \name The deployment's bounds.
/// @{
constexpr milliseconds DrainTime{2000};
constexpr milliseconds StableWindow{3000};
/// @}
constexpr int ServersOfAService = 4;
constexpr int CallersOfAService = 8;
constexpr milliseconds PauseOfCallers{15};
/// At the second gateway requests of the draining service come in groups.
constexpr int GroupSize = 12;
constexpr milliseconds GroupInterval{5000};

/// Sends requests one after another until the end.
std::thread steadyCaller(CallLog &Calls, const Gateway &Used,
                         const std::string &Path,
                         const std::atomic<bool> &IsOver) {
  return std::thread([&Calls, &Used, Path, &IsOver] {
    Caller Client(Calls, Used.id(), Used.callers());
    while (!IsOver) {
      Client.get(Path);
      std::this_thread::sleep_for(PauseOfCallers);
    }
  });
}

/// Several clients send one request each.
void sendGroup(CallLog &Calls, const Gateway &Used, const std::string &Path) {
  std::vector<std::thread> Clients;
  for (int I = 0; I < GroupSize; ++I)
    Clients.emplace_back([&] {
      Caller Client(Calls, Used.id(), Used.callers());
      Client.get(Path);
    });
  for (std::thread &Thread : Clients)
    Thread.join();
}

int run(const std::string &Program, const std::string &RecordFile,
        bool WithTrouble) {
  Recorder Record(RecordFile);
  const TemporaryFolder Folder;
  Store Registry;
  Registry.set("op", "config", configurationOf({"pickup", "stock"}));
  std::vector<std::shared_ptr<Service>> Servers;
  for (const std::string Name : {"pickup", "stock"})
    for (int I = 0; I < ServersOfAService; ++I)
      Servers.push_back(std::make_shared<Service>(
          Registry, "i-" + Name + "-" + std::to_string(I), Name));
  Service &Leaving = *Servers.front();

  Gateway First({"front-hall-a-1", Registry.port()}, Program, Folder.path());
  Gateway Second({"front-hall-b-1", Registry.port()}, Program, Folder.path());
  First.start();
  Second.start();
  if (!First.waitUntilReady() || !Second.waitUntilReady()) {
    Record.line("the gateways did not become ready");
    return 2;
  }
  Record.line("both gateways are ready");
  CallLog Calls;
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Callers;
  for (int I = 0; I < CallersOfAService; ++I) {
    Callers.push_back(steadyCaller(Calls, First, "/pickup/slot", IsOver));
    Callers.push_back(steadyCaller(Calls, First, "/stock/item", IsOver));
    Callers.push_back(steadyCaller(Calls, Second, "/stock/item", IsOver));
  }
  std::this_thread::sleep_for(StableWindow + milliseconds(1000));
  sendGroup(Calls, Second, "/pickup/slot");
  std::this_thread::sleep_for(milliseconds(500));

  // Sound servers may do both; with TROUBLE=0 only the entry tells.
  Leaving.drain(WithTrouble);
  const Time Drained = Clock::now();
  Record.line(Leaving.id() + " is draining, as its entry says" +
              (WithTrouble ? " and its answers do" : ""));
  for (int I = 0; I < 2; ++I) {
    std::this_thread::sleep_for(GroupInterval);
    sendGroup(Calls, Second, "/pickup/slot");
  }
  std::this_thread::sleep_for(milliseconds(500));
  IsOver = true;
  for (std::thread &Thread : Callers)
    Thread.join();
  const bool HasEnded = First.hasEnded() || Second.hasEnded();
  First.kill();
  Second.kill();

  std::map<std::string, Call> ById;
  std::map<std::string, int> Summary;
  for (const Call &Entry : Calls.all()) {
    ById[Entry.AttemptId] = Entry;
    ++Summary[Entry.Gateway + " " + Entry.Path + " " +
              std::to_string(Entry.Status)];
  }
  for (const auto &[Name, Count] : Summary)
    Record.line("answers: " + Name + ": " + std::to_string(Count));
  std::map<std::string, int> RunsWhileDraining;
  int Late = 0;
  for (const Service::Run &Ran : Leaving.runs()) {
    const Call &Sent = ById[Ran.AttemptId];
    if (Ran.At > Drained)
      ++RunsWhileDraining[Sent.Gateway];
    if (Ran.At <= Drained + DrainTime)
      continue;
    ++Late;
    Record.line("request " + Sent.AttemptId + " of " + Sent.Gateway +
                ", sent at " + Record.at(Sent.Sent) + ", ran at " +
                Record.at(Ran.At) + " on " + Leaving.id());
  }
  for (const auto &[Name, Count] : RunsWhileDraining)
    Record.line("requests that it got from " + Name +
                " while draining: " + std::to_string(Count));
  Record.line("requests that it got over 2 s after " + Record.at(Drained) +
              ": " + std::to_string(Late));
  if (HasEnded || Summary.empty()) {
    Record.line("a gateway has ended by itself, or nothing was answered");
    return 2;
  }
  Record.line(Late > 0 ? "DRAIN broken" : "DRAIN held");
  return Late > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
