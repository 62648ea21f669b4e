//===- TestStoreFromCopy.cpp - The store is restored from a backup --------===//
//
// A restored store has lost what was written since the backup and assigns the
// same versions again. A gateway must still follow the store and its peers.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

TEST_GROUP(StoreFromCopy) {
  GatewayFixture Fixture;

  void setup() override {
    Fixture.addServer("a", "plain", respondWith("one"));
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
  bool hasMetric(const std::string &Line) {
    return contains(Fixture.metrics(), Line + "\n");
  }
  /// Saves a backup and then writes so much that its version is far behind.
  void saveBackupAndWriteMore() {
    Fixture.Store.saveBackup();
    for (int Count = 0; Count < 100; ++Count)
      Fixture.Store.put("elsewhere", "row", "");
    Fixture.addServer("late", "plain", respondWith("late"));
    CHECK(Fixture.waitUntil(
        [&] { return hasMetric("figlift_gateway_targets 2"); }));
  }
  /// Whether \p Done becomes true within two seconds, the limit for applying
  /// configurations and removals of servers.
  template <typename Condition> bool becomesTrueInTime(Condition Done) {
    const auto Start = std::chrono::steady_clock::now();
    return Fixture.waitUntil(Done) &&
           std::chrono::steady_clock::now() - Start < milliseconds(2000);
  }
};

// Failure: a change is not applied until the store's versions have caught up.
TEST(StoreFromCopy, AppliesTheNextConfigurationInTime) {
  saveBackupAndWriteMore();
  Fixture.Store.restoreBackup();
  Fixture.configure(2);
  CHECK(becomesTrueInTime(
      [&] { return hasMetric("figlift_gateway_configuration_version 2"); }));
}

// Failure: requests are routed to a draining server.
TEST(StoreFromCopy, FollowsTheListOfServers) {
  saveBackupAndWriteMore();
  Fixture.Store.restoreBackup();
  // Server "late" registers again, and "a" is draining.
  Fixture.setServerState("late", "ready");
  Fixture.Loop.run_for(milliseconds(300));
  CHECK(hasMetric("figlift_gateway_targets 2"));
  Fixture.setServerState("a", "draining");
  CHECK(becomesTrueInTime(
      [&] { return contains(Fixture.request("GET", "/safe/x"), "late"); }));
}

// Failure: the active configuration is replaced by an older one.
TEST(StoreFromCopy, NeverRevertsToAnOlderConfiguration) {
  Fixture.Store.saveBackup();
  Fixture.configure(2);
  CHECK(Fixture.waitUntil(
      [&] { return hasMetric("figlift_gateway_configuration_version 2"); }));
  Fixture.Store.restoreBackup();
  Fixture.Store.put("elsewhere", "row", "");
  Fixture.Loop.run_for(milliseconds(1500));
  CHECK(hasMetric("figlift_gateway_configuration_version 2"));
}

// Failure: servers that are missing in the backup get no more requests, though
// they are running and register again.
TEST(StoreFromCopy, KeepsServersThatRegisterAgain) {
  saveBackupAndWriteMore();
  Fixture.Store.restoreBackup();
  Fixture.Loop.run_for(milliseconds(1000));
  CHECK(hasMetric("figlift_gateway_targets 2"));
  // A server that does not register again is removed soon after.
  CHECK(Fixture.waitUntil(
      [&] { return hasMetric("figlift_gateway_targets 1"); }));
}

// Failure: requests are routed to a server that had been removed, because the
// backup lists it.
TEST(StoreFromCopy, DoesNotRestoreRemovedServers) {
  Fixture.addServer("late", "plain", respondWith("late"));
  CHECK(Fixture.waitUntil(
      [&] { return hasMetric("figlift_gateway_targets 2"); }));
  Fixture.Store.saveBackup();
  Fixture.Store.remove("servers", "late");
  CHECK(Fixture.waitUntil(
      [&] { return hasMetric("figlift_gateway_targets 1"); }));
  Fixture.Store.restoreBackup();
  Fixture.Loop.run_for(milliseconds(1500));
  CHECK(hasMetric("figlift_gateway_store_era 2"));
  CHECK(hasMetric("figlift_gateway_targets 1"));
  // A server that is running after all registers with its next heartbeat.
  Fixture.setServerState("late", "ready");
  CHECK(becomesTrueInTime(
      [&] { return hasMetric("figlift_gateway_targets 2"); }));
}

// Failure: the gateway queries the store without a pause, because the store
// rejects the requested version.
TEST(StoreFromCopy, IsNotPolledContinuously) {
  saveBackupAndWriteMore();
  Fixture.Store.restoreBackup();
  Fixture.Loop.run_for(milliseconds(500));
  const int Before = Fixture.Store.ResponseCount;
  Fixture.Loop.run_for(milliseconds(2000));
  // Two tables, each read at most every 0.5 s and after each change.
  CHECK(Fixture.Store.ResponseCount - Before <= 20);
}

// Failure: running and newly started gateways reject each other's datagrams,
// because the backup lacks the secret and a new one is created.
TEST(StoreFromCopy, GetsTheSecretAndTheRowsOfGatewaysAgain) {
  CHECK(Fixture.waitUntil([&] {
    return !Fixture.Store.value("figlift-gateways", "#secret").empty();
  }));
  const std::string Secret = Fixture.Store.value("figlift-gateways", "#secret");
  const std::string Row = Fixture.Store.value("figlift-gateways", "g1");
  CHECK(!Row.empty());
  Fixture.Store.remove("figlift-gateways", "#secret");
  Fixture.Store.remove("figlift-gateways", "g1");
  Fixture.Store.saveBackup();
  Fixture.Store.restoreBackup();
  CHECK(becomesTrueInTime([&] {
    return Fixture.Store.value("figlift-gateways", "#secret") == Secret &&
           Fixture.Store.value("figlift-gateways", "g1") == Row;
  }));
}
