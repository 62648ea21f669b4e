//===- TestRows.cpp - Tests of operator and server rows -------------------===//
//
// Examples of the platform, and malformed rows.
//
//===----------------------------------------------------------------------===//

#include "platform/Rows.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::slopes;
using std::chrono::milliseconds;

namespace {
constexpr const char *Example =
    R"({"version":7,"routes":[
{"name":"r-1","host":"h.example","prefix":"/lohu930/","kind":"streaming",
 "timeoutMs":2000,"targetLatencyMs":120,"priority":0,
 "backends":[{"service":"a","weight":90},{"service":"b","weight":10}],
 "maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":150},
{"name":"r-2","host":"h.example","prefix":"/pufi/","kind":"unsafe",
 "timeoutMs":1000,"service":"b","maxAttempts":1}],
"services":[{"name":"a","healthPath":"/health","maxConnections":140,
 "engine":{"slots":8,"kvCapacity":1372208,"tokenKvBytes":18432,
 "linkMbps":630000.0,"kvHoldS":5.0,"stageSwitchS":3.0,"models":[{"name":"m"}]}},
 {"name":"b","healthPath":"/health","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
 "headerTimeoutMs":3000,"idleTimeoutMs":15000},"unknown":1})";
} // namespace

TEST_GROUP(Rows){
    void rejectsConfiguration(const std::string &Json, const char *Field){
        const auto Decoded = decodeConfiguration(Json);
CHECK(!Decoded.has_value());
STRCMP_EQUAL(Field, Decoded.error().Field.c_str());
}
void rejectsServer(const std::string &Json, const char *Field) {
  const auto Decoded = decodeServer("i-1", Json);
  CHECK(!Decoded.has_value());
  STRCMP_EQUAL(Field, Decoded.error().Field.c_str());
}
}
;

TEST(Rows, ReadsAConfiguration) {
  const auto Decoded = decodeConfiguration(Example);
  CHECK(Decoded.has_value());
  const dispatch::Configuration &Configuration = Decoded.value();
  LONGS_EQUAL(7, Configuration.Version);
  const dispatch::Route &Stream = Configuration.Routes.at(0);
  CHECK(Stream.Kind == dispatch::RouteKind::Streaming);
  CHECK(Stream.repeatable() && Stream.CarriesPrompts);
  CHECK(Stream.Timeout == milliseconds(2000));
  CHECK(Stream.EventGapTarget == milliseconds(150));
  LONGS_EQUAL(2, Stream.Services.size());
  CHECK(!Configuration.Routes.at(1).repeatable());
  CHECK(Configuration.Routes.at(1).LatencyTarget == milliseconds(1000));
  const auto &Engine = *Configuration.service("a")->Engine;
  LONGS_EQUAL(8, Engine.Slots);
  CHECK(Engine.StageSwitch == milliseconds(3000));
  CHECK(!Configuration.service("b")->Engine);
  LONGS_EQUAL(4194304, Configuration.Bounds.BodyBytes);
}

TEST(Rows, NamesFieldsOfAMalformedConfiguration) {
  rejectsConfiguration("{", "");
  rejectsConfiguration("{}", "version");
  rejectsConfiguration(R"({"version":"x"})", "version");
  rejectsConfiguration(R"({"version":1,"routes":[{"host":"h","prefix":"/",
    "kind":"odd","timeoutMs":1,"service":"a"}]})",
                       "routes[0].kind");
  rejectsConfiguration(R"({"version":1,"routes":[{"host":"h","prefix":"/",
    "kind":"safe","timeoutMs":1}]})",
                       "routes[0].service");
  rejectsConfiguration(R"({"version":1,"services":[{"name":"a",
    "engine":{"slots":0}}]})",
                       "services[0].engine.slots");
}

TEST(Rows, ReadsTenants) {
  CHECK(!decodeConfiguration(R"({"version":1})").value().Tenants);
  const auto Decoded = decodeConfiguration(
      R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"safe",
      "timeoutMs":1,"service":"a","public":true}],
      "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":3},
      {"name":"u","apiKeys":[]}]})");
  CHECK(Decoded.has_value());
  CHECK(Decoded.value().Routes.at(0).Access == tenant::Access::Public);
  const tenant::TenantTable &Tenants = *Decoded.value().Tenants;
  LONGS_EQUAL(2, Tenants.tenantCount());
  LONGS_EQUAL(3, *Tenants.find("k2")->Priority);
}

