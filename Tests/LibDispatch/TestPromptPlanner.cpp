//===- TestPromptPlanner.cpp - Where a prompt is read and run -------------===//
//
// One load pattern a test; figures are those of the planner's options.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PromptPlanner.h"

#include <deque>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(PromptPlanner) {
  LoadTracker Loads;
  PromptPlanner Planner{{}, Loads};
  std::deque<Target> Targets;
  std::vector<const Target *> Engines;
  EngineTraits Traits;
  engine::EngineParameters Parameters;
  PromptRequest Request;
  BootTime Now{std::chrono::seconds(100)};

  void setup() override {
    Traits.Slots = 8;
    Traits.KvCapacityTokens = 1000000;
    Traits.KvBytesPerToken = 18432;
    Traits.LinkMbps = 630000;
    Parameters.PrefillFixed = Milliseconds(1.5);
    Parameters.PrefillPerThousandTokens = Milliseconds(1.7);
    Parameters.PrefillPerMillionPairs = Milliseconds(0.04);
    Parameters.DecodeStartFixed = Milliseconds(4);
    Request.Input = {9000, 1, {{1, 2500}, {2, 3500}, {3, 3000}}};
    Request.GenerationTime = Milliseconds(50);
    Request.LatencyTarget = Milliseconds(120);
    Request.TimeToLatencyTarget = Milliseconds(120);
    Request.TimeLeft = Milliseconds(2000);
    add("read-1", Stage::Prefill);
    add("read-2", Stage::Prefill);
    add("run-1", Stage::Decode);
    add("run-2", Stage::Decode);
  }
  void add(const std::string &Id, Stage EngineStage) {
    Target Entry;
    Entry.Id = Id;
    Entry.Zone = "z";
    Entry.EngineStage = EngineStage;
    Targets.push_back(Entry);
    Engines.push_back(&Targets.back());
    Loads.targetAdded(Entry, Traits.KvCapacityTokens);
  }
  EngineCosts costs() const { return {Parameters, Traits}; }
  PromptPlan plan() { return Planner.plan(Request, Engines, costs(), Now); }
  std::string prefillTarget() {
    const auto Plan = plan();
    const auto *Split = std::get_if<PrefillThenDecode>(&Plan);
    return Split ? Split->PrefillTarget : std::string();
  }
  void load(const std::string &Id, double Cost, int Pieces = 1) {
    for (int Index = 0; Index < Pieces; ++Index)
      Loads.recordSent(Id, {Milliseconds(Cost), Milliseconds(Cost),
                            Milliseconds(Cost), Now});
  }
  void cache(const std::string &Id) {
    Loads.cache(Id).insert(Request.Input.Parts[0]);
    Loads.cache(Id).insert(Request.Input.Parts[1]);
  }
};

// Load: calm. Grounds: reading at a decode engine takes three times as long
// and delays its streams.
TEST(PromptPlanner, ReadsLargePromptsAtPrefillEngines) {
  CHECK(!prefillTarget().empty());
}

TEST(PromptPlanner, RunsSmallPromptsAtADecodeEngineAlone) {
  Request.Input = {200, 1, {{9, 200}}};
  CHECK(std::holds_alternative<DecodePlan>(plan()));
}

// Load: many processes see a new subject at the same time. Grounds: they must
// have it read at one engine, or every engine computes it.
TEST(PromptPlanner, HasANewSubjectReadAtOneHome) {
  const std::string Home = prefillTarget();
  LoadTracker PeerLoads;
  for (const Target &Entry : Targets)
    PeerLoads.targetAdded(Entry, Traits.KvCapacityTokens);
  PromptPlanner Peer{{}, PeerLoads};
  const auto Plan = Peer.plan(Request, Engines, costs(), Now);
  STRCMP_EQUAL(Home.c_str(),
               std::get<PrefillThenDecode>(Plan).PrefillTarget.c_str());
}

// Load: one prefill engine has a queue of 60 ms, the other none. Grounds: the
// shared parts cost 10 ms to compute, and the margin in which the home decides
// is 30 ms.
TEST(PromptPlanner, LeavesABusyHome) {
  const std::string Home = prefillTarget();
  cache(Home);
  load(Home, 60);
  CHECK(prefillTarget() != Home);
}

