//===- TestRows.cpp - The operator's and the servers' rows ----------------===//
//
// The platform's examples, and malformed rows.
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
    void refusesConfiguration(const std::string &Json, const char *Field){
        const auto Read = decodeConfiguration(Json);
CHECK(!Read.has_value());
STRCMP_EQUAL(Field, Read.error().Field.c_str());
}
void refusesServer(const std::string &Json, const char *Field) {
  const auto Read = decodeServer("i-1", Json);
  CHECK(!Read.has_value());
  STRCMP_EQUAL(Field, Read.error().Field.c_str());
}
}
;

TEST(Rows, ReadsAConfiguration) {
  const auto Read = decodeConfiguration(Example);
  CHECK(Read.has_value());
  const dispatch::Configuration &What = Read.value();
  LONGS_EQUAL(7, What.Version);
  const dispatch::Route &Stream = What.Routes.at(0);
  CHECK(Stream.Kind == dispatch::RouteKind::Streaming);
  CHECK(Stream.repeatable() && Stream.CarriesPrompts);
  CHECK(Stream.Timeout == milliseconds(2000));
  CHECK(Stream.EventGapTarget == milliseconds(150));
  LONGS_EQUAL(2, Stream.Services.size());
  CHECK(!What.Routes.at(1).repeatable());
  CHECK(What.Routes.at(1).LatencyTarget == milliseconds(1000));
  const auto &Engine = *What.service("a")->Engine;
  LONGS_EQUAL(8, Engine.Slots);
  CHECK(Engine.StageSwitch == milliseconds(3000));
  CHECK(!What.service("b")->Engine);
  LONGS_EQUAL(4194304, What.Bounds.BodyBytes);
}

TEST(Rows, NamesFieldsOfAMalformedConfiguration) {
  refusesConfiguration("{", "");
  refusesConfiguration("{}", "version");
  refusesConfiguration(R"({"version":"x"})", "version");
  refusesConfiguration(R"({"version":1,"routes":[{"host":"h","prefix":"/",
    "kind":"odd","timeoutMs":1,"service":"a"}]})",
                       "routes[0].kind");
  refusesConfiguration(R"({"version":1,"routes":[{"host":"h","prefix":"/",
    "kind":"safe","timeoutMs":1}]})",
                       "routes[0].service");
  refusesConfiguration(R"({"version":1,"services":[{"name":"a",
    "engine":{"slots":0}}]})",
                       "services[0].engine.slots");
}

TEST(Rows, ReadsAServer) {
  const auto Read = decodeServer(
      "i-1", R"({"service":"a","address":"10.128.0.9:8080","zone":"z",
      "version":"v1","slots":8,"state":"draining","coldRemainingMs":0,
      "stage":"prefill","models":[],"sequence":4})");
  CHECK(Read.has_value());
  CHECK(Read.value().Draining);
  CHECK(Read.value().EngineStage == dispatch::Stage::Prefill);
  LONGS_EQUAL(8080, Read.value().Address.Port);
}

TEST(Rows, TakesAServerWithoutAStageForAPlainOne) {
  const auto Read =
      decodeServer("i-1", R"({"service":"b","address":"10.0.0.1:1","zone":"z",
      "version":"v1","slots":6,"state":"ready","coldRemainingMs":0,
      "sequence":4})");
  CHECK(Read.value().EngineStage == dispatch::Stage::None);
  CHECK(!Read.value().Draining);
}

// Symptom: requests are sent to addresses at which nobody answers.
// Sequence: something else than a server writes into the list of servers.
// Cause: an entry was read for what it has, not refused for what it lacks.
TEST(Rows, RefusesEntriesOfOtherWriters) {
  const nlohmann::json Whole = {
      {"service", "a"},       {"address", "10.0.0.1:1"},
      {"zone", "z"},          {"version", "v1"},
      {"slots", 8},           {"state", "ready"},
      {"coldRemainingMs", 0}, {"stage", "decode"},
      {"sequence", 4},        {"born", 1790000000000}};
  CHECK(decodeServer("i-1", Whole.dump()).has_value());
  for (const auto &[Name, Value] : Whole.items()) {
    nlohmann::json Changed = Whole;
    Changed[Name] = nlohmann::json::array();
    refusesServer(Changed.dump(), Name.c_str());
    if (Name == "stage" || Name == "born")
      continue;
    Changed.erase(Name);
    refusesServer(Changed.dump(), Name.c_str());
  }
  const auto RefusesValue = [&](const char *Name, nlohmann::json Value) {
    nlohmann::json Changed = Whole;
    Changed[Name] = std::move(Value);
    refusesServer(Changed.dump(), Name);
  };
  RefusesValue("address", "here");
  RefusesValue("slots", -1);
  RefusesValue("stage", "odd");
  RefusesValue("state", "retired");
  RefusesValue("born", 1790000000000.5);
  RefusesValue("born", "1790000000000");
  refusesServer("\xff\xfe", "");
  refusesServer("", "");
  refusesServer("[]", "");
}

TEST(Rows, ReadsWhenAServerStarted) {
  const auto Read =
      decodeServer("i-1", R"({"service":"b","address":"10.0.0.1:1","zone":"z",
      "version":"v1","slots":6,"state":"ready","coldRemainingMs":0,
      "sequence":4,"born":1790000000123})");
  LONGS_EQUAL(4, Read.value().Heartbeat);
  CHECK(Read.value().Started ==
        dispatch::StartTime(milliseconds(1790000000123)));
}
