//===- TestSingleFaults.cpp - One fault under load, and recovery ----------===//
//
// Each fault is brought under a light load and taken away again. Meanwhile no
// promise may break; afterwards goodput returns by itself, the system is back
// to full service, and nothing of the fault is left over: a system that stays
// wedged has failed as well. Group PairsOfFaults brings the same fault again
// while the system recovers from the first.
//
//===----------------------------------------------------------------------===//

#include "FaultMatrix/Load.h"
#include "Support/FullService.h"
#include "Support/WaitUntil.h"

#include <functional>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds Limit{40};
/// Longer than the lease, the heartbeat timeout and the settle time.
constexpr milliseconds LongFault{4500};
constexpr milliseconds ShortFault{1500};
constexpr size_t SomeCalls = 12;

/// The fleet serves all tests of this file: each of them ends with the proof
/// that it is back to full service. It is replaced after a test that failed.
std::unique_ptr<Fleet> &sharedFleet() {
  static std::unique_ptr<Fleet> Shared;
  return Shared;
}

std::unique_ptr<Fleet> newFleet() {
  FleetOptions Options = smallFleet();
  for (TargetOptions &Target : Options.Targets)
    if (Target.IsEngine)
      Target.StandInFlags = {"--decode-step", "5ms"};
  Options.AgentSettings = {{"limits", {{"heldAnswerTime", "2s"}}}};
  return std::make_unique<Fleet>(std::move(Options));
}

struct Disturbance {
  std::function<void(Fleet &)> Begin;
  std::function<void(Fleet &)> End;
  milliseconds Lasts = ShortFault;
};

/// Lets the fault last; ends early when the load can prove nothing more.
void letItLast(const Load &Callers, milliseconds Lasts) {
  constexpr size_t Plenty = 100000;
  waitUntil(Lasts, [&] { return Callers.total() > Plenty; });
}

void survive(const Disturbance &What, unsigned Times = 1) {
  auto &Shared = sharedFleet();
  if (!Shared)
    Shared = newFleet();
  CHECK_TEXT(Shared->ready(), Shared->problem().c_str());
  // Taken out, so that a check that fails below leaves no damaged fleet.
  std::unique_ptr<Fleet> Mine = std::move(Shared);
  {
    Load Callers(*Mine, 2);
    CHECK_TRUE(waitUntil(Limit, [&] { return Callers.whole() >= SomeCalls; }));
    for (unsigned Round = 0; Round < Times; ++Round) {
      What.Begin(*Mine);
      letItLast(Callers, What.Lasts);
      What.End(*Mine);
    }
    const size_t Before = Callers.whole();
    CHECK_TEXT(
        waitUntil(Limit, [&] { return Callers.whole() >= Before + SomeCalls; }),
        "goodput does not return");
    Callers.stop();
    const std::string Violation = Callers.violation();
    CHECK_TEXT(Violation.empty(), Violation.c_str());
  }
  const std::string Problem = fullServiceProblem(*Mine, Limit);
  CHECK_TEXT(Problem.empty(), Problem.c_str());
  Shared = std::move(Mine);
}

Disturbance storeFault(const std::string &Mode, milliseconds Delay,
                       milliseconds Lasts) {
  return {[=](Fleet &Of) { Of.platformFault(Mode, Delay); },
          [](Fleet &Of) { Of.platformFault("none"); }, Lasts};
}

Disturbance linkFault(const std::vector<std::string> &Links,
                      const std::string &Mode, milliseconds Lasts,
                      milliseconds Delay = {}) {
  return {[=](Fleet &Of) {
            for (const std::string &Each : Links)
              Of.link(Each, Mode, Delay);
          },
          [=](Fleet &Of) {
            for (const std::string &Each : Links)
              Of.link(Each, "pass");
          },
          Lasts};
}

const std::vector<std::string> &agentLinks() {
  static const std::vector<std::string> Links{"agent:lm-desk-1",
                                              "agent:booking-core-1"};
  return Links;
}