// Load: the home of a subject is busy and another engine has to read it.
// Grounds: a transfer of 6,000 tokens takes 2 ms, computing them 10 ms.
TEST(PromptPlanner, FetchesSharedPartsFromAnEngineThatKeepsThem) {
  const std::string Home = prefillTarget();
  cache(Home);
  load(Home, 60);
  const auto Plan = plan();
  STRCMP_EQUAL(Home.c_str(),
               std::get<PrefillThenDecode>(Plan).FetchFrom.c_str());
}

TEST(PromptPlanner, DoesNotFetchWhatTheEngineKeeps) {
  cache("read-1");
  cache("read-2");
  cache("run-1");
  const auto Plan = plan();
  CHECK(std::get<PrefillThenDecode>(Plan).FetchFrom.empty());
}

// Load: thirty processes see the same engine free at the same moment. Grounds:
// their views are some tens of milliseconds old, so a difference of 20 ms moves
// nobody from a subject's home.
TEST(PromptPlanner, StaysAtTheHomeForSmallDifferences) {
  const std::string Home = prefillTarget();
  cache(Home);
  load(Home, 20);
  STRCMP_EQUAL(Home.c_str(), prefillTarget().c_str());
}

// Load: a burst; both prefill engines have 150 ms of work. Grounds: the first
// token would come after the target of 120 ms, and reading the prompt would
// make the next ones late, too.
TEST(PromptPlanner, RefusesAtOnceWhatWouldBeLate) {
  load("read-1", 150);
  load("read-2", 150);
  const auto Plan = plan();
  CHECK(std::holds_alternative<Rejection>(Plan));
  CHECK(std::get<Rejection>(Plan).RetryAfter >= milliseconds(600));
}

// Load: the largest tenth of prompts is late by its size alone. Grounds: a
// door that goes by the first token would starve them; they may wait as long
// as a small one.
TEST(PromptPlanner, AdmitsLargePromptsThatAreLateByTheirSizeAlone) {
  Request.Input.Tokens = 90000;
  Request.Input.Parts[2].Tokens = 84000;
  CHECK(std::holds_alternative<PrefillThenDecode>(plan()));
}

// Load: long answers hold all slots of one decode engine. Grounds: a slot there
// changes hands once in 400 ms.
TEST(PromptPlanner, RunsWhereSlotsAreFree) {
  load("run-1", 3000, 8);
  const auto Runner =
      Planner.chooseDecodeTarget(Request, &Targets[0], Engines, costs(), Now);
  STRCMP_EQUAL("run-2", Runner->DecodeTarget.c_str());
}

// Symptom: in a burst engines reject half of the runs, one engine in this
// moment, another in the next. Sequence: a hundred processes look for the
// engine with the least work, with views as old as their reports. Cause: all
// of them find the same one.
TEST(PromptPlanner, SpreadsTheRunsOfUnlikeSubjects) {
  std::map<std::string, int> Runs;
  for (uint64_t Subject = 0; Subject < 100; ++Subject) {
    Request.Input.Parts[1].Id = 1000 + Subject;
    ++Runs[Planner
               .chooseDecodeTarget(Request, &Targets[0], Engines, costs(), Now)
               ->DecodeTarget];
  }
  LONGS_EQUAL(2, Runs.size());
  for (const auto &[Id, Count] : Runs)
    CHECK(Count >= 35);
}

// Grounds: a transfer between availability zones takes twice as long, on the
// links of both engines.
TEST(PromptPlanner, RunsInTheZoneOfTheReader) {
  Targets[0].Zone = Targets[3].Zone = "y";
  for (uint64_t Subject = 0; Subject < 20; ++Subject) {
    Request.Input.Parts[1].Id = 1000 + Subject;
    STRCMP_EQUAL(
        "run-2",
        Planner.chooseDecodeTarget(Request, &Targets[0], Engines, costs(), Now)
            ->DecodeTarget.c_str());
  }
}

