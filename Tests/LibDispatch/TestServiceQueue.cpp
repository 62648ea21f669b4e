//===- TestServiceQueue.cpp - Requests waiting for a plain service --------===//
//
// Order, bounds and limits of one queue.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServiceQueue.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

namespace {

std::vector<uint64_t> sent(const std::vector<QueueAction> &Actions) {
  std::vector<uint64_t> Ids;
  for (const QueueAction &Action : Actions)
    if (const auto *Send = std::get_if<QueueSend>(&Action))
      Ids.push_back(Send->Id);
  return Ids;
}

std::vector<QueueRefusal> refused(const std::vector<QueueAction> &Actions) {
  std::vector<QueueRefusal> Refusals;
  for (const QueueAction &Action : Actions)
    if (const auto *Refusal = std::get_if<QueueRefusal>(&Action))
      Refusals.push_back(*Refusal);
  return Refusals;
}

} // namespace

TEST_GROUP(ServiceQueue) {
  ServiceQueue Queue;
  QueueView View;
  BootTime Now{std::chrono::seconds(100)};
  uint64_t LastId = 0;

  void setup() override {
    // A full server of six slots, in front of which this gateway is alone.
    View.Servers.push_back({"a", 6, 6, 6, Milliseconds(20), 1, true, true});
    CHECK(Queue.recordRejection("a", 6, 7, Now));
  }
  QueuedRequest request(milliseconds MayWait = milliseconds(400),
                        unsigned Priority = 1) {
    QueuedRequest Request;
    Request.Id = ++LastId;
    Request.Priority = Priority;
    Request.WaitUntil = Now + MayWait;
    Request.Deadline = Now + MayWait * 2;
    Request.Bytes = 100;
    return Request;
  }
  uint64_t wait(milliseconds MayWait = milliseconds(400),
                unsigned Priority = 1) {
    CHECK(Queue.arrive(request(MayWait, Priority), View, Now).empty());
    return LastId;
  }
  void setFree(double Slots) {
    View.Servers[0].Items = View.Servers[0].OwnItems = 6 - Slots;
  }
};

// Failure: requests wait although no server has ever been full.
TEST(ServiceQueue, IsInactiveUntilAServerRejects) {
  ServiceQueue Fresh;
  CHECK(!Fresh.isActive(Now));
  Fresh.recordAnswer("a", 6, 30, Milliseconds(20), Now);
  CHECK(!Fresh.isActive(Now));
  CHECK(Fresh.recordRejection("a", 6, 7, Now));
  CHECK(Fresh.isActive(Now));
}

// Failure: requests wait for a server that rejects them for another reason,
// such as a start that is not complete, and are refused late.
TEST(ServiceQueue, IgnoresRejectionsOfIdleServers) {
  ServiceQueue Fresh;
  CHECK(!Fresh.recordRejection("a", 6, 1, Now));
  CHECK(!Fresh.isActive(Now));
}

// Failure: a request waits while a server is free.
TEST(ServiceQueue, SendsAtOnceWhileASlotIsFree) {
  setFree(1);
  const auto Actions = Queue.arrive(request(), View, Now);
  LONGS_EQUAL(1, Actions.size());
  const auto *Send = std::get_if<QueueSend>(&Actions[0]);
  CHECK(Send);
  STRCMP_EQUAL("a", Send->TargetId.c_str());
  LONGS_EQUAL(0, Queue.size());
  CHECK(!Queue.nextLimit());
}

// Failure: a request that a slot becomes free for 2 ms later is refused.
TEST(ServiceQueue, SendsWhenASlotBecomesFree) {
  const uint64_t Id = wait();
  CHECK(Queue.check(View, Now).empty());
  Now += milliseconds(2);
  setFree(1);
  const auto Actions = Queue.check(View, Now);
  LONGS_EQUAL(1, Actions.size());
  const auto &Send = std::get<QueueSend>(Actions[0]);
  LONGS_EQUAL(Id, Send.Id);
  DOUBLES_EQUAL(2, Send.Waited.count(), 0.01);
}

// Failure: more requests are sent than slots are free, and are rejected.
TEST(ServiceQueue, SendsNoMoreThanTheFreeSlots) {
  for (int Count = 0; Count < 4; ++Count)
    wait();
  setFree(2);
  LONGS_EQUAL(2, sent(Queue.check(View, Now)).size());
  LONGS_EQUAL(2, Queue.size());
}

