//===- TestChooseTarget.cpp - Single routing decisions ----------*- C++ -*-===//
//
// Which target one request gets, and which refusal.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/ChooseTarget.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::route;
using record::ServiceClass;
using std::chrono::milliseconds;

TEST_GROUP(ChooseTarget) {
  InFlightBook Book;
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
                  Role Which = Role::Mixed) {
    TargetView View;
    View.Id = Id;
    View.BackEnd = "lm-desk";
    View.Zone = "hall-a";
    View.CurrentRole = Which;
    View.Accepting = true;
    Book.gauge(Id)->report(Load, BootTime{});
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
                        const Policy &Which = FigliftPolicy{},
                        std::vector<std::string> Excluded = {}) {
    Table = RoutingTable(Views, Book, {}, "hall-a");
    return chooseTarget(Which, Table, Request, Excluded, 7);
  }

  RoutingTable Table;
};

TEST(ChooseTarget, PassesOverTargetsThatMayNotGetTheWork) {
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
  const auto Refused = choose(Request, FigliftPolicy{}, {"failed"});
  CHECK(Refused.error().Code == ResultCode::NoTargetAvailable);
  CHECK(Refused.error().RetryAfter.has_value());
}

// Symptom: a parent waits for an answer that comes after the desk has closed
// the slot, and its work delays everybody behind it.
// Sequence: every queue holds four seconds of prompts, the deadline is one.
// Cause: nobody compared the deadline with the backlog before sending.
TEST(ChooseTarget, RefusesEarlyWhatCannotMakeItsDeadline) {
  add("a", measuredLoad(32000));
  add("b", measuredLoad(40000));
  RequestShape Request = request();
  Request.TimeLeft = milliseconds(1000);
  const auto Refused = choose(Request);
  CHECK(Refused.error().Code == ResultCode::DeadlineUnreachable);
  // 4 s of backlog, 125 ms of its own, 200 ms of decode, 1 s left.
  CHECK(*Refused.error().RetryAfter >= milliseconds(3300));
  CHECK(*Refused.error().RetryAfter <= milliseconds(3400));

  FigliftPolicy Without;
  Without.EarlyRefusal = false;
  CHECK(choose(Request, Without).has_value());
  Request.TimeLeft = milliseconds(4400);
  CHECK(choose(Request).has_value());
}

TEST(ChooseTarget, RefusesWhenEveryQueueOfTheClassIsFull) {
  add("a", measuredLoad(DefaultClassBounds[1]));
  add("b", measuredLoad(DefaultClassBounds[1] + 8000));
  const auto Refused = choose(request());
  CHECK(Refused.error().Code == ResultCode::Overloaded);
  CHECK(*Refused.error().RetryAfter == milliseconds(125));
  RequestShape Urgent = request();
  Urgent.Class = ServiceClass::Immediate;
  CHECK(choose(Urgent).has_value());
}

// Symptom: waiver look-ups at the counter are refused during a nightly batch.
// Sequence: background prompts fill every queue; an immediate call arrives.
// Cause: the engines serve urgent work first, but the estimate counted all
// that waits.
TEST(ChooseTarget, BackgroundWorkDoesNotDelayUrgentWork) {
  add("a", measuredLoad(60000, ServiceClass::Background));
  RequestShape Urgent = request();
  Urgent.Class = ServiceClass::Immediate;
  Urgent.TimeLeft = milliseconds(1000);
  CHECK(choose(Urgent).has_value());
  FigliftPolicy Without;
  Without.ClassPriorities = false;
  CHECK(choose(Urgent, Without).error().Code ==
        ResultCode::DeadlineUnreachable);
}

// Failure: of two equal engines the one that was measured a little faster gets
// all streams, and the other stands idle.
TEST(ChooseTarget, PrefersAnIdleTargetToACrowdedOneThatWasMeasuredFaster) {
  TargetLoad Crowded = measuredLoad();
  Crowded.MaximumSequences = 64;
  Crowded.DecodeTokensPerSecond = 9400;
  Crowded.RunningSequences = 43;
  Crowded.DecodeTokensWaiting = 6000;
  TargetLoad Idle = measuredLoad();
  Idle.MaximumSequences = 64;
  Idle.DecodeTokensPerSecond = 7000;
  add("crowded", Crowded);
  add("idle", Idle);
  STRCMP_EQUAL("idle", choose(request(10, 300)).value().Target->Id.c_str());
}