// Load: answers begin 100 ms later than planned, whatever the plan. Grounds:
// 16 ms of reading and starting are planned, of 108 ms that the target leaves.
TEST(PromptPlanner, RefusesWhatWouldBeLateByTheLatenessOfOthers) {
  CHECK(!std::holds_alternative<Rejection>(plan()));
  Request.ExpectedStartLag = Milliseconds(100);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// Load: a burst of reads at engines that are fast, in front of few slots.
// Grounds: each prompt that is being read needs a slot right after; a door
// that does not count them admits far more than can run.
TEST(PromptPlanner, CountsPromptsThatAreBeingReadAsRunsToCome) {
  load("read-1", 1, 30);
  load("read-2", 1, 30);
  load("run-1", 100, 8);
  load("run-2", 100, 8);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// Symptom: one request after the other fails at a server that answers its
// health checks. Cause: only the load decided where requests go.
TEST(PromptPlanner, AvoidsAnEngineThatFailsRequests) {
  const std::string Home = prefillTarget();
  for (int Index = 0; Index < 6; ++Index)
    Loads.recordFailure(
        Home,
        Loads.recordSent(
            Home, {Milliseconds(1), Milliseconds(1), Milliseconds(0), Now}),
        Now);
  CHECK(prefillTarget() != Home);
}

TEST(PromptPlanner, RefusesWhereNothingRuns) {
  Engines.resize(2);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// Symptom: every prompt is refused for two seconds. Sequence: all engines fail
// more than a quarter of their work. Cause: engines that fail were left out
// also where there was no other.
TEST(PromptPlanner, GoesToAnEngineThatFailsWhenAllDo) {
  for (const Target &Entry : Targets)
    for (int Index = 0; Index < 6; ++Index)
      Loads.recordFailure(
          Entry.Id,
          Loads.recordSent(Entry.Id, {Milliseconds(1), Milliseconds(1),
                                      Milliseconds(0), Now}),
          Now);
  CHECK(!std::holds_alternative<Rejection>(plan()));
  CHECK(Planner.chooseDecodeTarget(Request, &Targets[0], Engines, costs(), Now)
            .has_value());
}

// Load: prompts of 17,000 tokens at engines that read 37 tokens a millisecond,
// eighteen times as slowly as those above. Grounds: the same engine is known
// by its figures alone; a door or a queue in constants of other engines admits
// eighteen times what can be read.
TEST(PromptPlanner, PlansSlowEnginesByTheirOwnFigures) {
  Parameters.PrefillPerThousandTokens = Milliseconds(27.2);
  Request.Input = {17000, 1, {{1, 13300}, {3, 3700}}};
  Request.LatencyTarget = Request.TimeToLatencyTarget = Milliseconds(800);
  Request.TimeLeft = Milliseconds(6000);
  const auto Plan = plan();
  const auto &Read = std::get<PrefillThenDecode>(Plan);
  DOUBLES_EQUAL(468, Read.Cost.count(), 10);
  load("read-1", 400);
  load("read-2", 400);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// Load: short prompts beside streams that may pause for 300 ms. Grounds: what
// one read takes from the streams is time, at whatever speed an engine reads;
// 600 tokens are 3 ms at one engine and 50 ms at another.
TEST(PromptPlanner, BoundsReadingBesideStreamsByTheirPauses) {
  Request.Input = {600, 1, {{9, 600}}};
  Request.EventGap = Milliseconds(300);
  load("read-1", 20);
  load("read-2", 20);
  CHECK(std::holds_alternative<DecodePlan>(plan()));
  Parameters.PrefillPerThousandTokens = Milliseconds(27.2);
  CHECK(std::holds_alternative<PrefillThenDecode>(plan()));
}

// Load: no prefill engine takes work; prompts are read at decode engines.
// Grounds: prompts are read one after the other; slots do not show that.
TEST(PromptPlanner, CountsPromptsThatWaitAtADecodeEngine) {
  Engines.erase(Engines.begin(), Engines.begin() + 2);
  load("run-1", 80);
  STRCMP_EQUAL("run-2", std::get<DecodePlan>(plan()).DecodeTarget.c_str());
  load("run-2", 100);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// Load: a rush for a subject that no engine keeps yet. Grounds: the second
// request finds what the first one leaves; counted as a whole read it would be
// refused, or read from the start at another engine.
TEST(PromptPlanner, SendsASubjectWhereItIsBeingRead) {
  const std::string Home = prefillTarget();
  load(Home, 40);
  CHECK(prefillTarget() != Home);
  Parameters.PrefillPerThousandTokens = Milliseconds(10);
  for (size_t Index = 0; Index < 2; ++Index)
    Loads.cache(Home).addPending(Request.Input.Parts[Index],
                                 Now + milliseconds(500));
  STRCMP_EQUAL(Home.c_str(), prefillTarget().c_str());
}
