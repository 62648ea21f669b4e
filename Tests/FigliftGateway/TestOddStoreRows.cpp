//===- TestOddStoreRows.cpp - Rows of odd writers in the store ------------===//
//
// Other programs write rows, too. A row that cannot be decoded must not keep a
// gateway from the other rows of its table.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

TEST_GROUP(OddStoreRows) {
  GatewayFixture Fixture;

  bool hasMetric(const std::string &Line) {
    return contains(Fixture.metrics(), Line + "\n");
  }
  bool showsTargets(unsigned Count) {
    return Fixture.waitUntil([&] {
      return hasMetric("figlift_gateway_targets " + std::to_string(Count));
    });
  }
  static std::vector<std::string> oddRows() {
    const std::string Deep =
        std::string(100'000, '[') + std::string(100'000, ']');
    return {R"({"key":"odd-1","ver":1,"value":"***"})",
            R"({"key":"odd-2","ver":1,"value":)" + Deep + "}",
            R"({"key":"odd-3","ver":1,"part":5,"value":"e30="})",
            R"({"key":"odd-4","ver":-1,"value":"e30="})",
            R"({"key":5,"value":"e30="})",
            R"({"key":"\ud800","ver":1,"value":"e30="})",
            R"({"key":"odd-5","ver":1e999,"value":"e30="})",
            Deep,
            R"(["odd"])",
            "null"};
  }
};

// Failure: a single odd row ends the process, or the list of servers is not
// followed any more as long as the row is there.
TEST(OddStoreRows, ServersAreFollowedPastThem) {
  Fixture.Store.OddRows["servers"] = oddRows();
  Fixture.addServer("a", "plain", respondWith("one"));
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  CHECK(showsTargets(1));
  CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
  // The changes of the list have the same rows.
  Fixture.addServer("b", "plain", respondWith("two"));
  CHECK(showsTargets(2));
  Fixture.Store.remove("servers", "a");
  CHECK(showsTargets(1));
  CHECK(contains(Fixture.request("GET", "/safe/x"), "two"));
  CHECK(!hasMetric("figlift_gateway_store_rows_refused_total 0"));
}

// Failure: an odd row beside the configuration keeps the next one from being
// applied.
TEST(OddStoreRows, ConfigurationsAreFollowedPastThem) {
  Fixture.Store.OddRows["op"] = oddRows();
  Fixture.addServer("a", "plain", respondWith("one"));
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  Fixture.configure(2);
  CHECK(Fixture.waitUntil(
      [&] { return hasMetric("figlift_gateway_configuration_version 2"); }));
  CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
}

// Failure: the entry of a server that turns odd stays in use, although nothing
// is known of where it is.
TEST(OddStoreRows, AnEntryThatTurnsOddIsRefused) {
  Fixture.addServer("a", "plain", respondWith("one"));
  Fixture.addServer("b", "plain", respondWith("two"));
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  CHECK(showsTargets(2));
  Fixture.Store.remove("servers", "a");
  Fixture.Store.OddRows["servers"] = {
      R"({"key":"a","ver":1,"value":{"service":"plain"}})"};
  CHECK(showsTargets(1));
  CHECK(contains(Fixture.request("GET", "/safe/x"), "two"));
}

// Failure: odd rows in the tables of the gateways themselves end the process,
// or keep streams from beginning.
TEST(OddStoreRows, TheGatewaysTablesAreReadPastThem) {
  for (const char *Table : {"figlift-gateways", "figlift-software-versions",
                            "figlift-leases", "figlift-usage"})
    Fixture.Store.OddRows[Table] = oddRows();
  Fixture.addServer("a", "plain", respondWith("one"));
  Fixture.addServer("e", "model",
                    streamFor(Fixture.Loop, std::chrono::milliseconds(100)),
                    "decode");
  Fixture.configure();
  CHECK(Fixture.waitUntilReady());
  CHECK(showsTargets(2));
  CHECK(contains(Fixture.request("GET", "/safe/x"), "one"));
  CHECK(Fixture.waitUntil([&] {
    return isCompleteStream(
        Fixture.request("POST", "/stream/x", PromptHeaders));
  }));
}
