//===- TestUsageReports.cpp - Usage that a gateway reports ----------------===//
//
// One gateway that holds the duty to report usage, with stand-ins for the store
// and the receiver of the reports.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include "LibLog/Log.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <mutex>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace {

constexpr const char *Key = "sesame-9f31";

} // namespace

TEST_GROUP(UsageReports) {
  GatewayFixture Fixture{8, 50, milliseconds(1000)};

  void setup() override {
    Fixture.Tenants = std::string(R"([{"name":"ski","apiKeys":[")") + Key +
                      R"("]},{"name":"board","apiKeys":["other"]}])";
    Fixture.configure();
  }
  std::string get(const std::string &PresentedKey) {
    return Fixture.request("GET", "/safe/x",
                           "X-Credential: " + PresentedKey + "\r\n");
  }
  void serve(unsigned Count, const std::string &PresentedKey = Key) {
    for (unsigned I = 0; I < Count; ++I)
      get(PresentedKey);
  }
  /// Requests of \p Tenant in all reports, each window counted once.
  unsigned reported(const std::string &Tenant) {
    std::map<uint64_t, unsigned> ByWindow;
    for (const proxy::Request &Report : Fixture.UsageReceiver.Requests) {
      const auto Body = nlohmann::json::parse(Report.Body);
      ByWindow[Body.at("window").get<uint64_t>()] =
          Body.at("counts").value(Tenant, 0U);
    }
    unsigned Sum = 0;
    for (const auto &[Window, Count] : ByWindow)
      Sum += Count;
    return Sum;
  }
};

TEST(UsageReports, CountWhatServersBeganToRun) {
  Fixture.addServer("s1", "plain", respondWith("good"));
  CHECK(Fixture.waitUntilReady());
  serve(3);
  serve(2, "other");
  serve(4, "unknown");
  CHECK(Fixture.waitUntil(
      [&] { return reported("ski") == 3 && reported("board") == 2; }));
  const proxy::Request &Report = Fixture.UsageReceiver.Requests.at(0);
  STRCMP_EQUAL("/usage", Report.Head.Target.c_str());
  CHECK(Report.Head.Headers.find("X-Duty-Holder") == "g1");
  CHECK(Report.Head.Headers.find("X-Fencing-Token") == "1");
}

// Failure: a tenant is billed for requests that a server rejected.
TEST(UsageReports, LeaveOutWhatServersRejected) {
  Fixture.addServer("s1", "plain", rejectRequest);
  CHECK(Fixture.waitUntilReady());
  serve(3);
  Fixture.setBehaviour("s1", respondWith("good"));
  // For a moment no request is sent to a server that has rejected some.
  bool IsServed = false;
  CHECK(Fixture.waitUntil(
      [&] { return IsServed || (IsServed = contains(get("other"), "good")); }));
  CHECK(Fixture.waitUntil([&] { return reported("board") == 1; }));
  LONGS_EQUAL(0, reported("ski"));
}

// Failure: a request that ran and broke off finds no connection to the next
// server, and its run is not reported.
TEST(UsageReports, CountRunsBeforeASendWithoutConnection) {
  Fixture.MaximumConnections = 1;
  Fixture.configure(2);
  Listener &Full = Fixture.addServer(
      "s1", "plain", [](const proxy::Request &, const Caller &) {});
  CHECK(Fixture.waitUntilReady());
  std::deque<KeepAliveCaller> Waiting;
  for (size_t Connections = 1; Connections <= 2; ++Connections) {
    Waiting.emplace_back(Fixture);
    Waiting.back().send("POST", "/unsafe/x", "X-Credential: other\r\n");
    CHECK(
        Fixture.waitUntil([&] { return Full.Requests.size() == Connections; }));
  }
  Listener &Broken = Fixture.addServer(
      "s2", "plain",
      [](const proxy::Request &, const Caller &To) { To->abort(); });
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_targets 2\n");
  }));
  STRCMP_CONTAINS("HTTP/1.1 502", get(Key).c_str());
  LONGS_EQUAL(1, Broken.Requests.size());
  CHECK(Fixture.waitUntil([&] { return reported("ski") == 1; }));
}

// Failure: the receiver did not answer, and gets other counts the next time.
TEST(UsageReports, AreRepeatedUnchangedUntilTheyAreAccepted) {
  Fixture.addServer("s1", "plain", respondWith("good"));
  CHECK(Fixture.waitUntilReady());
  Fixture.UsageReceiver.setBehaviour(
      [&](const proxy::Request &, const Caller &To) {
        proxy::ResponseHead Head;
        Head.Status = Fixture.UsageReceiver.Requests.size() < 3 ? 429 : 200;
        To->respond(Head, "");
      });
  serve(3);
  CHECK(Fixture.waitUntil(
      [&] { return Fixture.UsageReceiver.Requests.size() >= 3; }));
  const auto &Reports = Fixture.UsageReceiver.Requests;
  STRCMP_EQUAL(Reports[0].Body.c_str(), Reports[1].Body.c_str());
  STRCMP_EQUAL(Reports[0].Body.c_str(), Reports[2].Body.c_str());
}

// Failure: a key is found in a log line, a row, a report, a metric or a
// response, and whoever reads it can act as the tenant.
TEST(UsageReports, NoKeyLeavesTheGateway) {
  std::mutex Mutex;
  std::string Lines;
  log::Options Recorded;
  Recorded.Sink = [&](std::string_view Line) {
    const std::scoped_lock Lock(Mutex);
    Lines += Line;
  };
  log::configure(Recorded);
  Listener &Server = Fixture.addServer("s1", "plain", respondWith("good"));
  CHECK(Fixture.waitUntilReady());
  std::string Answers = get(Key);
  Answers += Fixture.request("GET", "/safe/x",
                             std::string("X-Credential: ") + Key +
                                 "\r\nX-Credential: " + Key + "\r\n");
  Answers += Fixture.request("GET", "/none/x",
                             std::string("X-Credential: ") + Key + "\r\n");
  Answers += Fixture.metrics();
  CHECK(Fixture.waitUntil([&] { return reported("ski") == 1; }));
  for (const proxy::Request &Sent : Server.Requests)
    for (const proxy::HeaderField &Field : Sent.Head.Headers)
      Answers += Field.Value;
  for (const proxy::Request &Report : Fixture.UsageReceiver.Requests)
    Answers += Report.Body;
  for (const char *Table :
       {"figlift-usage", "figlift-leases", "figlift-gateways", "status"})
    for (const std::string &Row : Fixture.Store.keys(Table))
      Answers += Fixture.Store.value(Table, Row);
  const std::scoped_lock Lock(Mutex);
  CHECK(contains(Lines, "usage-reported"));
  CHECK(contains(Lines, "ski"));
  CHECK(!contains(Lines + Answers, Key));
  log::Options Quiet;
  Quiet.Threshold = log::Level::Off;
  log::configure(Quiet);
}
