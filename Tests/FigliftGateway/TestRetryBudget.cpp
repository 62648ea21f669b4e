//===- TestRetryBudget.cpp - Retries of a gateway under load --------------===//
//
// How much the engines get beyond the first prefill and the first execution of
// each request.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <deque>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

constexpr double RetryBase = 10;
/// FleetRetryBudgetSettings::Ratio of the fixture.
constexpr double RetryRatio = 0.2;

/// Requests that arrived at \p Engines beyond the first one of each caller,
/// whose prompts differ in size.
size_t repeatsAt(const std::vector<const Listener *> &Engines) {
  std::set<std::string> Sizes;
  size_t Arrivals = 0;
  for (const Listener *Engine : Engines)
    for (const proxy::Request &Request : Engine->Requests)
      if (const auto Size = Request.Head.Headers.find("X-Token-Count")) {
        ++Arrivals;
        Sizes.insert(std::string(*Size));
      }
  return Arrivals - Sizes.size();
}

} // namespace

TEST_GROUP(RetryBudget) { GatewayFixture Fixture{8, RetryBase}; };

// Failure: engines get up to twice the retries that the fleet's budget allows.
// Sequence: the executions of many prompts fail together, and each retry needs
// a prefill and an execution.
// Cause: a retry is granted when the budget has room for one, and its execution
// is charged only when it is sent.
TEST(RetryBudget, CoversThePrefillAndTheExecutionOfARetry) {
  constexpr unsigned Callers = 20;
  std::vector<const Listener *> Prefill;
  std::vector<const Listener *> Decode;
  for (unsigned Number = 0; Number < Callers; ++Number) {
    const std::string Id = std::to_string(Number);
    Prefill.push_back(&Fixture.addServer(
        "p" + Id, "model", completePrefillAfter(Fixture.Loop, milliseconds(60)),
        "prefill"));
    Decode.push_back(&Fixture.addServer(
        "d" + Id, "model",
        [](const proxy::Request &Request, const Caller &To) {
          respondSigned(Request, To, 500, "");
        },
        "decode"));
  }
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 40");
  }));
  std::deque<KeepAliveCaller> All;
  for (unsigned Number = 0; Number < Callers; ++Number) {
    // Too large for a prefill at a decode engine.
    All.emplace_back(Fixture).send(
        "POST", "/stream/x",
        "X-Token-Count: " + std::to_string(40000 + Number) + ",8\r\n");
  }
  CHECK(Fixture.waitUntil([&] {
    return std::ranges::all_of(All, [](KeepAliveCaller &Each) {
      return contains(Each.received(), "HTTP/1.1 ");
    });
  }));
  const size_t Repeats = repeatsAt(Prefill) + repeatsAt(Decode);
  CHECK(Repeats > RetryBase / 2);
  CHECK(static_cast<double>(Repeats) <= RetryRatio * Callers + RetryBase);
}

// Failure: each of several gateways that start together uses the whole fixed
// part of the retry budget until it has counted the others.
TEST(RetryBudget, IsSharedFromTheFirstRequestOn) {
  constexpr unsigned Callers = 20;
  constexpr unsigned Gateways = 4;
  for (unsigned Other = 2; Other <= Gateways; ++Other)
    Fixture.Store.put("figlift-gateways", "g" + std::to_string(Other),
                      "127.0.0.1:9");
  std::vector<const Listener *> Servers;
  for (unsigned Number = 0; Number < Callers; ++Number)
    Servers.push_back(
        &Fixture.addServer("s" + std::to_string(Number), "plain",
                           [](const proxy::Request &Request, const Caller &To) {
                             respondSigned(Request, To, 500, "");
                           }));
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  std::deque<KeepAliveCaller> All;
  for (unsigned Number = 0; Number < Callers; ++Number)
    All.emplace_back(Fixture).send("GET", "/safe/x", "");
  CHECK(Fixture.waitUntil([&] {
    return std::ranges::all_of(All, [](KeepAliveCaller &Each) {
      return contains(Each.received(), "HTTP/1.1 ");
    });
  }));
  size_t Arrivals = 0;
  for (const Listener *Server : Servers)
    Arrivals += Server->Requests.size();
  CHECK(Arrivals >= Callers);
  CHECK(static_cast<double>(Arrivals - Callers) <=
        RetryRatio * Callers + RetryBase / Gateways);
}
