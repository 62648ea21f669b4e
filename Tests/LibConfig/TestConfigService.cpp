//===- TestConfigService.cpp - Configuration service and operator API -----===//
//
// Services of two entries that share an in-memory table, and the HTTP paths.
//
//===----------------------------------------------------------------------===//

#include "FakeTable.h"
#include "LibConfig/ConfigService.h"
#include "LibConfig/OperatorService.h"
#include "Support/WaitUntil.h"

#include <future>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::config;
using namespace std::chrono_literals;
using figlift::test::FakeTable;
using Json = nlohmann::json;

namespace {

class SingleTargetStatus : public StatusProvider {
public:
  std::string entryId() const override { return "entry-1"; }
  std::vector<TargetStatus> targets() const override {
    TargetStatus Target;
    Target.Id = "t1";
    Target.State = "serving";
    return {Target};
  }
  std::vector<EntryStatus> entries() const override { return {}; }
  std::vector<std::string> explain(const std::string &Id) const override {
    return {"event of " + Id};
  }
};

/// Configuration service and operator API of an entry.
struct Node {
  explicit Node(FakeTable &Table, PeerFetcher Peers = unreachablePeers())
      : Service({}, makeTableSource(Table, std::move(Peers)), {}),
        Operator({Table, Status, [this] { return Service.current(); },
                  [] { return std::string(); },
                  [this](const ChangeOutcome &Outcome) {
                    Service.onCommitted(Outcome);
                  }}) {}

  static PeerFetcher unreachablePeers() {
    return [](uint64_t, bool, platform::Callback<Delta> Done) {
      Done(failure(ResultCode::PeerUnreachable, "no peer"));
    };
  }

  http::Response call(const std::string &Method, const std::string &Path,
                      const std::string &Body = "",
                      std::map<std::string, std::string> Query = {}) {
    http::Request Request;
    Request.Method = Method;
    Request.Path = "/operator/v1/" + Path;
    Request.Body = Body;
    Request.Query = std::move(Query);
    std::promise<http::Response> Promise;
    Operator.handle(Request, [&Promise](http::Response Response) {
      Promise.set_value(std::move(Response));
    });
    return Promise.get_future().get();
  }

  bool reaches(uint64_t Revision) {
    std::promise<bool> Reached;
    Service.whenReached(
        Revision, 3s, [&Reached](bool InForce) { Reached.set_value(InForce); });
    return Reached.get_future().get();
  }

  SingleTargetStatus Status;
  ConfigService Service;
  OperatorService Operator;
};

const std::string Operation = "01890a5d-ac96-774b-bcce-b302099a8057";

std::string submissionBody(const std::string &Text) {
  return Json{{"operationId", Operation}, {"records", {Text}}}.dump();
}

const char Workspace[] = R"(// rush hour
{"schemaVersion":1,"kind":"workspace","name":"w","spec":{"share":2}})";

} // namespace

TEST_GROUP(ConfigService){};

// Guards against an acknowledged change that is not in force anywhere during an
// outage: the store goes down right after the commit, and the entry must not
// need to read its own change back.
TEST(ConfigService, AppliesItsOwnChangeAlthoughTheStoreGoesDown) {
  FakeTable Table;
  Node First(Table);
  Table.CommitFaults = {test::Fault::DownAfterwards};
  CHECK_EQUAL(200,
              First.call("POST", "records", submissionBody(Workspace)).Status);
  CHECK_TRUE(First.reaches(1));
}

TEST(ConfigService, AppliesAnAcceptedChangeAtEveryEntry) {
  FakeTable Table;
  Node First(Table), Second(Table);
  auto Response = First.call("POST", "records", submissionBody(Workspace));
  CHECK_EQUAL(200, Response.Status);
  CHECK_EQUAL(1, Json::parse(Response.Body)["revision"].get<int>());
  CHECK_TRUE(First.reaches(1));
  // A message with the new revision makes the second entry fetch the change.
  CHECK_TRUE(Second.reaches(1));
  double Share = Second.Service.snapshots().read(
      [](const Snapshot *Current) { return Current->workspace("w")->Share; });
  DOUBLES_EQUAL(2.0, Share, 0);
  // After a lost response, the operation can be retried at another entry.
  Response = Second.call("POST", "records", submissionBody(Workspace));
  CHECK_EQUAL(1, Json::parse(Response.Body)["revision"].get<int>());
}

