//===- TestRows.cpp - The operator's and the servers' rows ----------------===//
//
// The platform's examples, and malformed rows.
//
//===----------------------------------------------------------------------===//

#include "platform/Rows.h"

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
  CHECK(Read.value().Does == dispatch::Stage::Prefill);
  LONGS_EQUAL(8080, Read.value().Address.Port);
}

TEST(Rows, TakesAServerWithoutAStageForAPlainOne) {
  const auto Read = decodeServer(
      "i-1", R"({"service":"b","address":"10.0.0.1:1","state":"ready"})");
  CHECK(Read.value().Does == dispatch::Stage::None);
  CHECK(!Read.value().Draining);
}

TEST(Rows, NamesFieldsOfAMalformedServer) {
  refusesServer(R"({"address":"10.0.0.1:1"})", "service");
  refusesServer(R"({"service":"a","address":"here"})", "address");
  refusesServer(R"({"service":"a","address":"10.0.0.1:1","slots":-1})",
                "slots");
  refusesServer(R"({"service":"a","address":"10.0.0.1:1","stage":"odd"})",
                "stage");
}
