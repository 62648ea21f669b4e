//===- TestServerEntries.cpp - Entries of servers that gateways read ------===//
//
// Two gateways, of which the first one reads the list of servers for both.
// Entries reach the store late, lapse, or say less than the servers' answers.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/SecondGateway.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <list>
#include <optional>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

/// Requests may reach a server for this long after the store has its drain or
/// its removal.
constexpr milliseconds DrainTime{2000};
/// Servers that are listed again are used after this time.
constexpr milliseconds UseTime{3000};
constexpr milliseconds HeartbeatInterval{400};
constexpr int64_t FirstStart = GatewayFixture::FirstStartTime;

/// A server that writes its own entry.
class Server {
public:
  Server(GatewayFixture &Fixture, std::string Id)
      : m_Store(Fixture.Store), m_Id(std::move(Id)),
        m_Listener(Fixture.Loop,
                   [this](const proxy::Request &Request, const Caller &To) {
                     serve(Request, To);
                   }) {}

  /// The next entry of this start, with the next heartbeat.
  std::string nextEntry() {
    return nlohmann::json{
        {"service", "plain"},   {"address", m_Listener.address().toString()},
        {"zone", "z"},          {"version", "v1"},
        {"slots", 8},           {"state", IsDraining ? "draining" : "ready"},
        {"coldRemainingMs", 0}, {"sequence", ++m_Heartbeat},
        {"born", m_Start}}
        .dump();
  }
  void write() { writeLate(nextEntry()); }
  /// The store performs a write that was called before.
  void writeLate(const std::string &Entry) {
    m_Store.put("servers", m_Id, Entry);
  }
  void remove() { m_Store.remove("servers", m_Id); }
  /// Begins another start, whose heartbeats count anew.
  void restart(int64_t Start) {
    m_Start = Start;
    m_Heartbeat = 0;
    write();
  }
  /// Requests of the paths that start with \p Prefix, since \p From.
  size_t arrivals(const std::string &Prefix, Clock::time_point From) const {
    return static_cast<size_t>(std::count_if(
        m_Arrivals.begin(), m_Arrivals.end(), [&](const Arrival &Any) {
          return Any.At >= From && Any.Path.starts_with(Prefix);
        }));
  }

  bool IsDraining = false;
  /// Whether its answers say that it is shutting down.
  bool SaysSo = false;
  /// Whether it writes its entry at each heartbeat.
  bool Beats = true;

private:
  struct Arrival {
    Clock::time_point At;
    std::string Path;
  };

  void serve(const proxy::Request &Request, const Caller &To) {
    m_Arrivals.push_back({Clock::now(), Request.Head.Target});
    proxy::ResponseHead Head;
    Head.Status = 200;
    Head.Headers.add("X-Attempt-Id", "a1");
    Head.Headers.add("X-Response-Signature", "s");
    if (SaysSo)
      Head.Headers.add("Server-Leaving", "1");
    To->respond(Head, "good");
  }

  StandInStore &m_Store;
  const std::string m_Id;
  int64_t m_Start = FirstStart;
  uint64_t m_Heartbeat = 0;
  std::vector<Arrival> m_Arrivals;
  Listener m_Listener;
};

} // namespace

