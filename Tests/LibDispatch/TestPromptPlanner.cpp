//===- TestPromptPlanner.cpp - Places prompts on engines ------------------===//
//
// One load pattern per test. The numbers follow from the default options of
// the planner.
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
  StreamPaces Paces;
  PromptPlanner Planner{{}, Loads, Paces};
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
    const auto *SplitPlan = std::get_if<PrefillThenDecode>(&Plan);
    return SplitPlan ? SplitPlan->PrefillTarget : std::string();
  }
  void load(const std::string &Id, double Cost, int Items = 1) {
    for (int Index = 0; Index < Items; ++Index)
      Loads.recordSent(Id, {Milliseconds(Cost), Milliseconds(Cost),
                            Milliseconds(Cost), Now});
  }
  void cache(const std::string &Id) {
    Loads.cache(Id).insert(Request.Input.Parts[0]);
    Loads.cache(Id).insert(Request.Input.Parts[1]);
  }
};

// Prefill on a decode engine takes three times as long and delays its streams.
TEST(PromptPlanner, PrefillsLargePromptsOnPrefillEngines) {
  CHECK(!prefillTarget().empty());
}

TEST(PromptPlanner, RunsSmallPromptsOnASingleDecodeEngine) {
  Request.Input = {200, 1, {{9, 200}}};
  CHECK(std::holds_alternative<DecodePlan>(plan()));
}

// Many processes receive requests of a new subject at the same time. They have
// to choose the same engine, or every engine computes the shared parts.
TEST(PromptPlanner, PrefillsANewSubjectOnItsHome) {
  const std::string Home = prefillTarget();
  LoadTracker PeerLoads;
  for (const Target &Entry : Targets)
    PeerLoads.targetAdded(Entry, Traits.KvCapacityTokens);
  PromptPlanner Peer{{}, PeerLoads, Paces};
  const auto Plan = Peer.plan(Request, Engines, costs(), Now);
  STRCMP_EQUAL(Home.c_str(),
               std::get<PrefillThenDecode>(Plan).PrefillTarget.c_str());
}

// One prefill engine has a queue of 60 ms, the other none. Computing the shared
// parts costs 10 ms, and the margin in which the home decides is 30 ms.
TEST(PromptPlanner, AvoidsABusyHome) {
  const std::string Home = prefillTarget();
  cache(Home);
  load(Home, 60);
  CHECK(prefillTarget() != Home);
}

// The home of a subject is busy, so another engine has to prefill the prompt.
// Transferring 6,000 tokens takes 2 ms, computing them 10 ms.
TEST(PromptPlanner, FetchesSharedPartsFromAnEngineThatCachesThem) {
  const std::string Home = prefillTarget();
  cache(Home);
  load(Home, 60);
  const auto Plan = plan();
  STRCMP_EQUAL(Home.c_str(),
               std::get<PrefillThenDecode>(Plan).FetchFrom.c_str());
}

TEST(PromptPlanner, DoesNotFetchCachedParts) {
  cache("read-1");
  cache("read-2");
  cache("run-1");
  const auto Plan = plan();
  CHECK(std::get<PrefillThenDecode>(Plan).FetchFrom.empty());
}

// Thirty processes see the same idle engine at the same time. Their views are
// some tens of milliseconds old, so a difference of 20 ms must not move a
// subject away from its home.
TEST(PromptPlanner, StaysOnTheHomeForSmallDifferences) {
  const std::string Home = prefillTarget();
  cache(Home);
  load(Home, 20);
  STRCMP_EQUAL(Home.c_str(), prefillTarget().c_str());
}

// In a burst both prefill engines have 150 ms of work. The first token would
// miss the target of 120 ms, and the prefill would delay the next requests.
TEST(PromptPlanner, RejectsRequestsThatWouldBeLate) {
  load("read-1", 150);
  load("read-2", 150);
  const auto Plan = plan();
  CHECK(std::holds_alternative<Rejection>(Plan));
  CHECK(std::get<Rejection>(Plan).RetryAfter >= milliseconds(600));
}

