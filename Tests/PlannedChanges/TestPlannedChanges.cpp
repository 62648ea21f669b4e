//===- TestPlannedChanges.cpp - No request is cut by a planned change -----===//
//
// Callers keep a mixed load of long and short streams, decisions and slot
// holds running through two entries while operators change the fleet. Nothing
// may be broken, wrong or run twice; a refusal must say "not run".
//
//===----------------------------------------------------------------------===//

#include "Support/MixedCallers.h"
#include "Support/WaitUntil.h"

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr seconds Limit{30};
/// Calls that must end well after each step.
constexpr size_t CallsBetween = 16;

/// Three engines in these roles and two services.
FleetOptions plannedFleet(const std::vector<std::string> &Roles) {
  FleetOptions Options = smallFleet();
  TargetOptions Third = Options.Targets[1];
  Third.Id = "lm-desk-3";
  TargetOptions Service = Options.Targets[2];
  Service.Id = "booking-core-2";
  Options.Targets.push_back(Third);
  for (size_t Index = 0; Index < Roles.size(); ++Index)
    Options.Targets[Index == 2 ? 3 : Index].Role = Roles[Index];
  Options.Targets.push_back(Service);
  for (TargetOptions &Target : Options.Targets)
    Target.StandInFlags =
        Target.IsEngine
            ? std::vector<std::string>{"--decode-step",         "5ms",
                                       "--decode-per-sequence", "0ms",
                                       "--order-duration",      "1s"}
            : std::vector<std::string>{"--service-time", "300ms"};
  return Options;
}

/// The model back end with these roles and models.
std::string modelRecord(const json &Roles, const json &Models) {
  return json{
      {"schemaVersion", 1},
      {"kind", "backEnd"},
      {"name", "lm-desk"},
      {"spec", {{"type", "model"}, {"models", Models}, {"roles", Roles}}}}
      .dump();
}

const json DeskModel = {{{"name", "desk"}, {"version", "1"}}};

struct UnderLoad : Utest {
  explicit UnderLoad(const std::vector<std::string> &Roles)
      : m_Fleet(plannedFleet(Roles)) {}

  Fleet m_Fleet;
  std::unique_ptr<MixedCallers> m_Callers;

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
    CallerMix Mix;
    // While completions are refused the plain service still has work.
    Mix.HoldingThreads = 1;
    m_Callers = std::make_unique<MixedCallers>(m_Fleet, Mix);
    CHECK_TRUE(m_Callers->waitForSuccesses(1, Limit));
  }
  void teardown() override { m_Callers.reset(); }

  json status(const std::string &Target) {
    json Read = m_Fleet.getJson(m_Fleet.admin(Target), "/status");
    return Read.is_object() ? Read : json::object();
  }
  bool hasState(const std::string &Target, const std::string &State) {
    return waitUntil(
        Limit, [&] { return status(Target).value("state", "") == State; });
  }
  /// So that a change meets work at one of the targets; which of them gets
  /// work is up to the routing.
  bool isAnyBusy(const std::vector<std::string> &Targets) {
    return waitUntil(Limit, [&] {
      return std::ranges::any_of(Targets, [&](const std::string &Target) {
        return status(Target).value("requestsInFlight", 0u) >= 1;
      });
    });
  }
  bool isBusy(const std::string &Target) { return isAnyBusy({Target}); }
  void control(std::vector<std::string> Arguments) {
    auto [Code, Output] = m_Fleet.control(std::move(Arguments));
    CHECK_EQUAL_TEXT(0, Code, Output.c_str());
  }
  void apply(const std::string &Text) {
    control({"apply", "-f", m_Fleet.writeFile("change.json", Text), "--wait"});
  }
  void goOn(const char *Step) {
    CHECK_TEXT(m_Callers->waitForSuccesses(CallsBetween, Limit), Step);
  }
  void restart(const std::string &Name) {
    m_Fleet.process(Name).terminate();
    std::optional<int> Code = m_Fleet.process(Name).waitForExit(Limit);
    CHECK_TEXT(Code.has_value(), Name.c_str());
    CHECK_EQUAL_TEXT(0, *Code, Name.c_str());
    m_Fleet.restart(Name);
  }
  void noneWasCut() {
    const CallerTally Tally = m_Callers->stop();
    UT_PRINT(Tally.text().c_str());
    CHECK_EQUAL_TEXT(0, Tally.Faults.size(), Tally.text().c_str());
  }
};

struct MixedRoles : UnderLoad {
  MixedRoles() : UnderLoad({"mixed", "mixed", "mixed"}) {}
};
struct SplitRoles : UnderLoad {
  SplitRoles() : UnderLoad({"mixed", "prefill", "decode"}) {}
};

} // namespace

