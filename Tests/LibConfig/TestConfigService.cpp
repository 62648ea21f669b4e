//===- TestConfigService.cpp - The shell and the operator API -------------===//
//
// Two entries' services over one table in memory, and the HTTP paths.
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

class OneTarget : public StatusProvider {
public:
  std::string entryId() const override { return "entry-1"; }
  std::vector<TargetStatus> targets() const override {
    TargetStatus Known;
    Known.Id = "t1";
    Known.State = "serving";
    return {Known};
  }
  std::vector<EntryStatus> entries() const override { return {}; }
  std::vector<std::string> explain(const std::string &Id) const override {
    return {"event of " + Id};
  }
};

/// An entry's configuration with its operator API.
struct Node {
  explicit Node(FakeTable &Table, PeerFetcher Peers = failing())
      : Service({}, makeTableSource(Table, std::move(Peers)), {}),
        Operator(
            {Table, Status, [this] { return Service.current(); },
             [] { return std::string(); },
             [this](const ChangeOutcome &What) { Service.committed(What); }}) {}

  static PeerFetcher failing() {
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
    std::promise<http::Response> Answer;
    Operator.handle(Request, [&Answer](http::Response Given) {
      Answer.set_value(std::move(Given));
    });
    return Answer.get_future().get();
  }

  bool reaches(uint64_t Revision) {
    std::promise<bool> Reached;
    Service.whenReached(Revision, 3s,
                        [&Reached](bool Good) { Reached.set_value(Good); });
    return Reached.get_future().get();
  }

  OneTarget Status;
  ConfigService Service;
  OperatorService Operator;
};

const std::string Operation = "01890a5d-ac96-774b-bcce-b302099a8057";

std::string submission(const std::string &Text) {
  return Json{{"operationId", Operation}, {"records", {Text}}}.dump();
}

const char Workspace[] = R"(// rush hour
{"schemaVersion":1,"kind":"workspace","name":"w","spec":{"share":2}})";

} // namespace

TEST_GROUP(ConfigService){};

// Symptom: an acknowledged change is in force nowhere for as long as the store
// is down.
// Sequence: the change is committed and acknowledged; the store goes down at
// once. Cause: the entry that had committed it read it back from the store.
TEST(ConfigService, PutsItsOwnChangeIntoForceThoughTheStoreGoesDown) {
  FakeTable Table;
  Node First(Table);
  Table.CommitFaults = {test::Fault::DownAfterwards};
  CHECK_EQUAL(200, First.call("POST", "records", submission(Workspace)).Status);
  CHECK_TRUE(First.reaches(1));
}

TEST(ConfigService, PutsAnAcceptedChangeIntoForceAtEveryEntry) {
  FakeTable Table;
  Node First(Table), Second(Table);
  auto Answer = First.call("POST", "records", submission(Workspace));
  CHECK_EQUAL(200, Answer.Status);
  CHECK_EQUAL(1, Json::parse(Answer.Body)["revision"].get<int>());
  CHECK_TRUE(First.reaches(1));
  // The second learns it from a message that carries the revision.
  CHECK_TRUE(Second.reaches(1));
  double Share = Second.Service.snapshots().read(
      [](const Snapshot *Current) { return Current->workspace("w")->Share; });
  DOUBLES_EQUAL(2.0, Share, 0);
  // A lost answer is settled by sending the operation to another entry.
  Answer = Second.call("POST", "records", submission(Workspace));
  CHECK_EQUAL(1, Json::parse(Answer.Body)["revision"].get<int>());
}

TEST(ConfigService, BringsANewProcessUpFromAPeerDuringAnOutage) {
  FakeTable Table;
  Node Old(Table);
  Old.call("POST", "records", submission(Workspace));
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
  Alone.Service.whenReached(1, 200ms,
                            [&Reached](bool Good) { Reached.set_value(Good); });
  CHECK_FALSE(Reached.get_future().get());
  CHECK_FALSE(Alone.Service.serving());
  CHECK_EQUAL(503, Alone.call("GET", "records").Status);
}

TEST(ConfigService, AnswersOperators) {
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
  auto Why = Json::parse(Entry.call("GET", "explain/t1").Body);
  CHECK_EQUAL(1u, Why["events"].size());
  CHECK_EQUAL(
      200, Entry.call("DELETE", "records/target/t1", "", {{"ifVersion", "1"}})
               .Status);
  CHECK_TRUE(Entry.reaches(2));
  CHECK_EQUAL(404, Entry.call("GET", "records/target/t1").Status);
}

TEST(ConfigService, RefusesWhatOperatorsGetWrongAndNamesTheField) {
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
      {"POST", "records", submission(Bad), 401, "spec.shar"},
      {"POST", "records", submission(Twice), 401, "name"},
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
    auto Answer = Json::parse(Entry.call(Method, Path, Body).Body);
    CHECK_EQUAL_TEXT(Code, Answer["code"].get<int>(), Path);
    STRCMP_EQUAL_TEXT(Field, Answer.value("field", "").c_str(), Path);
  }
  CHECK_EQUAL(0u, Table.Commits);
}
