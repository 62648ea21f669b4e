//===- TestPlannedChanges.cpp - Requests survive planned changes ----------===//
//
// Callers send a mixed load of long and short streams, decisions and slot holds
// through two entries while operators change the fleet. No response may be
// interrupted or wrong, no request may be executed twice, and a rejection must
// say "not run".
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
/// Calls that must succeed after each step.
constexpr size_t CallsAfterStep = 16;

/// A fleet of three engines with \p Roles and two services.
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

/// Returns the record of the model back end with \p Roles and \p Models.
std::string modelRecord(const json &Roles, const json &Models) {
  return json{
      {"schemaVersion", 1},
      {"kind", "backEnd"},
      {"name", "lm-desk"},
      {"spec", {{"type", "model"}, {"models", Models}, {"roles", Roles}}}}
      .dump();
}

const json DeskModel = {{{"name", "desk"}, {"version", "1"}}};

struct LoadedFleet : Utest {
  explicit LoadedFleet(const std::vector<std::string> &Roles)
      : m_Fleet(plannedFleet(Roles)) {}

  Fleet m_Fleet;
  std::unique_ptr<MixedCallers> m_Callers;

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
    CallerMix Mix;
    // Keeps the service busy while completions are rejected.
    Mix.HoldingThreads = 1;
    m_Callers = std::make_unique<MixedCallers>(m_Fleet, Mix);
    CHECK_TRUE(m_Callers->waitForSuccesses(1, Limit));
  }
  void teardown() override { m_Callers.reset(); }

  json status(const std::string &Target) {
    json Status = m_Fleet.getJson(m_Fleet.admin(Target), "/status");
    return Status.is_object() ? Status : json::object();
  }
  bool hasState(const std::string &Target, const std::string &State) {
    return waitUntil(
        Limit, [&] { return status(Target).value("state", "") == State; });
  }
  /// Waits until one of \p Targets has a request in flight, so that a change
  /// affects running requests. Routing decides which target gets requests.
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
  void waitForCalls(const char *Step) {
    CHECK_TEXT(m_Callers->waitForSuccesses(CallsAfterStep, Limit), Step);
  }
  void restart(const std::string &Name) {
    m_Fleet.process(Name).terminate();
    std::optional<int> Code = m_Fleet.process(Name).waitForExit(Limit);
    CHECK_TEXT(Code.has_value(), Name.c_str());
    CHECK_EQUAL_TEXT(0, *Code, Name.c_str());
    m_Fleet.restart(Name);
  }
  void checkNoFaults() {
    const CallerTally Tally = m_Callers->stop();
    UT_PRINT(Tally.text().c_str());
    CHECK_EQUAL_TEXT(0, Tally.Faults.size(), Tally.text().c_str());
  }
};

struct MixedRoles : LoadedFleet {
  MixedRoles() : LoadedFleet({"mixed", "mixed", "mixed"}) {}
};
struct SplitRoles : LoadedFleet {
  SplitRoles() : LoadedFleet({"mixed", "prefill", "decode"}) {}
};

} // namespace

TEST_GROUP_BASE(PlannedChanges, MixedRoles){};
TEST_GROUP_BASE(PlannedOrders, SplitRoles){};

// Failure: a stream is interrupted or a hold is executed twice when an operator
// drains a target.
// Sequence: drain under load, then undrain, for each kind of target.
// Cause: requests in flight are dropped, or the drain does not wait for their
// responses.
TEST(PlannedChanges, DrainAndUndrain) {
  for (const std::string Target : {"lm-desk-1", "booking-core-1"}) {
    CHECK_TRUE(isBusy(Target));
    control({"drain", Target});
    CHECK_TRUE(hasState(Target, "drained"));
    waitForCalls("drained");
    control({"undrain", Target});
    CHECK_TRUE(hasState(Target, "serving"));
    waitForCalls("undrained");
  }
  checkNoFaults();
}