TEST_GROUP_BASE(PlannedChanges, MixedRoles){};
TEST_GROUP_BASE(PlannedOrders, SplitRoles){};

// Symptom: a stream breaks off, or a hold runs twice, when an operator drains
// a target. Sequence: drain under load, undrain, for each kind of target.
// Cause: work that was under way is dropped, or its answer is not waited for.
TEST(PlannedChanges, DrainAndUndrain) {
  for (const std::string Target : {"lm-desk-1", "booking-core-1"}) {
    CHECK_TRUE(isBusy(Target));
    control({"drain", Target});
    CHECK_TRUE(hasState(Target, "drained"));
    goOn("drained");
    control({"undrain", Target});
    CHECK_TRUE(hasState(Target, "serving"));
    goOn("undrained");
  }
  noneWasCut();
}

// Symptom: as above. Sequence: a target is retired, its VM leaves the list and
// its agent is stopped. Cause: as above; besides, its slices need a new home.
TEST(PlannedChanges, Retire) {
  for (const std::string Target : {"lm-desk-1", "booking-core-1"}) {
    CHECK_TRUE(isBusy(Target));
    control({"retire", Target});
    CHECK_TRUE(hasState(Target, "drained"));
    m_Fleet.setVmState(Target, "leaving");
    goOn("leaving");
    m_Fleet.process(Target).terminate();
    CHECK_EQUAL(0, m_Fleet.process(Target).waitForExit(Limit).value_or(-1));
    m_Fleet.setVmState(Target, "gone");
    goOn("gone");
  }
  noneWasCut();
}

// Symptom: a running answer breaks off when its record changes. Sequence: the
// back ends' records are changed, withdrawn and submitted again under load.
// Cause: what runs was accepted under the old record and keeps it.
TEST(PlannedChanges, ChangeWithdrawAndSubmitRecords) {
  apply(modelRecord({{"mixed", 2}}, DeskModel));
  goOn("changed");
  CHECK_TRUE(isAnyBusy({"lm-desk-1", "lm-desk-2", "lm-desk-3"}));
  control({"withdraw", "backEnd", "lm-desk", "--wait"});
  CHECK_TRUE(isAnyBusy({"booking-core-1", "booking-core-2"}));
  control({"withdraw", "backEnd", "booking-core", "--wait"});
  apply(smallFleet().Records);
  goOn("submitted again");
  noneWasCut();
}

// Symptom: streams or holds cut by a restart. Sequence: SIGTERM to each agent
// in turn while its target works, then a new start. Cause: the agent ends
// before its last answers have reached the entries.
TEST(PlannedChanges, RestartAgents) {
  for (const std::string Target :
       {"lm-desk-1", "lm-desk-2", "booking-core-1", "booking-core-2"}) {
    CHECK_TRUE(isBusy(Target));
    restart(Target);
    CHECK_TRUE(hasState(Target, "serving"));
    goOn(Target.c_str());
  }
  noneWasCut();
}

// Symptom: streams cut by the restart of an entry. Sequence: SIGTERM to each
// entry in turn; callers go to the other one. Cause: the listener closes
// before the last bytes of every answer have been sent.
TEST(PlannedChanges, RestartEntries) {
  for (const std::string &Entry : m_Fleet.entries()) {
    restart(Entry);
    goOn(Entry.c_str());
  }
  noneWasCut();
}

// Symptom: an engine that changes its role cuts its sequences. Sequence: the
// record asks for mixed engines only, so the planner orders two role changes;
// then a second model is rolled out. Cause: an order reaches an engine that
// still runs work.
TEST(PlannedOrders, ChangeRolesAndModels) {
  const std::vector<std::string> Engines{"lm-desk-1", "lm-desk-2", "lm-desk-3"};
  apply(modelRecord({{"mixed", 3}}, DeskModel));
  const bool Mixed = waitUntil(Limit, [&] {
    return std::ranges::all_of(Engines, [&](const auto &Id) {
      return status(Id).value("role", "") == "mixed";
    });
  });
  goOn("roles");
  json Models = DeskModel;
  Models.push_back({{"name", "note"}, {"version", "1"}});
  apply(modelRecord({{"mixed", 3}}, Models));
  // How many engines get it is the planner's choice.
  const bool Loaded = waitUntil(Limit, [&] {
    return std::ranges::any_of(Engines, [&](const auto &Id) {
      const json Known = status(Id).value("models", json::array());
      return std::ranges::find(Known, "note@1") != Known.end();
    });
  });
  goOn("models");
  noneWasCut();
  CHECK_TRUE(Mixed);
  CHECK_TRUE(Loaded);
}
