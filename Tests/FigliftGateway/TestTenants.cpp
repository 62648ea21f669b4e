//===- TestTenants.cpp - API keys at a gateway ----------------------------===//
//
// Requests with and without valid API keys, and keys that are added and
// removed while callers stay connected.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace figlift;
using namespace figlift::testing;

TEST_GROUP(Tenants) {
  GatewayFixture Fixture;
  Listener *Server = nullptr;

  void setup() override {
    Server = &Fixture.addServer("s1", "plain", respondWith("good"));
    configureTenants(1, R"([{"name":"ski","apiKeys":["sesame"]}])");
    CHECK(Fixture.waitUntilReady());
  }
  void configureTenants(uint64_t Version, const std::string &Tenants) {
    Fixture.Tenants = Tenants;
    Fixture.configure(Version);
  }
  std::string get(const std::string &Path, const std::string &Fields) {
    return Fixture.request("GET", Path, Fields);
  }
  bool isServed(const std::string &Key) {
    return contains(get("/safe/x", "X-Credential: " + Key + "\r\n"), "good");
  }
  /// Opens a connection on which a request with \p Key is served. A process
  /// that is late closes new connections unread, and their callers come back.
  std::unique_ptr<KeepAliveCaller> connect(const std::string &Key) {
    std::unique_ptr<KeepAliveCaller> Caller;
    CHECK(Fixture.waitUntil([&] {
      Caller = std::make_unique<KeepAliveCaller>(Fixture);
      Caller->send("GET", "/safe/x", "X-Credential: " + Key + "\r\n");
      CHECK(Fixture.waitUntil(
          [&] { return !Caller->received().empty() || Caller->isClosed(); }));
      return !Caller->received().empty();
    }));
    CHECK(contains(Caller->received(), "good"));
    return Caller;
  }
  bool isRejected(const std::string &Fields) {
    const std::string Answer = get("/safe/x", Fields);
    return Answer.starts_with("HTTP/1.1 401") && contains(Answer, "not run") &&
           contains(Answer, "107");
  }
};

// Failure: a server gets the key of a tenant, and can act as that tenant.
TEST(Tenants, ServersGetTheTenantInPlaceOfTheKey) {
  CHECK(contains(get("/safe/x", "X-Credential: sesame\r\nX-Tenant: other\r\n"
                                "Connection: X-Tenant\r\n"),
                 "good"));
  LONGS_EQUAL(1, Server->Requests.size());
  const proxy::HeaderList &Fields = Server->Requests[0].Head.Headers;
  CHECK(Fields.find("X-Tenant") == "ski");
  for (const proxy::HeaderField &Field : Fields)
    CHECK(!contains(Field.Value, "sesame"));
  const std::string Metrics = Fixture.metrics();
  CHECK(contains(Metrics,
                 "figlift_gateway_tenant_requests_total{tenant=\"ski\"} 1"));
  CHECK(!contains(Metrics, "sesame"));
}

// Failure: requests run although no configuration holds their key.
TEST(Tenants, RejectsRequestsWithoutExactlyOneValidKey) {
  CHECK(isRejected(""));
  CHECK(isRejected("X-Credential: wrong\r\n"));
  CHECK(isRejected("X-Credential: \r\n"));
  CHECK(isRejected("X-Credential: " + std::string(8000, 'k') + "\r\n"));
  CHECK(isRejected("X-Credential: sesame\r\nX-Credential: sesame\r\n"));
  LONGS_EQUAL(0, Server->Requests.size());
  CHECK(contains(Fixture.metrics(), "figlift_gateway_unauthenticated_total 5"));
}

TEST(Tenants, PublicRoutesNeedNoKeyAndNameNoTenant) {
  CHECK(contains(get("/open/x", "X-Credential: sesame\r\n"), "good"));
  CHECK(contains(get("/open/x", "X-Tenant: ski\r\n"), "good"));
  LONGS_EQUAL(2, Server->Requests.size());
  for (const proxy::Request &Request : Server->Requests)
    CHECK(!Request.Head.Headers.has("X-Tenant") &&
          !Request.Head.Headers.has("X-Credential"));
}

// Failure: a key that was removed still works on a connection that was open
// before.
TEST(Tenants, FollowsKeysThatAreAddedAndRemoved) {
  const auto Kept = connect("sesame");
  configureTenants(2, R"([{"name":"ski","apiKeys":["new-key"]}])");
  CHECK(Fixture.waitUntil([&] { return isServed("new-key"); }));
  CHECK(!isServed("sesame"));
  Kept->send("GET", "/safe/x", "X-Credential: sesame\r\n");
  CHECK(Fixture.waitUntil(
      [&] { return contains(Kept->received(), "HTTP/1.1 401"); }));
}

// Failure: a configuration with malformed tenants takes the valid keys away.
TEST(Tenants, AMalformedConfigurationLeavesTheKeysInForce) {
  configureTenants(2, R"([{"name":"ski","apiKeys":["a"]},
                          {"name":"board","apiKeys":["a"]}])");
  configureTenants(3, R"([{"name":"ski","apiKeys":["sesame","later"]}])");
  CHECK(Fixture.waitUntil([&] { return isServed("later"); }));
  CHECK(isServed("sesame"));
}