TEST(ConfigService, StartsANewProcessFromAPeerDuringAnOutage) {
  FakeTable Table;
  Node Old(Table);
  Old.call("POST", "records", submissionBody(Workspace));
  CHECK_TRUE(Old.reaches(1));
  Table.setDown(true);
  Node New(Table, [&](uint64_t After, bool, platform::Callback<Delta> Done) {
    Done(Old.Service.current()->diffSince(After));
  });
  CHECK_TRUE(New.reaches(1));
  CHECK_TRUE(test::waitUntil(3000ms, [&] { return New.Service.serving(); }));
}

TEST(ConfigService, DoesNotServeWithoutAnyConfiguration) {
  FakeTable Table;
  Table.setDown(true);
  Node Alone(Table);
  std::promise<bool> Reached;
  Alone.Service.whenReached(
      1, 200ms, [&Reached](bool InForce) { Reached.set_value(InForce); });
  CHECK_FALSE(Reached.get_future().get());
  CHECK_FALSE(Alone.Service.serving());
  CHECK_EQUAL(503, Alone.call("GET", "records").Status);
}

TEST(ConfigService, HandlesOperatorRequests) {
  FakeTable Table;
  Node Entry(Table);
  CHECK_EQUAL(200, Entry.call("POST", "targets/t1/drain").Status);
  CHECK_TRUE(Entry.reaches(1));
  CHECK_TRUE(Entry.Service.current()->targetIntent("t1") ==
             record::TargetIntent::Drain);
  auto Status = Json::parse(Entry.call("GET", "status").Body);
  CHECK_EQUAL(1, Status["revision"].get<int>());
  STRCMP_EQUAL("t1", Status["targets"][0]["id"].get<std::string>().c_str());
  auto Record = Json::parse(Entry.call("GET", "records/target/t1").Body);
  CHECK_EQUAL(1, Record["version"].get<int>());
  auto Explanation = Json::parse(Entry.call("GET", "explain/t1").Body);
  CHECK_EQUAL(1u, Explanation["events"].size());
  CHECK_EQUAL(
      200, Entry.call("DELETE", "records/target/t1", "", {{"ifVersion", "1"}})
               .Status);
  CHECK_TRUE(Entry.reaches(2));
  CHECK_EQUAL(404, Entry.call("GET", "records/target/t1").Status);
}

TEST(ConfigService, RejectsInvalidOperatorRequestsAndNamesTheField) {
  FakeTable Table;
  Node Entry(Table);
  struct Case {
    const char *Method, *Path;
    std::string Body;
    int Code;
    const char *Field;
  };
  const std::string Bad =
      R"({"schemaVersion":1,"kind":"workspace","name":"w","spec":{"shar":2}})";
  std::string Twice = std::string("[") + Workspace + "," + Workspace + "]";
  const Case Cases[] = {
      {"POST", "records", submissionBody(Bad), 401, "spec.shar"},
      {"POST", "records", submissionBody(Twice), 401, "name"},
      {"POST", "records", "[]", 101, ""},
      {"POST", "records", R"({"records":"x"})", 101, "records"},
      {"POST", "records", R"({"records":[],"operationId":"7"})", 101,
       "operationId"},
      {"POST", "targets/unknown/drain", "", 403, "target"},
      {"POST", "targets/t1/restart", "", 101, ""},
      {"DELETE", "records/workspace/none", "", 403, "workspace/none"},
      {"PUT", "records", "", 101, ""},
  };
  for (const auto &[Method, Path, Body, Code, Field] : Cases) {
    auto Response = Json::parse(Entry.call(Method, Path, Body).Body);
    CHECK_EQUAL_TEXT(Code, Response["code"].get<int>(), Path);
    STRCMP_EQUAL_TEXT(Field, Response.value("field", "").c_str(), Path);
  }
  CHECK_EQUAL(0u, Table.CommitCount);
}
