//===- TestStoreFromCopy.cpp - The store comes back from a copy -----------===//
//
// What was written since the copy is gone, and versions are given out again. A
// gateway of a small deployment keeps up with the store all the same, and with
// its peers.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

TEST_GROUP(StoreFromCopy) {
  GatewayScene Scene;

  void setup() override {
    Scene.server("a", "plain", answersWith("one"));
    Scene.configure();
    CHECK(Scene.becomesReady());
  }
  bool hasMetric(const std::string &Line) {
    return has(Scene.metrics(), Line + "\n");
  }
  /// A copy is made; then so much is written that its versions are far behind.
  void copyAndGoOn() {
    Scene.Store.copy();
    for (int Each = 0; Each < 100; ++Each)
      Scene.Store.put("elsewhere", "row", "");
    Scene.server("late", "plain", answersWith("late"));
    CHECK(Scene.until([&] { return hasMetric("figlift_gateway_targets 2"); }));
  }
  /// The bound for configurations and leaving servers is two seconds.
  template <typename Condition> bool soon(Condition Done) {
    const auto Begun = std::chrono::steady_clock::now();
    return Scene.until(Done) &&
           std::chrono::steady_clock::now() - Begun < milliseconds(2000);
  }
};

// Failure: a change is not in force until versions have caught up.
TEST(StoreFromCopy, PutsTheNextConfigurationIntoForceInTime) {
  copyAndGoOn();
  Scene.Store.comeBackFromCopy();
  Scene.configure(2);
  CHECK(soon(
      [&] { return hasMetric("figlift_gateway_configuration_version 2"); }));
}

// Failure: requests go to a server that has left.
TEST(StoreFromCopy, FollowsTheListOfServers) {
  copyAndGoOn();
  Scene.Store.comeBackFromCopy();
  // It registers again, and leaves.
  Scene.list("late", "ready");
  Scene.Loop.run_for(milliseconds(300));
  CHECK(hasMetric("figlift_gateway_targets 2"));
  Scene.list("a", "draining");
  CHECK(soon([&] { return has(Scene.ask("GET", "/safe/x"), "late"); }));
}

// Failure: a configuration in force is replaced by an older one.
TEST(StoreFromCopy, NeverGoesBackToAnOlderConfiguration) {
  Scene.Store.copy();
  Scene.configure(2);
  CHECK(Scene.until(
      [&] { return hasMetric("figlift_gateway_configuration_version 2"); }));
  Scene.Store.comeBackFromCopy();
  Scene.Store.put("elsewhere", "row", "");
  Scene.Loop.run_for(milliseconds(1500));
  CHECK(hasMetric("figlift_gateway_configuration_version 2"));
}

// Failure: servers whose entries the copy lacks get no more requests, though
// they run and register again.
TEST(StoreFromCopy, KeepsServersThatRegisterAgain) {
  copyAndGoOn();
  Scene.Store.comeBackFromCopy();
  Scene.Loop.run_for(milliseconds(1000));
  CHECK(hasMetric("figlift_gateway_targets 2"));
  // One that does not come back is gone soon after.
  CHECK(Scene.until([&] { return hasMetric("figlift_gateway_targets 1"); }));
}

// Failure: requests go to a server that had left before, as the copy lists it.
TEST(StoreFromCopy, BringsNoServerBackThatWasGone) {
  Scene.server("late", "plain", answersWith("late"));
  CHECK(Scene.until([&] { return hasMetric("figlift_gateway_targets 2"); }));
  Scene.Store.copy();
  Scene.Store.remove("servers", "late");
  CHECK(Scene.until([&] { return hasMetric("figlift_gateway_targets 1"); }));
  Scene.Store.comeBackFromCopy();
  Scene.Loop.run_for(milliseconds(1500));
  CHECK(hasMetric("figlift_gateway_store_era 2"));
  CHECK(hasMetric("figlift_gateway_targets 1"));
  // One that runs all the same says so by its next heartbeat.
  Scene.list("late", "ready");
  CHECK(soon([&] { return hasMetric("figlift_gateway_targets 2"); }));
}

// Failure: the store is asked without a pause, as its history is not the one
// that is asked for.
TEST(StoreFromCopy, IsNotAskedWithoutAPause) {
  copyAndGoOn();
  Scene.Store.comeBackFromCopy();
  Scene.Loop.run_for(milliseconds(500));
  const int Before = Scene.Store.Answers;
  Scene.Loop.run_for(milliseconds(2000));
  // Two tables, each at most each half a second and after each change.
  CHECK(Scene.Store.Answers - Before <= 20);
}

// Failure: gateways that run and those that start believe nothing of each
// other, as the copy lacks the secret and another one is made.
TEST(StoreFromCopy, GetsTheSecretAndTheRowOfItsGatewaysAgain) {
  CHECK(Scene.until([&] {
    return !Scene.Store.value("figlift-gateways", "#secret").empty();
  }));
  const std::string Secret = Scene.Store.value("figlift-gateways", "#secret");
  const std::string Row = Scene.Store.value("figlift-gateways", "g1");
  CHECK(!Row.empty());
  Scene.Store.remove("figlift-gateways", "#secret");
  Scene.Store.remove("figlift-gateways", "g1");
  Scene.Store.copy();
  Scene.Store.comeBackFromCopy();
  CHECK(soon([&] {
    return Scene.Store.value("figlift-gateways", "#secret") == Secret &&
           Scene.Store.value("figlift-gateways", "g1") == Row;
  }));
}