TEST_GROUP(ServerEntries) {
  GatewayFixture Fixture;
  std::optional<SecondGateway> Second;
  std::list<Server> Servers;
  Clock::time_point LastHeartbeats = Clock::now();

  /// The first of \p Count servers is the one that a test is about. A server
  /// that has to be used again is the only one.
  Server &start(int Count, bool WithSecondGateway) {
    for (int I = 0; I < Count; ++I)
      Servers.emplace_back(Fixture, "s" + std::to_string(I));
    beat();
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    if (WithSecondGateway) {
      Second.emplace(Fixture);
      CHECK(Second->hasStarted());
    }
    // Until both know each other, and one of them reads for both.
    run(milliseconds(2500));
    return Servers.front();
  }
  void beat() {
    LastHeartbeats = Clock::now();
    for (Server &Each : Servers)
      if (Each.Beats)
        Each.write();
  }
  /// \p EachTurn: called many times a second.
  template <typename Action> void run(milliseconds Time, Action EachTurn) {
    const auto End = Clock::now() + Time;
    while (Clock::now() < End) {
      EachTurn();
      Fixture.Loop.run_for(milliseconds(10));
      if (Clock::now() - LastHeartbeats >= HeartbeatInterval)
        beat();
    }
  }
  void run(milliseconds Time) {
    run(Time, [] {});
  }
  void sendToFirst() { send(Fixture.Settings.Listen.Callers, "/safe/first"); }
  void sendToSecond() { send(Second->listen().Callers, "/safe/second"); }
  void send(const Endpoint &Gateway, const std::string &Path) {
    Fixture.exchange(Gateway, "GET " + Path +
                                  " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                                  "Connection: close\r\n\r\n");
  }
  void sendToBoth() {
    sendToFirst();
    sendToSecond();
  }
  /// Requests that reach \p Leaving more than DrainTime after \p Told.
  void expectNoMoreRequests(const Server &Leaving, Clock::time_point Told,
                            milliseconds For, bool OfSecond) {
    run(For, [&] {
      if (OfSecond)
        sendToSecond();
      else
        sendToFirst();
    });
    LONGS_EQUAL(0, Leaving.arrivals("/safe/", Told + DrainTime));
  }
};

// Failure: a gateway sends to a draining server for as long as another one
// reads the list for it, because that one knew of the drain from an answer.
TEST(ServerEntries, PeersLearnOfADrainThatAnswersToldBefore) {
  Server &Leaving = start(1, true);
  Leaving.SaysSo = true;
  run(milliseconds(300), [&] { sendToFirst(); });
  Leaving.IsDraining = true;
  Leaving.write();
  const auto Told = Clock::now();
  run(DrainTime);
  expectNoMoreRequests(Leaving, Told, milliseconds(1500), true);
}

// Failure: the same, where the store is away when the server begins to leave.
TEST(ServerEntries, PeersLearnOfADrainThatAnswersToldInAnOutage) {
  Server &Leaving = start(1, true);
  Fixture.Store.Unavailable = true;
  Leaving.SaysSo = true;
  run(milliseconds(1000), [&] { sendToFirst(); });
  Leaving.IsDraining = true;
  Leaving.write();
  run(milliseconds(500));
  Fixture.Store.Unavailable = false;
  const auto Told = Clock::now();
  run(DrainTime);
  expectNoMoreRequests(Leaving, Told, milliseconds(1500), true);
}

// Failure: a server that has left gets requests again, because two of its
// writes are performed after its removal.
TEST(ServerEntries, LateWritesBringNoRemovedServerBack) {
  Server &Leaving = start(1, false);
  const std::string Late[] = {Leaving.nextEntry(), Leaving.nextEntry()};
  run(milliseconds(1000), [&] { sendToFirst(); });
  Leaving.Beats = false;
  Leaving.remove();
  const auto Told = Clock::now();
  run(DrainTime);
  for (const std::string &Entry : Late) {
    Leaving.writeLate(Entry);
    run(milliseconds(1000), [&] { sendToFirst(); });
  }
  expectNoMoreRequests(Leaving, Told, milliseconds(500), false);
}

// Failure: the same with writes of the start before the last one.
TEST(ServerEntries, LateWritesOfAnEarlierStartBringNoServerBack) {
  Server &Leaving = start(1, false);
  const std::string Late[] = {Leaving.nextEntry(), Leaving.nextEntry()};
  Leaving.restart(FirstStart + 5000);
  run(milliseconds(1500), [&] { sendToFirst(); });
  Leaving.Beats = false;
  Leaving.remove();
  const auto Told = Clock::now();
  run(DrainTime);
  for (const std::string &Entry : Late) {
    Leaving.writeLate(Entry);
    run(milliseconds(1000), [&] { sendToFirst(); });
  }
  expectNoMoreRequests(Leaving, Told, milliseconds(500), false);
}

// Failure: a server that has left gets requests again from a gateway that knows
// its first heartbeat only, as the gateway that read the others has ended.
TEST(ServerEntries, ALateWriteBringsNoServerBackWhenTheReaderHasEnded) {
  Server &Leaving = start(1, true);
  run(milliseconds(500), [&] { sendToBoth(); });
  const std::string Late = Leaving.nextEntry();
  run(milliseconds(1000), [&] { sendToBoth(); });
  Leaving.Beats = false;
  Leaving.remove();
  const auto Told = Clock::now();
  run(milliseconds(600));
  Fixture.killGateway();
  run(milliseconds(1400));
  Leaving.writeLate(Late);
  expectNoMoreRequests(Leaving, Told, milliseconds(2500), true);
}

// Failure: a gateway sends nothing to servers whose entries expired in an
// outage of the store, because the gateway that reads the list for it kept them
// and so had nothing to tell when they were back.
TEST(ServerEntries, ServersThatExpiredInAnOutageAreUsedByAllGateways) {
  Server &Lapsing = start(1, true);
  const auto Outage = Clock::now();
  Fixture.Store.Unavailable = true;
  Lapsing.Beats = false;
  run(milliseconds(2500));
  Lapsing.remove();
  run(milliseconds(800));
  Fixture.Store.Unavailable = false;
  run(milliseconds(1300));
  Lapsing.Beats = true;
  Lapsing.write();
  run(UseTime, [&] { sendToBoth(); });
  const auto Later = Clock::now();
  CHECK(Later > Outage);
  run(milliseconds(1500), [&] { sendToBoth(); });
  CHECK(Lapsing.arrivals("/safe/first", Later) > 0);
  CHECK(Lapsing.arrivals("/safe/second", Later) > 0);
}

// Failure: a server that starts again is taken for its earlier start, and left
// out.
TEST(ServerEntries, AServerThatRestartsIsUsed) {
  Server &Restarted = start(1, true);
  Restarted.restart(FirstStart + 5000);
  run(UseTime);
  const auto Later = Clock::now();
  run(milliseconds(1000), [&] { sendToBoth(); });
  CHECK(Restarted.arrivals("/safe/first", Later) > 0);
  CHECK(Restarted.arrivals("/safe/second", Later) > 0);
}

// Failure: the same, where the new start seems to be earlier, with the entry
// replaced and with the entry removed before.
TEST(ServerEntries, AServerWhoseClockWentBackIsUsed) {
  Server &Restarted = start(1, true);
  for (const int64_t Start : {FirstStart - 5000, FirstStart - 9000}) {
    if (Start == FirstStart - 9000) {
      Restarted.remove();
      run(milliseconds(1200));
    }
    Restarted.restart(Start);
    run(UseTime);
    const auto Later = Clock::now();
    run(milliseconds(1000), [&] { sendToBoth(); });
    CHECK(Restarted.arrivals("/safe/first", Later) > 0);
    CHECK(Restarted.arrivals("/safe/second", Later) > 0);
  }
}

// Failure: a server whose entry was removed, and that goes on, is left out.
TEST(ServerEntries, ARemovedServerThatWritesOnIsUsed) {
  Server &Removed = start(1, true);
  Removed.Beats = false;
  Removed.remove();
  run(milliseconds(1500));
  Removed.Beats = true;
  run(UseTime);
  const auto Later = Clock::now();
  run(milliseconds(1000), [&] { sendToBoth(); });
  CHECK(Removed.arrivals("/safe/first", Later) > 0);
  CHECK(Removed.arrivals("/safe/second", Later) > 0);
}

// Failure: a gateway that got no answer of a server which says that it leaves
// goes on sending to it after its entry was removed.
TEST(ServerEntries, AServerThatLeavesWithoutDrainingGetsNoMoreRequests) {
  Server &Leaving = start(1, true);
  Leaving.SaysSo = true;
  run(milliseconds(500), [&] { sendToFirst(); });
  Leaving.Beats = false;
  Leaving.remove();
  const auto Told = Clock::now();
  run(DrainTime);
  expectNoMoreRequests(Leaving, Told, milliseconds(1500), true);
}
