//===- TestChooseTarget.cpp - Single routing decisions ----------*- C++ -*-===//
//
// The target that is chosen for a request, or the refusal.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/ChooseTarget.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::route;
using record::ServiceClass;
using std::chrono::milliseconds;

TEST_GROUP(ChooseTarget) {
  InFlightTracker Tracker;
  std::vector<TargetView> Views;

  TargetLoad measuredLoad(uint64_t Waiting = 0,
                          ServiceClass Class = ServiceClass::Interactive) {
    TargetLoad Load;
    Load.PrefillTokensPerSecond = 8000;
    Load.DecodeTokensPerSecond = 800;
    Load.MaximumSequences = 16;
    Load.PrefillTokensWaiting[static_cast<size_t>(Class)] = Waiting;
    return Load;
  }

  TargetView &add(const std::string &Id, const TargetLoad &Load,
                  Role TargetRole = Role::Mixed) {
    TargetView View;
    View.Id = Id;
    View.BackEnd = "lm-desk";
    View.Zone = "hall-a";
    View.CurrentRole = TargetRole;
    View.Accepting = true;
    Tracker.gauge(Id)->report(Load, BootTime{});
    Views.push_back(View);
    return Views.back();
  }

  RequestShape request(uint32_t PromptTokens = 1000,
                       uint32_t MaximumTokens = 10) const {
    RequestShape Request;
    Request.BackEnd = "lm-desk";
    Request.PromptTokens = PromptTokens;
    Request.MaximumTokens = MaximumTokens;
    return Request;
  }

  Result<Choice> choose(const RequestShape &Request,
                        const Policy &Routing = FigliftPolicy{},
                        std::vector<std::string> Excluded = {}) {
    Table = RoutingTable(Views, Tracker, {}, "hall-a");
    return chooseTarget(Routing, Table, Request, Excluded, 7);
  }

  RoutingTable Table;
};

TEST(ChooseTarget, SkipsIneligibleTargets) {
  add("draining", measuredLoad()).Accepting = false;
  add("other-model", measuredLoad()).Models = {"fardas@1"};
  add("failed", measuredLoad());
  add("good", measuredLoad(4000)).Models = {"desk@2"};
  RequestShape Request = request();
  for (const char *Model : {"desk", "desk@2"}) {
    Request.Model = Model;
    STRCMP_EQUAL("good", choose(Request, FigliftPolicy{}, {"failed"})
                             .value()
                             .Target->Id.c_str());
  }
  Request.Model = "desk@3";
  const auto Refusal = choose(Request, FigliftPolicy{}, {"failed"});
  CHECK(Refusal.error().Code == ResultCode::NoTargetAvailable);
  CHECK(Refusal.error().RetryAfter.has_value());
}

// Guards against sending work that cannot meet its deadline: every queue holds
// four seconds of prompts and the deadline is one second away. The answer would
// come too late, and the work would delay the requests behind it.
TEST(ChooseTarget, RefusesWorkThatCannotMeetItsDeadline) {
  add("a", measuredLoad(32000));
  add("b", measuredLoad(40000));
  RequestShape Request = request();
  Request.TimeLeft = milliseconds(1000);
  const auto Refusal = choose(Request);
  CHECK(Refusal.error().Code == ResultCode::DeadlineUnreachable);
  // 4 s of backlog, 125 ms of prefill, 200 ms of decode, 1 s to the deadline.
  CHECK(*Refusal.error().RetryAfter >= milliseconds(3300));
  CHECK(*Refusal.error().RetryAfter <= milliseconds(3400));

  FigliftPolicy ReducedPolicy;
  ReducedPolicy.EarlyRefusal = false;
  CHECK(choose(Request, ReducedPolicy).has_value());
  Request.TimeLeft = milliseconds(4400);
  CHECK(choose(Request).has_value());
}

TEST(ChooseTarget, RefusesWhenEveryQueueOfTheClassIsFull) {
  add("a", measuredLoad(DefaultClassBounds[1]));
  add("b", measuredLoad(DefaultClassBounds[1] + 8000));
  const auto Refusal = choose(request());
  CHECK(Refusal.error().Code == ResultCode::Overloaded);
  CHECK(*Refusal.error().RetryAfter == milliseconds(125));
  RequestShape Urgent = request();
  Urgent.Class = ServiceClass::Immediate;
  CHECK(choose(Urgent).has_value());
}

// Guards against refusing immediate requests during a nightly batch: background
// prompts fill every queue. Engines process urgent work first, so the estimate
// must not include all waiting work.
TEST(ChooseTarget, BackgroundWorkDoesNotDelayUrgentWork) {
  add("a", measuredLoad(60000, ServiceClass::Background));
  RequestShape Urgent = request();
  Urgent.Class = ServiceClass::Immediate;
  Urgent.TimeLeft = milliseconds(1000);
  CHECK(choose(Urgent).has_value());
  FigliftPolicy ReducedPolicy;
  ReducedPolicy.ClassPriorities = false;
  CHECK(choose(Urgent, ReducedPolicy).error().Code ==
        ResultCode::DeadlineUnreachable);
}