// Errors are logged; one that quotes the value found would reveal a key.
TEST(Rows, RejectsMalformedTenantsWithoutQuotingKeys) {
  const auto Rejects = [](const std::string &Tenants, const char *Field) {
    const auto Decoded =
        decodeConfiguration(R"({"version":1,"tenants":)" + Tenants + "}");
    CHECK(!Decoded.has_value());
    STRCMP_EQUAL(Field, Decoded.error().Field.c_str());
    CHECK(Decoded.error().Message.find("sesame") == std::string::npos);
  };
  Rejects(R"("sesame")", "tenants");
  Rejects(R"(["sesame"])", "tenants[0]");
  Rejects(R"([{"apiKeys":["sesame"]}])", "tenants[0].name");
  Rejects(R"([{"name":"t","apiKeys":"sesame"}])", "tenants[0].apiKeys");
  Rejects(R"([{"name":"t","apiKeys":["x",{"sesame":1}]}])",
          "tenants[0].apiKeys[1]");
  Rejects(R"([{"name":"t","apiKeys":[""]}])", "tenants[0].apiKeys[0]");
  Rejects(R"([{"name":"t","apiKeys":["sesame"]},
              {"name":"u","apiKeys":["sesame"]}])",
          "tenants[1].apiKeys");
  Rejects(R"([{"name":"t"},{"name":"t"}])", "tenants[1].name");
  Rejects(R"([{"name":"t","priority":"sesame"}])", "tenants[0].priority");
}

TEST(Rows, ReadsAServer) {
  const auto Decoded = decodeServer(
      "i-1", R"({"service":"a","address":"10.128.0.9:8080","zone":"z",
      "version":"v1","slots":8,"state":"draining","coldRemainingMs":0,
      "stage":"prefill","models":[],"sequence":4})");
  CHECK(Decoded.has_value());
  CHECK(Decoded.value().Draining);
  CHECK(Decoded.value().EngineStage == dispatch::Stage::Prefill);
  STRCMP_EQUAL("v1", Decoded.value().SoftwareVersion.c_str());
  LONGS_EQUAL(8080, Decoded.value().Address.Port);
}

TEST(Rows, ReadsAServerWithoutAStage) {
  const auto Decoded =
      decodeServer("i-1", R"({"service":"b","address":"10.0.0.1:1","zone":"z",
      "version":"v1","slots":6,"state":"ready","coldRemainingMs":0,
      "sequence":4})");
  CHECK(Decoded.value().EngineStage == dispatch::Stage::None);
  CHECK(!Decoded.value().Draining);
}

// Failure: a server runs what no caller sent.
// Cause: the id of another writer's entry has a line break and becomes a part
// of the requests to its address.
TEST(Rows, RejectServersWhoseIdWouldEndItsField) {
  const std::string Entry = R"({"service":"b","address":"10.0.0.1:1",
      "zone":"z","version":"v1","slots":6,"state":"ready",
      "coldRemainingMs":0,"sequence":4})";
  for (const std::string &Id :
       {std::string("i\r\nX-Evil: 1"), std::string("i\n"),
        std::string("i\0", 2), std::string("i\x7f")})
    CHECK(!decodeServer(Id, Entry).has_value());
  CHECK(decodeServer("i-\"'\xc3\xa9", Entry).has_value());
}

// Another program writes an entry to the server list. If the entry is accepted
// although fields are missing, requests are sent to an address without a
// server.
TEST(Rows, RejectsEntriesOfOtherWriters) {
  const nlohmann::json Complete = {
      {"service", "a"},       {"address", "10.0.0.1:1"},
      {"zone", "z"},          {"version", "v1"},
      {"slots", 8},           {"state", "ready"},
      {"coldRemainingMs", 0}, {"stage", "decode"},
      {"sequence", 4},        {"born", 1790000000000}};
  CHECK(decodeServer("i-1", Complete.dump()).has_value());
  for (const auto &[Name, Value] : Complete.items()) {
    nlohmann::json Changed = Complete;
    Changed[Name] = nlohmann::json::array();
    rejectsServer(Changed.dump(), Name.c_str());
    if (Name == "stage" || Name == "born")
      continue;
    Changed.erase(Name);
    rejectsServer(Changed.dump(), Name.c_str());
  }
  const auto RejectsValue = [&](const char *Name, nlohmann::json Value) {
    nlohmann::json Changed = Complete;
    Changed[Name] = std::move(Value);
    rejectsServer(Changed.dump(), Name);
  };
  RejectsValue("address", "here");
  RejectsValue("slots", -1);
  RejectsValue("stage", "odd");
  RejectsValue("state", "retired");
  RejectsValue("born", 1790000000000.5);
  RejectsValue("born", "1790000000000");
  rejectsServer("\xff\xfe", "");
  rejectsServer("", "");
  rejectsServer("[]", "");
}

TEST(Rows, ReadsWhenAServerStarted) {
  const auto Decoded =
      decodeServer("i-1", R"({"service":"b","address":"10.0.0.1:1","zone":"z",
      "version":"v1","slots":6,"state":"ready","coldRemainingMs":0,
      "sequence":4,"born":1790000000123})");
  LONGS_EQUAL(4, Decoded.value().Heartbeat);
  CHECK(Decoded.value().Started ==
        dispatch::StartTime(milliseconds(1790000000123)));
}
