//===- TestEnginePriorities.cpp - Priority of a request at engines --------===//
//
// Priorities of routes and tenants, and routes with long streams.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EnginePriorities.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(EnginePriorities) {
  Configuration Current;
  std::map<std::string, StreamTimes> Times;
  EnginePriorities Priorities{Times};
  BootTime Now{std::chrono::seconds(100)};

  void setup() override {
    Current.Version = 1;
    Current.Services.resize(2);
    Current.Services[0].Name = "s";
    Current.Services[1].Name = "other";
    add("urgent", 1);
    add("long", 6);
  }
  Route &add(const std::string &Name, unsigned Priority,
             const std::string &Service = "s") {
    Route &Added = Current.Routes.emplace_back();
    Added.Name = Name;
    Added.Kind = RouteKind::Streaming;
    Added.LatencyTarget = milliseconds(400);
    Added.Priority = Priority;
    Added.CarriesPrompts = true;
    Added.Services = {{Service, 1}};
    Current.finalize();
    return Added;
  }
  void addTenants(std::vector<std::optional<unsigned>> Of) {
    auto Table = std::make_shared<tenant::TenantTable>();
    for (const auto &Priority : Of)
      CHECK(
          Table->add({"t" + std::to_string(Table->tenantCount()), Priority}, {})
              .has_value());
    Current.Tenants = Table;
    Current.finalize();
  }
  /// -1 if no priority is sent.
  int priority(size_t Index, std::optional<unsigned> Request = {}) {
    const Route &Entry = Current.Routes[Index];
    const auto Found =
        Priorities.of(Current, *Current.service(Entry.Services[0].Service),
                      Entry, Request.value_or(Entry.Priority), Now);
    return Found ? static_cast<int>(*Found) : -1;
  }
  /// Streams that end one after another, for four seconds.
  void streams(const std::string &Name, milliseconds Duration) {
    BootTime At = Now;
    for (; At < Now + milliseconds(4000); At += Duration) {
      Times[Name].recordStart(At);
      Times[Name].recordEnd(At + Duration);
    }
  }
};

TEST(EnginePriorities, AreThoseOfTheRequests) {
  LONGS_EQUAL(1, priority(0));
  LONGS_EQUAL(6, priority(1));
  LONGS_EQUAL(3, priority(1, 3));
}

// Failure: engines of services without priorities treat the requests of two
// program versions differently, because one of them sends a priority.
TEST(EnginePriorities, AreNotSentWhereAllAreEqual) {
  Current.Routes[1].Priority = 1;
  add("elsewhere", 4, "other");
  add("plain", 7).CarriesPrompts = false;
  Current.finalize();
  LONGS_EQUAL(-1, priority(0));
  LONGS_EQUAL(-1, priority(2));
}

// Failure: an engine gets a priority that it does not know.
TEST(EnginePriorities, AreAtMostNine) {
  Current.Routes[1].Priority = 1000;
  Current.finalize();
  LONGS_EQUAL(9, priority(1));
  Current.Routes[0].Priority = 12;
  Current.finalize();
  LONGS_EQUAL(-1, priority(0));
}

// Failure: tenants of different priorities on routes of the same priority are
// equally urgent at engines.
TEST(EnginePriorities, IncludeTenants) {
  Current.Routes[1].Priority = 1;
  addTenants({1, std::nullopt, 4});
  LONGS_EQUAL(4, priority(0, 4));
  addTenants({1, std::nullopt});
  LONGS_EQUAL(-1, priority(0));
}

// Tenants have no influence on routes that need no key, and the priority of a
// route has none where each tenant has its own.
TEST(EnginePriorities, IncludeOnlyPrioritiesThatRequestsCanHave) {
  addTenants({5, 5});
  LONGS_EQUAL(-1, priority(0, 5));
  for (Route &Entry : Current.Routes) {
    Entry.Access = tenant::Access::Public;
    Entry.Priority = 2;
  }
  addTenants({5, 7});
  LONGS_EQUAL(-1, priority(0));
}

// Failure: streams of four seconds are preempted in favor of short requests,
// pause, and lose their credit.
TEST(EnginePriorities, LongStreamsAreNotLessUrgentThanShortRequests) {
  streams("urgent", milliseconds(80));
  streams("long", milliseconds(2000));
  Now += milliseconds(4000);
  LONGS_EQUAL(1, priority(1));
  LONGS_EQUAL(1, priority(0));
}

// Failure: less urgent requests are as urgent as any because a few of the
// others have a single event.
TEST(EnginePriorities, ShortStreamsAreNotLongBesideShorterOnes) {
  streams("urgent", milliseconds(1));
  streams("long", milliseconds(150));
  Now += milliseconds(4000);
  LONGS_EQUAL(6, priority(1));
}

TEST(EnginePriorities, FollowMeasurementsWithinASecond) {
  streams("long", milliseconds(2000));
  Now += milliseconds(4000);
  LONGS_EQUAL(6, priority(1));
  streams("urgent", milliseconds(80));
  Now += milliseconds(4000);
  LONGS_EQUAL(1, priority(1));
}

// Failure: with a route that had one short stream, all streams of the service
// count as long.
TEST(EnginePriorities, NeedSeveralShortStreams) {
  Times["urgent"].recordStart(Now);
  Times["urgent"].recordEnd(Now + milliseconds(1));
  streams("long", milliseconds(2000));
  Now += milliseconds(4000);
  LONGS_EQUAL(6, priority(1));
}
