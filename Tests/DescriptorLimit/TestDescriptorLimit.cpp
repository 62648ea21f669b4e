//===- TestDescriptorLimit.cpp - A gateway with few file descriptors ------===//
//
// A separate process, as the limit holds for a process as a whole. The other
// gateway, the store and the servers run in the test's process.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/SeparateGateway.h"

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;

namespace {

constexpr unsigned Descriptors = 44;
constexpr unsigned Callers = 60;

} // namespace

TEST_GROUP(DescriptorLimit) {
  GatewayFixture Fixture;
  SeparateGateway Process{Fixture};
  std::vector<std::unique_ptr<KeepAliveCaller>> Connections;

  void setup() override {
    Fixture.configure();
    Fixture.addServer("s1", "plain", respondWith("good"));
    Fixture.addServer("s2", "plain", respondWith("good"));
    start(Descriptors);
  }
  void teardown() override { Connections.clear(); }
  void start(size_t Limit) {
    CHECK(Process.start(Limit));
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets 2");
    }));
  }
  /// Descriptors that the process has open.
  size_t used() const {
    const std::filesystem::directory_iterator Open(
        "/proc/" + std::to_string(Process.pid()) + "/fd");
    return static_cast<size_t>(std::distance(begin(Open), end(Open)));
  }
  void connect(unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      Connections.push_back(std::make_unique<KeepAliveCaller>(Fixture));
  }
  /// Sends a request on each connection, and returns how many got a result. All
  /// others are told when to come back.
  unsigned servedOfAll() {
    unsigned Served = 0;
    for (const auto &Connection : Connections) {
      Connection->send("GET", "/safe/x");
      CHECK(Fixture.waitUntil([&] { return isAnswered(*Connection); }));
      const std::string &Answer = Connection->received();
      const bool WasServed = Answer.starts_with("HTTP/1.1 200");
      CHECK(WasServed || (Answer.starts_with("HTTP/1.1 503") &&
                          contains(Answer, "Retry-After")));
      Served += WasServed ? 1 : 0;
    }
    return Served;
  }
  static bool isAnswered(KeepAliveCaller & Connection) {
    return contains(Connection.received(), "\r\n\r\n");
  }
  /// Connections that are told to go elsewhere.
  unsigned sentElsewhere() {
    return std::count_if(Connections.begin(), Connections.end(),
                         [](const auto &Connection) {
                           return isStoppingRejection(Connection->received());
                         });
  }
  bool hasRejected(const std::string &Reason) {
    const std::string Count =
        "figlift_gateway_connections_rejected_total{reason=\"" + Reason +
        "\"} ";
    Connections.clear();
    return Fixture.waitUntil([&] {
      const std::string Metrics = Fixture.metrics();
      return contains(Metrics, Count) && !contains(Metrics, Count + "0\n");
    });
  }
};

// Failure: connections wait in the listen queue, without an answer, for as long
// as other callers keep theirs open.
TEST(DescriptorLimit, NewConnectionsAreToldAtTheBound) {
  connect(Callers);
  const unsigned Served = servedOfAll();
  // The descriptors that are left for servers are not most of them.
  CHECK(Served >= Descriptors / 5);
  // Callers that are served do not take the descriptors of servers.
  LONGS_EQUAL(Callers, Served + sentElsewhere());
  CHECK(hasRejected("bound"));
}

// Failure: a process that has no descriptor left leaves connections in the
// listen queue, without an answer.
TEST(DescriptorLimit, ConnectionsAreToldWithoutADescriptor) {
  // Far more are in use than the gateway leaves for other uses than callers.
  const size_t Few = used() + 4;
  start(Few);
  connect(Callers);
  CHECK(servedOfAll() < Descriptors / 5);
  CHECK(hasRejected("descriptors"));
}