// Guards against: a stream that has begun and needs another engine is cut,
// because its next event would be late.
TEST(PromptPlanner, PlacesABegunStreamThatWouldBeLate) {
  for (const Target &Entry : Targets)
    load(Entry.Id, 150);
  CHECK(std::holds_alternative<Rejection>(plan()));
  Request.HasBegun = true;
  CHECK(!std::holds_alternative<Rejection>(plan()));
  Request.Reserve = Milliseconds(1000);
  CHECK(!std::holds_alternative<Rejection>(plan()));
}

// The largest tenth of the prompts misses the latency target because of its
// size. Admission control by the first token alone would starve these prompts,
// so they may wait as long as a small one.
TEST(PromptPlanner, AdmitsLargePromptsThatAreLateOnlyBecauseOfTheirSize) {
  Request.Input.Tokens = 90000;
  Request.Input.Parts[2].Tokens = 84000;
  CHECK(std::holds_alternative<PrefillThenDecode>(plan()));
}

// Long answers hold all slots of one decode engine, where a slot becomes free
// only every 400 ms.
TEST(PromptPlanner, DecodesWhereSlotsAreFree) {
  load("run-1", 3000, 8);
  const auto Runner =
      Planner.chooseDecodeTarget(Request, &Targets[0], Engines, costs(), Now);
  STRCMP_EQUAL("run-2", Runner->DecodeTarget.c_str());
}