// Failure: as above.
// Sequence: a target is retired, its VM is removed from the list and its agent
// is stopped.
// Cause: as above; in addition, its slices need a new home.
TEST(PlannedChanges, Retire) {
  for (const std::string Target : {"lm-desk-1", "booking-core-1"}) {
    CHECK_TRUE(isBusy(Target));
    control({"retire", Target});
    CHECK_TRUE(hasState(Target, "drained"));
    m_Fleet.setVmState(Target, "leaving");
    waitForCalls("leaving");
    m_Fleet.process(Target).terminate();
    CHECK_EQUAL(0, m_Fleet.process(Target).waitForExit(Limit).value_or(-1));
    m_Fleet.setVmState(Target, "gone");
    waitForCalls("gone");
  }
  checkNoFaults();
}

// Failure: a response is interrupted when the record of its back end changes.
// Sequence: the back ends' records are changed, withdrawn and submitted again
// under load.
// Cause: a request in flight does not keep the record under which it was
// accepted.
TEST(PlannedChanges, ChangeWithdrawAndSubmitRecords) {
  apply(modelRecord({{"mixed", 2}}, DeskModel));
  waitForCalls("changed");
  CHECK_TRUE(isAnyBusy({"lm-desk-1", "lm-desk-2", "lm-desk-3"}));
  control({"withdraw", "backEnd", "lm-desk", "--wait"});
  CHECK_TRUE(isAnyBusy({"booking-core-1", "booking-core-2"}));
  control({"withdraw", "backEnd", "booking-core", "--wait"});
  apply(smallFleet().Records);
  waitForCalls("submitted again");
  checkNoFaults();
}

// Failure: streams or holds are interrupted by a restart.
// Sequence: each agent in turn gets SIGTERM while its target is busy, and is
// started again.
// Cause: the agent exits before its last responses have reached the entries.
TEST(PlannedChanges, RestartAgents) {
  for (const std::string Target :
       {"lm-desk-1", "lm-desk-2", "booking-core-1", "booking-core-2"}) {
    CHECK_TRUE(isBusy(Target));
    restart(Target);
    CHECK_TRUE(hasState(Target, "serving"));
    waitForCalls(Target.c_str());
  }
  checkNoFaults();
}

// Failure: streams are interrupted by the restart of an entry.
// Sequence: each entry in turn gets SIGTERM, and callers use the other one.
// Cause: the listener closes before the last bytes of every response have been
// sent.
TEST(PlannedChanges, RestartEntries) {
  for (const std::string &Entry : m_Fleet.entries()) {
    restart(Entry);
    waitForCalls(Entry.c_str());
  }
  checkNoFaults();
}

// Failure: an engine interrupts its sequences when it changes its role.
// Sequence: the record requires only mixed engines, so that the planner orders
// two role changes. Then a second model is rolled out.
// Cause: an order reaches an engine that still executes requests.
TEST(PlannedOrders, ChangeRolesAndModels) {
  const std::vector<std::string> Engines{"lm-desk-1", "lm-desk-2", "lm-desk-3"};
  apply(modelRecord({{"mixed", 3}}, DeskModel));
  const bool Mixed = waitUntil(Limit, [&] {
    return std::ranges::all_of(Engines, [&](const auto &Id) {
      return status(Id).value("role", "") == "mixed";
    });
  });
  waitForCalls("roles");
  json Models = DeskModel;
  Models.push_back({{"name", "note"}, {"version", "1"}});
  apply(modelRecord({{"mixed", 3}}, Models));
  // The planner decides how many engines load the model.
  const bool Loaded = waitUntil(Limit, [&] {
    return std::ranges::any_of(Engines, [&](const auto &Id) {
      const json LoadedModels = status(Id).value("models", json::array());
      return std::ranges::find(LoadedModels, "note@1") != LoadedModels.end();
    });
  });
  waitForCalls("models");
  checkNoFaults();
  CHECK_TRUE(Mixed);
  CHECK_TRUE(Loaded);
}
