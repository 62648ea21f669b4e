//===- TestDrawnAnswers.cpp - All answers that servers may send -----------===//
//
// Many requests of all kinds through one gateway, to plain servers that are
// full at times and to engines of both stages, whose answers are drawn. After
// each answer and each run: no request runs more often than it may, and none
// that was answered "not run" has run or runs later.
//
//===----------------------------------------------------------------------===//

#include "DrawnCaller.h"
#include "DrawnServer.h"

#include "FigliftGateway/RawServer.h"
#include "FigliftGateway/StandInPlatform.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdlib>
#include <deque>

using namespace figlift;
using namespace figlift::testing;

namespace {

constexpr unsigned Callers = 16;
/// More than any request waits for its answer.
constexpr std::chrono::milliseconds RunsLater{400};
/// Enough that the retry budget never decides.
constexpr double UnlimitedRetries = 1e6;

/// Seeds by hand: FIGLIFT_DRAWN_SEED, FIGLIFT_DRAWN_REQUESTS (of each caller).
unsigned fromEnvironment(const char *Name, unsigned Otherwise) {
  const char *Value = std::getenv(Name);
  return Value ? static_cast<unsigned>(std::strtoul(Value, nullptr, 10))
               : Otherwise;
}

} // namespace

TEST_GROUP(DrawnAnswers) {
  GatewayFixture Fixture{8, UnlimitedRetries};
  /// Many, as each one is avoided for a while after a failure or a rejection.
  unsigned PlainServers = 16;
  unsigned Engines = 18;
  RunLedger Ledger;
  std::deque<DrawnServer> Servers;
  std::deque<DrawnCaller> Requesters;

  void addServer(uint64_t Seed, const std::string &Service,
                 const std::string &Stage, DrawnShares Shares) {
    Servers.emplace_back(Fixture.Loop, Ledger, Seed * 100 + Servers.size(),
                         Stage, Shares);
    Fixture.listServer("s" + std::to_string(Servers.size()), Service,
                       Servers.back().address(), Stage);
  }
  void play(uint64_t Seed, DrawnShares Shares, unsigned Requests) {
    for (unsigned I = 0; I < PlainServers; ++I)
      addServer(Seed, "plain", "", Shares);
    for (unsigned I = 0; I < Engines; ++I)
      addServer(Seed, "model", I % 3 == 0 ? "prefill" : "decode", Shares);
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(),
                      "figlift_gateway_targets " +
                          std::to_string(PlainServers + Engines) + "\n");
    }));
    for (unsigned I = 0; I < Callers; ++I) {
      Requesters.emplace_back(Fixture.Loop, Ledger, Seed * 1000 + I,
                              "c" + std::to_string(I),
                              Fixture.Settings.Listen.Callers, Requests);
      Requesters.back().start();
    }
    const auto IsDone = [&] {
      return std::all_of(Requesters.begin(), Requesters.end(),
                         [](const DrawnCaller &Any) { return Any.isDone(); });
    };
    while (!IsDone())
      Fixture.Loop.run_for(std::chrono::milliseconds(20));
    Fixture.Loop.run_for(RunsLater);
  }
  void check() {
    std::string Text;
    for (const std::string &Violation : Ledger.violations())
      Text += Violation + "\n";
    STRCMP_EQUAL("", Text.c_str());
    CHECK(Ledger.answers(200) > 0);
    CHECK(Ledger.answers(503) > 0);
  }
};

// Failure: some combination of answers makes the gateway promise "not run" for
// a request that ran, or send one again that may run once only.
TEST(DrawnAnswers, BreakNoPromise) {
  play(fromEnvironment("FIGLIFT_DRAWN_SEED", 1), {},
       fromEnvironment("FIGLIFT_DRAWN_REQUESTS", 150));
  check();
}

// Failure: requests wait for the full servers that rejected them, and late
// copies of the rejections are taken for the answers to their next sends.
TEST(DrawnAnswers, CopiesOfRejectionsBreakNoPromise) {
  Fixture.MaximumConnections = 1;
  PlainServers = 2;
  Engines = 3;
  play(2,
       {.Reject = 0.02,
        .Fail = 0,
        .CutOff = 0,
        .Copy = 0.5,
        .MaximumWork = std::chrono::milliseconds(20),
        .Slots = 2},
       150);
  check();
}

// Failure: a request may have run at one server, gets no connection to the
// next, and is answered "not run", or runs once more than its route allows.
TEST(DrawnAnswers, MissingConnectionsBreakNoPromise) {
  Fixture.MaximumConnections = 1;
  play(3, {.Reject = 0.1, .Fail = 0, .CutOff = 0.15, .Copy = 0}, 150);
  check();
}