// A hundred processes with views as old as the last reports choose the engine
// with the least work. If all choose the same one, the engines reject half of
// the decode requests in a burst, each engine in turn.
TEST(PromptPlanner, DistributesDecodeOfDifferentSubjects) {
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

// A transfer between availability zones takes twice as long and occupies the
// links of both engines.
TEST(PromptPlanner, DecodesInTheZoneOfThePrefillTarget) {
  Targets[0].Zone = Targets[3].Zone = "y";
  for (uint64_t Subject = 0; Subject < 20; ++Subject) {
    Request.Input.Parts[1].Id = 1000 + Subject;
    STRCMP_EQUAL(
        "run-2",
        Planner.chooseDecodeTarget(Request, &Targets[0], Engines, costs(), Now)
            ->DecodeTarget.c_str());
  }
}

// All answers begin 100 ms later than planned. The plan takes 16 ms for prefill
// and start, and may take 108 ms.
TEST(PromptPlanner, AddsTheStartLagToThePlan) {
  CHECK(!std::holds_alternative<Rejection>(plan()));
  Request.ExpectedStartLag = Milliseconds(100);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// A burst of prefills on fast engines in front of few decode slots. Each prompt
// in prefill needs a slot next. Without counting them, admission control admits
// far more requests than can run.
TEST(PromptPlanner, CountsPromptsInPrefillAsExpectedDecodes) {
  load("read-1", 1, 30);
  load("read-2", 1, 30);
  load("run-1", 100, 8);
  load("run-2", 100, 8);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// Failure: urgent requests are rejected while the engines are full of less
// urgent work, which they admit later; and less urgent ones are admitted behind
// urgent work as if it were not there.
TEST(PromptPlanner, CountsOnlyWorkThatIsAsUrgentOrMore) {
  const auto LoadAll = [&](unsigned Priority) {
    for (const Target &Entry : Targets)
      for (int Index = 0; Index < 30; ++Index)
        Loads.recordSent(Entry.Id, {Milliseconds(100), Milliseconds(100),
                                    Milliseconds(100), Now, Priority});
  };
  LoadAll(6);
  Request.EnginePriority = 1;
  CHECK(!std::holds_alternative<Rejection>(plan()));
  Request.EnginePriority = 6;
  CHECK(std::holds_alternative<Rejection>(plan()));
  Request.EnginePriority.reset();
  CHECK(std::holds_alternative<Rejection>(plan()));
  LoadAll(1);
  Request.EnginePriority = 1;
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// Failure: less urgent requests take the capacity that urgent ones need a
// moment later; or an operator cannot tell that a request was rejected for
// them.
TEST(PromptPlanner, KeepsTheReserveForMoreUrgentRequests) {
  Request.Reserve = Milliseconds(100);
  CHECK(!std::holds_alternative<Rejection>(plan()));
  Request.ExpectedStartLag = Milliseconds(20);
  const auto Plan = plan();
  const auto *Refused = std::get_if<Rejection>(&Plan);
  CHECK(Refused != nullptr);
  CHECK(Refused->Reason == "more urgent requests need the capacity");
  CHECK(Refused->RetryAfter >= milliseconds(600));
  Request.Reserve = Milliseconds(0);
  CHECK(!std::holds_alternative<Rejection>(plan()));
}

// If only the load decides, request after request fails on a server that passes
// its health checks.
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

TEST(PromptPlanner, RejectsWithoutDecodeEngines) {
  Engines.resize(2);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// All engines fail more than a quarter of their work. If failing engines are
// avoided even when there is no other, every prompt is rejected for two
// seconds.
TEST(PromptPlanner, UsesFailingEnginesWhenAllFail) {
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

// Prompts of 17,000 tokens on engines that prefill 37 tokens per millisecond,
// eighteen times slower than those above. Limits that are constants derived
// from other engines would admit eighteen times what the engines can prefill.
TEST(PromptPlanner, PlansSlowEnginesByTheirOwnParameters) {
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

// Short prompts on engines whose streams may pause for 300 ms. A prefill delays
// the streams by its duration, which depends on the engine: 600 tokens take 3
// ms on one engine and 50 ms on another.
TEST(PromptPlanner, LimitsPrefillOnDecodeEnginesByTheEventGap) {
  Request.Input = {600, 1, {{9, 600}}};
  Request.EventGap = Milliseconds(300);
  load("read-1", 20);
  load("read-2", 20);
  CHECK(std::holds_alternative<DecodePlan>(plan()));
  Parameters.PrefillPerThousandTokens = Milliseconds(27.2);
  CHECK(std::holds_alternative<PrefillThenDecode>(plan()));
}

// No prefill engine accepts work, so decode engines prefill. They prefill one
// prompt after the other, which the number of free slots does not show.
TEST(PromptPlanner, CountsQueuedPromptsOfADecodeEngine) {
  Engines.erase(Engines.begin(), Engines.begin() + 2);
  load("run-1", 80);
  STRCMP_EQUAL("run-2", std::get<DecodePlan>(plan()).DecodeTarget.c_str());
  load("run-2", 100);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// A burst of requests of a subject that no engine has cached. The second
// request can use the parts that the first one computes. Planned as a full
// prefill it would be rejected, or computed again on another engine.
TEST(PromptPlanner, CountsPendingPartsAsCached) {
  const std::string Home = prefillTarget();
  load(Home, 40);
  CHECK(prefillTarget() != Home);
  Parameters.PrefillPerThousandTokens = Milliseconds(10);
  for (size_t Index = 0; Index < 2; ++Index)
    Loads.cache(Home).addPending(Request.Input.Parts[Index],
                                 Now + milliseconds(500));
  STRCMP_EQUAL(Home.c_str(), prefillTarget().c_str());
}

// A burst of long prompts: the prefill engines have a queue that no prompt can
// wait for, while decode engines are idle.
TEST(PromptPlanner, PrefillsAtAnIdleDecodeEngineWhatIsLateElsewhere) {
  Request.EventGap = Milliseconds(150);
  cache("run-2");
  load("read-1", 200);
  load("read-2", 200);
  CHECK(std::holds_alternative<Rejection>(plan()));
  Request.MaySpill = true;
  const auto Plan = plan();
  STRCMP_EQUAL("run-2", std::get<DecodePlan>(Plan).DecodeTarget.c_str());
  CHECK(std::get<DecodePlan>(Plan).Spilled);
  load("run-2", 20);
  load("run-1", 20);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

// Streams would pause for a large part of the gap that their callers accept.
TEST(PromptPlanner, PrefillsNoLongPromptBesideStreams) {
  Request.EventGap = Milliseconds(60);
  Request.MaySpill = true;
  cache("run-2");
  load("read-1", 200);
  load("read-2", 200);
  CHECK(std::holds_alternative<Rejection>(plan()));
}

TEST(PromptPlanner, PrefersPrefillEnginesThatAreInTime) {
  Request.EventGap = Milliseconds(150);
  Request.MaySpill = true;
  cache("run-2");
  CHECK(!prefillTarget().empty());
}

// Long streams that allow a pause of 150 ms between two events. The longest
// pause is 2.5 times the mean interval.
TEST_GROUP_BASE(PausePenalty, TEST_GROUP_CppUTestGroupPromptPlanner){
    void setup() override{TEST_GROUP_CppUTestGroupPromptPlanner::setup();
Request.Service = "s";
Request.AllowedPause = milliseconds(150);
Request.GenerationTime = Milliseconds(4000);
for (int Stream = 0; Stream < 400; ++Stream)
  Paces.recordPauseRatio("s", 2.5, Now);
}
void runs(const std::string &Id, double Interval) {
  Paces.recordInterval(Id, Milliseconds(Interval), 100, Now);
}
/// Number of streams by engine, for \p Count small prompts of different
/// subjects, each planned with the same view.
std::map<std::string, unsigned> targets(unsigned Count = 60,
                                        bool HasSubject = true) {
  std::map<std::string, unsigned> Result;
  for (unsigned Subject = 0; Subject < Count; ++Subject) {
    Request.Input = {200, 1, {{1000 + Subject * 7919, 200}}};
    if (HasSubject)
      Request.Input.Parts = {{1000 + Subject * 7919, 100}, {Subject, 100}};
    const auto Plan = plan();
    if (const auto *Single = std::get_if<DecodePlan>(&Plan))
      ++Result[Single->DecodeTarget];
  }
  return Result;
}
}
;

// Failure: 254 of 443 long streams were late by a single pause, as the choice
// of an engine did not depend on its speed.
TEST(PausePenalty, KeepsLongStreamsAwayFromSlowEngines) {
  runs("run-1", 70);
  runs("run-2", 30);
  LONGS_EQUAL(60, targets()["run-2"]);
}

// Failure: requests of a few events crowd the fast engines, although they are
// seldom late by a pause at a slow one.
TEST(PausePenalty, UsesSlowEnginesForShortRequests) {
  Request.GenerationTime = Milliseconds(50);
  runs("run-1", 70);
  runs("run-2", 30);
  CHECK(targets()["run-1"] >= 15);
  CHECK(targets()["run-2"] >= 15);
}

// Failure: streams go to an engine only because nothing is known of it, and
// engines that are known to be fast enough stay idle.
TEST(PausePenalty, TakesUnknownEnginesForFastEnough) {
  runs("run-1", 25);
  CHECK(targets()["run-1"] >= 15);
  CHECK(targets()["run-2"] >= 15);
}

TEST(PausePenalty, PrefersAnUnknownEngineToASlowOne) {
  runs("run-1", 70);
  LONGS_EQUAL(60, targets()["run-2"]);
}

// Failure: all engines are too slow, and the least slow one gets all streams,
// or requests are refused.
TEST(PausePenalty, UsesAllEnginesIfAllAreSlow) {
  runs("run-1", 95);
  runs("run-2", 120);
  const auto Targets = targets();
  LONGS_EQUAL(2, Targets.size());
  CHECK(Targets.at("run-1") >= 15);
  CHECK(Targets.at("run-2") >= 15);
}

// Failure: 25 gateways know the same intervals, and all of them send their next
// streams to the one fastest engine before the reports show its load.
TEST(PausePenalty, SpreadsTheStreamsOfManyGateways) {
  for (int Engine = 3; Engine <= 6; ++Engine)
    add("run-" + std::to_string(Engine), Stage::Decode);
  for (int Engine = 1; Engine <= 6; ++Engine)
    runs("run-" + std::to_string(Engine), 28 + Engine);
  const auto Targets = targets(25);
  CHECK(Targets.size() >= 4);
  for (const auto &[Id, Streams] : Targets)
    CHECK(Streams <= 10);
}

// Failure: prompts that share no part have no subject, so that one engine is
// the home of all of them and gets the streams of all gateways.
TEST(PausePenalty, SpreadsTheStreamsOfPromptsWithoutSubject) {
  for (int Engine = 1; Engine <= 2; ++Engine)
    runs("run-" + std::to_string(Engine), 28 + Engine);
  const auto Targets = targets(60, false);
  LONGS_EQUAL(2, Targets.size());
  CHECK(Targets.at("run-1") >= 15);
  CHECK(Targets.at("run-2") >= 15);
}