Disturbance pauseOf(const std::function<std::string(Fleet &)> &Who) {
  auto Paused = std::make_shared<std::string>();
  return {[=](Fleet &Of) { Of.process(*Paused = Who(Of)).pause(); },
          [=](Fleet &Of) { Of.process(*Paused).resume(); }, LongFault};
}

Disturbance killOf(const std::function<std::string(Fleet &)> &Who,
                   milliseconds Lasts = ShortFault) {
  auto Killed = std::make_shared<std::string>();
  return {[=](Fleet &Of) {
            Of.process(*Killed = Who(Of)).kill();
            Of.process(*Killed).waitForExit(Limit);
          },
          [=](Fleet &Of) { Of.restart(*Killed); }, Lasts};
}

std::function<std::string(Fleet &)> named(const std::string &Name) {
  return [=](Fleet &) { return Name; };
}

/// The entry whose planner holds the lease on the model engines.
std::string planner(Fleet &Of) {
  const std::string Rows =
      call(Of.platform(), "GET", "/control/rows?prefix=lease/lm-desk").Body;
  const auto &Entries = Of.options().Entries;
  for (const std::string &Id : Entries)
    if (Rows.find(Id) != std::string::npos)
      return Id;
  return Entries.front();
}

Disturbance crashOf(const std::string &Target) {
  return {[=](Fleet &Of) {
            call(Of.target(Target), "POST", "/control/crash",
                 R"({"restart_after": "1s"})");
          },
          [](Fleet &) {}, ShortFault};
}

/// Cuts the planner off from the table only; peers still reach it.
Disturbance plannerLinkFault(const std::string &Mode) {
  auto Link = std::make_shared<std::string>();
  return {[=](Fleet &Of) {
            *Link = "platform:" + planner(Of);
            Of.link(*Link, Mode);
          },
          [=](Fleet &Of) { Of.link(*Link, "pass"); }, LongFault};
}

} // namespace

TEST_GROUP(SingleFaults){};

TEST(SingleFaults, StoreDown) {
  // Symptom: calls fail or the system stays refusing after the outage.
  // Sequence: store out for longer than a lease, then back. Cause: the path of
  // a request, or a planner, depends on the store.
  survive(storeFault("down", {}, LongFault));
}

TEST(SingleFaults, StoreSlowDuringRenewals) {
  // Symptom: planners flap, or nobody plans afterwards. Sequence: each call to
  // the store takes a large part of its timeout while leases are renewed.
  // Cause: a renewal counted from its answer, or polls that pile up.
  survive(storeFault("slow", milliseconds(350), LongFault));
}

TEST(SingleFaults, StoreBeyondItsTimeout) {
  // Symptom, cause: as above. Sequence: answers come after the timeout.
  survive(storeFault("slow", milliseconds(900), LongFault));
}

TEST(SingleFaults, StoreAnswersLost) {
  // Symptom: a lease or a slice that nobody holds any more. Sequence: writes
  // take effect, their answers are lost. Cause: the writer takes its own write
  // for another's.
  survive(storeFault("effect-without-answer", {}, LongFault));
}

TEST(SingleFaults, EntryCutFromTheStore) {
  survive(linkFault({"platform:entry-2"}, "cut", LongFault));
}

TEST(SingleFaults, PlannerCutFromTheStore) {
  // Symptom: two planners, or none. Sequence: the holder cannot renew, another
  // takes over, the link returns. Cause: authority without a renewal.
  survive(plannerLinkFault("cut"));
}

TEST(SingleFaults, PlannerHearsNothingOfTheStore) {
  // As above; the holder's writes arrive, their answers do not.
  survive(plannerLinkFault("drop-down"));
}

TEST(SingleFaults, AgentCutBothWays) {
  // Symptom: a torn answer, a second run of a keyed call, a target that never
  // comes back. Sequence: the links to an engine's and a service's agent are
  // cut in mid-stream and return. Cause: state of the broken streams is kept.
  survive(linkFault(agentLinks(), "cut", ShortFault));
}