// Guards against an idle engine: of two equal engines, the one with the
// slightly higher measured speed would get all streams.
TEST(ChooseTarget, PrefersIdleTargetToBusyOneWithHigherMeasuredSpeed) {
  TargetLoad BusyLoad = measuredLoad();
  BusyLoad.MaximumSequences = 64;
  BusyLoad.DecodeTokensPerSecond = 9400;
  BusyLoad.RunningSequences = 43;
  BusyLoad.DecodeTokensWaiting = 6000;
  TargetLoad IdleLoad = measuredLoad();
  IdleLoad.MaximumSequences = 64;
  IdleLoad.DecodeTokensPerSecond = 7000;
  add("crowded", BusyLoad);
  add("idle", IdleLoad);
  STRCMP_EQUAL("idle", choose(request(10, 300)).value().Target->Id.c_str());
}

// Guards against refusing work that would finish before its deadline: the
// penalties that only compare targets must not count as time.
TEST(ChooseTarget, BatchPenaltyDoesNotCauseRefusals) {
  TargetLoad BusyLoad = measuredLoad();
  BusyLoad.RunningSequences = 15;
  BusyLoad.DecodeTokensWaiting = 150;
  add("crowded", BusyLoad);
  RequestShape Request = request(10, 100);
  // 100 tokens take 20 ms each.
  Request.TimeLeft = milliseconds(2100);
  CHECK(choose(Request).has_value());
}

// Guards against an idle engine: an engine without measurements was assumed to
// be eight times slower than its peers, so it got no work as long as another
// engine had room.
TEST(ChooseTarget, AssumesPeerSpeedsForUnmeasuredTarget) {
  TargetLoad BusyLoad = measuredLoad();
  BusyLoad.MaximumSequences = 64;
  BusyLoad.DecodeTokensPerSecond = 8000;
  BusyLoad.RunningSequences = 43;
  BusyLoad.DecodeTokensWaiting = 6000;
  TargetLoad Unmeasured;
  Unmeasured.MaximumSequences = 64;
  add("busy", BusyLoad);
  add("idle", Unmeasured);
  const auto Chosen = choose(request(10, 300));
  STRCMP_EQUAL("idle", Chosen.value().Target->Id.c_str());
  CHECK(Chosen.value().ExpectedTotal < std::chrono::seconds(4));
}

TEST(ChooseTarget, AssumedSpeedsDoNotCauseRefusals) {
  add("fresh", TargetLoad{});
  RequestShape Request = request(100000, 1000);
  Request.TimeLeft = milliseconds(1);
  CHECK(choose(Request).has_value());
}

TEST(ChooseTarget, PrefersMatchingRoleUnlessBusy) {
  add("prefill", measuredLoad(), Role::Prefill);
  add("decode", measuredLoad(), Role::Decode);
  const RequestShape LongPrompt = request(16000, 2);
  const RequestShape LongAnswer = request(20, 800);
  STRCMP_EQUAL("prefill", choose(LongPrompt).value().Target->Id.c_str());
  STRCMP_EQUAL("decode", choose(LongAnswer).value().Target->Id.c_str());
  Tracker.gauge("prefill")->report(measuredLoad(16000), BootTime{});
  STRCMP_EQUAL("decode", choose(LongPrompt).value().Target->Id.c_str());
}

TEST(ChooseTarget, PrefersOwnZoneAmongEqualTargets) {
  add("far", measuredLoad()).Zone = "hall-b";
  add("near", measuredLoad());
  STRCMP_EQUAL("near", choose(request()).value().Target->Id.c_str());
  Tracker.gauge("near")->report(measuredLoad(2000), BootTime{});
  STRCMP_EQUAL("far", choose(request()).value().Target->Id.c_str());
}

TEST(ChooseTarget, CountsTheWaitForAFreeSequence) {
  TargetLoad Full = measuredLoad();
  Full.RunningSequences = 16;
  Full.DecodeTokensWaiting = 16 * 100;
  add("full", Full);
  add("queue", measuredLoad(400));
  STRCMP_EQUAL("queue", choose(request()).value().Target->Id.c_str());
}

TEST(ChooseTarget, RoundRobinIsEvenAndRandomReachesAllTargets) {
  for (const char *Id : {"a", "b", "c"})
    add(Id, measuredLoad());
  Table = RoutingTable(Views, Tracker);
  const Policy RoundRobin = RoundRobinPolicy{};
  std::map<std::string, int> RoundRobinCounts, RandomCounts;
  for (uint64_t I = 0; I < 300; ++I) {
    ++RoundRobinCounts
        [chooseTarget(RoundRobin, Table, request(), {}, I).value().Target->Id];
    ++RandomCounts[chooseTarget(RandomPolicy{}, Table, request(), {}, I)
                       .value()
                       .Target->Id];
  }
  for (const char *Id : {"a", "b", "c"}) {
    LONGS_EQUAL(100, RoundRobinCounts[Id]);
    CHECK(RandomCounts[Id] > 70);
  }
}