// Failure: a less urgent request, or one with more time, is served first.
TEST(ServiceQueue, OrdersByPriorityThenDeadline) {
  const uint64_t Late = wait(milliseconds(400), 1);
  const uint64_t Early = wait(milliseconds(300), 1);
  const uint64_t Urgent = wait(milliseconds(400), 0);
  const uint64_t LeastUrgent = wait(milliseconds(200), 2);
  setFree(4);
  const auto Order = sent(Queue.check(View, Now));
  CHECK((Order == std::vector<uint64_t>{Urgent, Early, Late, LeastUrgent}));
}

// Failure: a request without a prospect is held and refused late, when its
// caller has no time left for another gateway.
TEST(ServiceQueue, RefusesAtOnceIfNoSlotIsExpectedInTime) {
  const auto Actions = Queue.arrive(request(milliseconds(2)), View, Now);
  const auto Refusals = refused(Actions);
  LONGS_EQUAL(1, Refusals.size());
  CHECK(Refusals[0].RetryAfter >= milliseconds(200));
  LONGS_EQUAL(0, Queue.size());
}

// Failure: Retry-After does not grow with the backlog, so callers return while
// the service is still full.
TEST(ServiceQueue, DerivesRetryAfterFromTheBacklog) {
  View.Servers[0].WorkTime = Milliseconds(2000);
  for (int Count = 0; Count < 3; ++Count)
    wait(milliseconds(5000));
  const auto Refusals =
      refused(Queue.arrive(request(milliseconds(100)), View, Now));
  LONGS_EQUAL(1, Refusals.size());
  CHECK(Refusals[0].RetryAfter > milliseconds(1000));
  CHECK(Refusals[0].RetryAfter <= milliseconds(2000));
}

// Failure: a request is sent after the time that its answer would be useful.
// Sequence: the process is stopped for two seconds, and slots are free when it
// goes on.
TEST(ServiceQueue, SendsNothingOverdueAfterAFreeze) {
  wait(milliseconds(400));
  const uint64_t Patient = wait(milliseconds(4000));
  Now += milliseconds(2000);
  setFree(6);
  const auto Actions = Queue.check(View, Now);
  CHECK((sent(Actions) == std::vector<uint64_t>{Patient}));
  LONGS_EQUAL(1, refused(Actions).size());
}

// Failure: the queue grows without bound; the most urgent request is refused
// instead of the least urgent one.
TEST(ServiceQueue, IsBoundedInNumber) {
  View.Gateways = 3;
  LONGS_EQUAL(4, Queue.maximumRequests(View));
  for (int Count = 0; Count < 3; ++Count)
    wait(milliseconds(400), 1);
  const uint64_t LeastUrgent = wait(milliseconds(400), 2);
  const auto Refusals =
      refused(Queue.arrive(request(milliseconds(400), 0), View, Now));
  LONGS_EQUAL(1, Refusals.size());
  LONGS_EQUAL(LeastUrgent, Refusals[0].Id);
  LONGS_EQUAL(4, Queue.size());
  View.Servers[0].Slots = 60;
  LONGS_EQUAL(20, Queue.maximumRequests(View));
}

// Failure: a few large requests that wait use up the memory of the process.
TEST(ServiceQueue, IsBoundedInBytes) {
  QueuedRequest Large = request();
  Large.Bytes = 700 << 10;
  CHECK(Queue.arrive(Large, View, Now).empty());
  Large = request();
  Large.Bytes = 700 << 10;
  LONGS_EQUAL(1, refused(Queue.arrive(Large, View, Now)).size());
  LONGS_EQUAL(700 << 10, Queue.bytes());
  setFree(1);
  Queue.check(View, Now);
  LONGS_EQUAL(0, Queue.bytes());
}

// Failure: a request is sent after its caller has left.
TEST(ServiceQueue, ForgetsRequestsThatLeave) {
  const uint64_t First = wait();
  const uint64_t Second = wait();
  CHECK(Queue.leave(Second) == 1U);
  CHECK(!Queue.leave(Second));
  setFree(6);
  CHECK((sent(Queue.check(View, Now)) == std::vector<uint64_t>{First}));
  LONGS_EQUAL(0, Queue.bytes());
}