// Failure: work that ends in time is refused, as what only weighs targets
// against each other counts as time.
TEST(ChooseTarget, RefusesNoWorkForACrowdedBatch) {
  TargetLoad Crowded = measuredLoad();
  Crowded.RunningSequences = 15;
  Crowded.DecodeTokensWaiting = 150;
  add("crowded", Crowded);
  RequestShape Request = request(10, 100);
  // 100 tokens of 20 ms each.
  Request.TimeLeft = milliseconds(2100);
  CHECK(choose(Request).has_value());
}

// Failure: an engine that has measured nothing stands idle for as long as
// another one has room, as it is taken for eight times slower.
TEST(ChooseTarget, TakesAnUnmeasuredTargetForAsFastAsItsPeers) {
  TargetLoad Busy = measuredLoad();
  Busy.MaximumSequences = 64;
  Busy.DecodeTokensPerSecond = 8000;
  Busy.RunningSequences = 43;
  Busy.DecodeTokensWaiting = 6000;
  TargetLoad Unmeasured;
  Unmeasured.MaximumSequences = 64;
  add("busy", Busy);
  add("idle", Unmeasured);
  const auto Chosen = choose(request(10, 300));
  STRCMP_EQUAL("idle", Chosen.value().Target->Id.c_str());
  CHECK(Chosen.value().ExpectedTotal < std::chrono::seconds(4));
}

TEST(ChooseTarget, AssumedSpeedsNeverRefuse) {
  add("fresh", TargetLoad{});
  RequestShape Request = request(100000, 1000);
  Request.TimeLeft = milliseconds(1);
  CHECK(choose(Request).has_value());
}

TEST(ChooseTarget, RolesSuitTheWorkUnlessTheyAreBusy) {
  add("prefill", measuredLoad(), Role::Prefill);
  add("decode", measuredLoad(), Role::Decode);
  const RequestShape LongPrompt = request(16000, 2);
  const RequestShape LongAnswer = request(20, 800);
  STRCMP_EQUAL("prefill", choose(LongPrompt).value().Target->Id.c_str());
  STRCMP_EQUAL("decode", choose(LongAnswer).value().Target->Id.c_str());
  Book.gauge("prefill")->report(measuredLoad(16000), BootTime{});
  STRCMP_EQUAL("decode", choose(LongPrompt).value().Target->Id.c_str());
}

TEST(ChooseTarget, OwnZoneWinsAmongEquals) {
  add("far", measuredLoad()).Zone = "hall-b";
  add("near", measuredLoad());
  STRCMP_EQUAL("near", choose(request()).value().Target->Id.c_str());
  Book.gauge("near")->report(measuredLoad(2000), BootTime{});
  STRCMP_EQUAL("far", choose(request()).value().Target->Id.c_str());
}

TEST(ChooseTarget, WaitsForAFreeSequenceCount) {
  TargetLoad Full = measuredLoad();
  Full.RunningSequences = 16;
  Full.DecodeTokensWaiting = 16 * 100;
  add("full", Full);
  add("queue", measuredLoad(400));
  STRCMP_EQUAL("queue", choose(request()).value().Target->Id.c_str());
}

TEST(ChooseTarget, RoundRobinTakesTurnsAndRandomReachesAll) {
  for (const char *Id : {"a", "b", "c"})
    add(Id, measuredLoad());
  Table = RoutingTable(Views, Book);
  const Policy Turns = RoundRobinPolicy{};
  std::map<std::string, int> ByTurn, ByChance;
  for (uint64_t I = 0; I < 300; ++I) {
    ++ByTurn[chooseTarget(Turns, Table, request(), {}, I).value().Target->Id];
    ++ByChance[chooseTarget(RandomPolicy{}, Table, request(), {}, I)
                   .value()
                   .Target->Id];
  }
  for (const char *Id : {"a", "b", "c"}) {
    LONGS_EQUAL(100, ByTurn[Id]);
    CHECK(ByChance[Id] > 70);
  }
}