TEST(SingleFaults, AgentUnheard) {
  // As above; requests arrive, nothing comes back.
  survive(linkFault(agentLinks(), "drop-down", LongFault));
}

TEST(SingleFaults, AgentHearsNothing) {
  // As above; nothing arrives.
  survive(linkFault(agentLinks(), "drop-up", LongFault));
}

TEST(SingleFaults, AgentLinkFrozen) {
  // As above; bytes are held back and all arrive at the end.
  survive(linkFault(agentLinks(), "freeze", LongFault));
}

TEST(SingleFaults, AgentLinkSlow) {
  survive(linkFault(agentLinks(), "delay", ShortFault, milliseconds(150)));
}

TEST(SingleFaults, EngineUnheardByItsAgent) {
  // Symptom: admissions that never end. Sequence: the engine works, its answers
  // are lost. Cause: the agent waits for a stream that is dead.
  survive(linkFault({"target:lm-desk-1"}, "drop-down", LongFault));
}

TEST(SingleFaults, AgentPaused) { survive(pauseOf(named("lm-desk-1"))); }

TEST(SingleFaults, HomePaused) { survive(pauseOf(named("booking-core-1"))); }

TEST(SingleFaults, PlannerPaused) {
  // Symptom: orders or grants of two planners. Sequence: the holder stands
  // still until its lease has lapsed and another has it, then wakes. Cause: a
  // clock that does not count the pause.
  survive(pauseOf(planner));
}

TEST(SingleFaults, AgentKilled) { survive(killOf(named("lm-desk-1"))); }

TEST(SingleFaults, HomeKilled) {
  // Symptom: a key runs twice, or its slice is refused for good. Sequence: the
  // only home is killed with calls open and restarts in its slot. Cause:
  // claims are in memory only.
  survive(killOf(named("booking-core-1")));
}

TEST(SingleFaults, EntryKilled) { survive(killOf(named("entry-2"))); }

TEST(SingleFaults, PlannerKilled) {
  // Symptom: nobody plans. Sequence: the holder dies without a release.
  // Cause: a lease that only its holder can end.
  survive(killOf(planner, LongFault));
}

TEST(SingleFaults, EngineCrashed) { survive(crashOf("lm-desk-1")); }

TEST(SingleFaults, ServiceCrashed) { survive(crashOf("booking-core-1")); }

TEST_GROUP(PairsOfFaults){};

// Symptom of all: the recovery works from where a first fault leaves off and
// not from where it was itself interrupted.

TEST(PairsOfFaults, StoreDownTwice) {
  survive(storeFault("down", {}, LongFault), 2);
}

TEST(PairsOfFaults, AgentKilledWhileItRecovers) {
  survive(killOf(named("lm-desk-1"), milliseconds(300)), 3);
}

TEST(PairsOfFaults, HomeKilledWhileItRecovers) {
  survive(killOf(named("booking-core-1"), milliseconds(300)), 3);
}

TEST(PairsOfFaults, PlannerPausedOneAfterTheOther) {
  survive(pauseOf(planner), 2);
}

TEST(PairsOfFaults, AgentLinkCutOverAndOver) {
  survive(linkFault(agentLinks(), "cut", milliseconds(400)), 4);
}

TEST(PairsOfFaults, StoreLostAndHomeKilledTogether) {
  // Symptom: a slice without a home. Sequence: the home restarts while the
  // store is out and can only claim its slices afterwards. Cause: a restart
  // that gives up after its first try.
  const Disturbance Store = storeFault("down", {}, {});
  const Disturbance Kill = killOf(named("booking-core-1"));
  survive({[=](Fleet &Of) {
             Store.Begin(Of);
             Kill.Begin(Of);
           },
           [=](Fleet &Of) {
             Kill.End(Of);
             Store.End(Of);
           },
           ShortFault});
}