// Failure: callers wait until their deadlines for servers that crashed.
TEST(ServiceQueue, RefusesAllWithoutServersInService) {
  wait();
  wait();
  View.Servers[0].InService = false;
  const auto Refusals = refused(Queue.check(View, Now));
  LONGS_EQUAL(2, Refusals.size());
  STRCMP_EQUAL("no server takes new requests",
               std::string(Refusals[0].Reason).c_str());
}

// Failure: callers wait until their deadlines for servers that are listed no
// more.
TEST(ServiceQueue, RefusesAllWhenTheLastServerIsRemoved) {
  wait();
  View.Servers.clear();
  LONGS_EQUAL(1, refused(Queue.check(View, Now)).size());
  LONGS_EQUAL(0, Queue.size());
}

// Failure: a request waits for a server that it must not use again.
TEST(ServiceQueue, RefusesRequestsThatMayUseNoServer) {
  QueuedRequest Failed = request();
  Failed.Excluded = {"a"};
  LONGS_EQUAL(1, refused(Queue.arrive(Failed, View, Now)).size());
}

// Failure: on SIGTERM, or when the service is removed, requests stay in the
// queue and are lost with the process.
TEST(ServiceQueue, RefusesAllOnAStop) {
  wait();
  wait();
  const auto Refusals =
      refused(Queue.refuseAll("the process ends", milliseconds(50), Now));
  LONGS_EQUAL(2, Refusals.size());
  CHECK(Refusals[0].RetryAfter == milliseconds(50));
  LONGS_EQUAL(0, Queue.size());
  LONGS_EQUAL(0, Queue.bytes());
}

// Failure: a request whose route a new configuration removes stays in the
// queue, or all others are refused with it.
TEST(ServiceQueue, RefusesOneRequest) {
  const uint64_t Removed = wait();
  const uint64_t Kept = wait();
  const auto Refusals = refused(
      Queue.refuse(Removed, "the route was removed", milliseconds(500), Now));
  LONGS_EQUAL(1, Refusals.size());
  CHECK(Queue.refuse(Removed, "", milliseconds(500), Now).empty());
  setFree(6);
  CHECK((sent(Queue.check(View, Now)) == std::vector<uint64_t>{Kept}));
}

// Failure: a server that was full once looks full for ever.
TEST(ServiceQueue, ForgetsObservations) {
  Queue.recordAnswer("a", 6, 26, Milliseconds(20), Now);
  DOUBLES_EQUAL(16, Queue.fullAt(View.Servers[0], Now), 0.01);
  Now += milliseconds(5000);
  CHECK(!Queue.isActive(Now));
  DOUBLES_EQUAL(11, Queue.fullAt(View.Servers[0], Now), 0.01);
  // As a server that was never observed.
  Now += milliseconds(60000);
  DOUBLES_EQUAL(9, Queue.fullAt(View.Servers[0], Now), 0.01);
}

// Failure: a gateway takes the capacity of a whole fleet whose reports it does
// not receive.
TEST(ServiceQueue, TakesAnEvenPartWithoutReports) {
  View.Gateways = 3;
  View.OwnDemand = 100;
  View.OthersDemand = 1;
  View.Servers[0].Items = 5;
  View.Servers[0].OwnItems = 2;
  // Not this gateway's turn for the fraction of a slot.
  View.Draw = 0.9;
  View.HearsOthers = false;
  wait();
  CHECK(Queue.check(View, Now).empty());
  View.HearsOthers = true;
  LONGS_EQUAL(1, sent(Queue.check(View, Now)).size());
}

// Failure: after the loss of a gateway its part of the capacity stays unused.
TEST(ServiceQueue, RedistributesThePartOfALostGateway) {
  View.Gateways = 2;
  View.OwnDemand = View.OthersDemand = 1;
  View.Servers[0].OwnItems = 3;
  for (int Count = 0; Count < 3; ++Count)
    wait();
  // The lost gateway's reports, and with them its items, have expired.
  View.Gateways = 1;
  View.OthersDemand = 0;
  View.Servers[0].Items = 3;
  LONGS_EQUAL(3, sent(Queue.check(View, Now)).size());
}
