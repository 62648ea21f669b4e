//===- TestAuthority.cpp - Planners that lost their lease -----------------===//
//
// Orders from a process that has lost its authority have no effect, whatever
// delays them; and a lost or late answer of the store makes no second planner.
//
//===----------------------------------------------------------------------===//

#include "OrderCaller.h"
#include "OrderFleet.h"

#include "LibCore/ResultCode.h"
#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::test;
using nlohmann::json;

TEST_GROUP(Authority) {
  /// Connections of paused processes stay open, so that what they sent last
  /// still arrives.
  OrderFleet m_Fleet{{.Settings = {{"wire", {{"heartbeatTimeout", "60s"}}}}}};
  std::string m_Holder;

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
    CHECK(waitUntil(Patience, [&] { return !m_Fleet.holder().empty(); }));
    m_Holder = m_Fleet.holder();
  }

  void check(bool Holds, const char *What) {
    if (!Holds)
      FAIL((std::string(What) + "\n" + m_Fleet.report()).c_str());
  }

  void checkSettled(const std::string &Version) {
    check(m_Fleet.waitUntilSettled(Version), "the version is not everywhere");
    STRCMP_EQUAL("", m_Fleet.conflicts().c_str());
  }

  /// The first order that \p Entry has given after \p Before others.
  json orderAfter(const std::string &Entry, size_t Before) {
    check(waitUntil(Patience,
                    [&] {
                      return m_Fleet.logged(Entry, "order-given").size() >
                             Before;
                    }),
          "no order was given");
    return m_Fleet.logged(Entry, "order-given").at(Before);
  }

  void waitForSuccessor(uint64_t Epoch) {
    check(waitUntil(Patience,
                    [&] {
                      return m_Fleet.lease().value("epoch", uint64_t{0}) >
                             Epoch;
                    }),
          "nobody took the lease");
  }
};

// Symptom: an engine carries out an order of a planner whose lease another one
// has taken. Sequence: the agent stands still with the order in its socket; the
// planner stands still too, its lease lapses, the other entry takes it; the
// agent goes on and reads the old order first. Cause: authority was checked by
// the sender, when it was still true, and not where the order takes effect.
TEST(Authority, RefusesAnOrderThatWasOnItsWayWhenTheLeaseMoved) {
  const uint64_t Epoch = m_Fleet.lease().at("epoch");
  const std::string First = OrderFleet::engines().front();
  std::string Version = "1";
  json Old;
  // On a slow machine the reports of the paused agent may become too old for
  // the planner to order anything there: then once more.
  do {
    ++Version.back();
    const size_t Given = m_Fleet.logged(m_Holder, "order-given").size();
    m_Fleet.process(First).pause();
    CHECK(m_Fleet.submitVersion(Version));
    Old = orderAfter(m_Holder, Given);
    if (Old.at("target") == First)
      break;
    m_Fleet.process(First).resume();
    checkSettled(Version);
  } while (Version != "9");
  STRCMP_EQUAL(First.c_str(), Old.at("target").get<std::string>().c_str());
  const std::string OldId = Old.at("order");
  m_Fleet.process(m_Holder).pause();
  waitForSuccessor(Epoch);

  m_Fleet.process(First).resume();
  auto WasRead = [&] {
    for (const json &Each : m_Fleet.events(First, "order-received"))
      if (Each.at("fields").at("order") == OldId)
        return true;
    return false;
  };
  check(waitUntil(Patience, WasRead), "the old order did not arrive");
  checkSettled(Version);
  CHECK_FALSE(m_Fleet.took(First, OldId));
  CHECK_FALSE(m_Fleet.events(First, "order-refused").empty());

  m_Fleet.process(m_Holder).resume();
  check(waitUntil(
            Patience,
            [&] { return !m_Fleet.logged(m_Holder, "lease-lost").empty(); }),
        "the old planner did not notice that its lease is over");
  CHECK(m_Fleet.submitVersion("next"));
  checkSettled("next");
  CHECK_FALSE(m_Fleet.took(First, OldId));
}

// Symptom: two planners order the same engines in turns. Sequence: the holder
// is paused in the middle of a rollout beyond the end of its lease, another one
// goes on with the rollout, the first one wakes up with its plan in memory;
// then the roles are changed about. Cause: a process cannot know how long it
// was away unless it asks before each order.
TEST(Authority, LetsTwoPlannersTakeTurnsWithoutConflict) {
  for (const char *Version : {"2", "3"}) {
    const std::string Paused = m_Fleet.holder();
    const uint64_t Epoch = m_Fleet.lease().at("epoch");
    const size_t Given = m_Fleet.logged(Paused, "order-given").size();
    CHECK(m_Fleet.submitVersion(Version));
    orderAfter(Paused, Given);
    m_Fleet.process(Paused).pause();
    waitForSuccessor(Epoch);
    const size_t BeforeWaking = m_Fleet.logged(Paused, "order-given").size();
    m_Fleet.process(Paused).resume();
    checkSettled(Version);
    const auto All = m_Fleet.logged(Paused, "order-given");
    for (size_t Index = BeforeWaking;
         Index < All.size() && m_Fleet.holder() != Paused; ++Index)
      CHECK_FALSE(
          m_Fleet.took(All[Index].at("target"), All[Index].at("order")));
  }
}

// Symptom: a planner takes its own renewal for another's, gives its lease up or
// orders under an epoch that is not in the table. Sequence: renewals and
// intents are written and their answers lost, in the middle of a rollout.
// Cause: a write without an answer was taken for one without effect.
TEST(Authority, ReadsBackWritesWhoseAnswersWereLost) {
  CHECK(m_Fleet.submitVersion("2"));
  const size_t Lost = 6;
  m_Fleet.loseAnswersToCommits(Lost);
  checkSettled("2");
  CHECK(m_Fleet.submitVersion("3"));
  m_Fleet.loseAnswersToCommits(Lost);
  checkSettled("3");
}

// Symptom: without the store engines stand idle, or a planner orders on its own
// account. Sequence: the store goes down while an order runs, stays down past
// the end of the lease, comes back. Cause: the end of an order could not be
// written, or the planner went on without a lease.
TEST(Authority, GivesNoOrdersWithoutTheStoreAndGoesOnAfterwards) {
  for (const std::string &Each : OrderFleet::engines())
    m_Fleet.setEngine(Each, {{"order_duration", "4s"}});
  CHECK(m_Fleet.submitVersion("2"));
  const json First = orderAfter(m_Holder, 0);
  const std::string Target = First.at("target");
  check(waitUntil(Patience,
                  [&] { return m_Fleet.took(Target, First.at("order")); }),
        "the engine was not ordered");
  m_Fleet.platformFault("down");
  check(waitUntil(
            Patience,
            [&] { return !m_Fleet.logged(m_Holder, "lease-lost").empty(); }),
        "the planner went on without a lease");
  const size_t Given = m_Fleet.logged(m_Holder, "order-given").size();
  // The engine under change serves again, though its row says "intended".
  check(waitUntil(Patience,
                  [&] {
                    return m_Fleet.getJson(m_Fleet.admin(Target), "/status")
                        .value("accepting", false);
                  }),
        "the engine stands idle as long as the store is down");
  STRCMP_EQUAL(
      "intended",
      m_Fleet.row("order/" + Target).at("state").get<std::string>().c_str());
  Answer Served = call(m_Fleet.callers(m_Holder), "POST", "/v1/completions",
                       completionBody("desk", "Is lane 4 open?", 5));
  LONGS_EQUAL(200, Served.Status);
  LONGS_EQUAL(Given, m_Fleet.logged(m_Holder, "order-given").size());
  m_Fleet.platformFault("none");
  checkSettled("2");
}

namespace {
wire::OrderRequest order(const std::string &Id, const std::string &Target,
                         uint64_t Epoch, const std::string &Role) {
  wire::OrderRequest Made;
  Made.set_order_id(Id);
  Made.set_shard("lm-desk/blue-ridge");
  Made.set_target(Target);
  Made.set_epoch(Epoch);
  Made.mutable_set_role()->set_role(Role);
  return Made;
}
} // namespace

// Symptom: an engine obeys whoever reaches its agent's port. Sequence: orders
// of an older epoch, of one that nobody holds, for another target, without a
// change or an id arrive; an order of the holder arrives twice, or changed, or
// again after the agent has started anew. Cause: an agent that takes the
// sender's word.
TEST(Authority, TakesOnlyWhatTheHolderOrdersAndOnlyOnce) {
  const std::string Target = OrderFleet::engines().back();
  // A second tenure, so that there is an epoch that was valid once.
  const uint64_t Before = m_Fleet.lease().at("epoch");
  m_Fleet.process(m_Holder).terminate();
  waitForSuccessor(Before);
  const uint64_t Epoch = m_Fleet.lease().at("epoch");
  const json Listed = m_Fleet.getJson(m_Fleet.platform(), "/v1/vms");
  std::string Peer;
  for (const json &Vm : Listed.at("vms"))
    if (Vm.at("id") == Target)
      Peer = Vm.at("peer");
  OrderCaller Caller(Peer);
  auto Answered = [&](const wire::OrderRequest &Sent) {
    const auto Reply = Caller.send(Sent);
    return Reply ? std::to_string(Reply->code()) + " " + Reply->state()
                 : std::string("no answer");
  };
  auto Refused = [](ResultCode Code) {
    return std::to_string(static_cast<int>(Code)) + " refused";
  };

  wire::OrderRequest Empty = order("no-change", Target, Epoch, "");
  Empty.clear_order();
  const struct {
    wire::OrderRequest Sent;
    ResultCode Code;
  } Forged[] = {
      {order("stale", Target, Before, "decode"), ResultCode::StaleEpoch},
      {order("future", Target, Epoch + 7, "decode"), ResultCode::NoAuthority},
      {order("other", "lm-desk-1", Epoch, "decode"), ResultCode::InvalidInput},
      {order("", Target, Epoch, "decode"), ResultCode::InvalidInput},
      {Empty, ResultCode::InvalidInput},
  };
  for (const auto &Each : Forged) {
    STRCMP_EQUAL(Refused(Each.Code).c_str(), Answered(Each.Sent).c_str());
    CHECK_FALSE(m_Fleet.row("order/" + Target)
                        .dump()
                        .find(Each.Sent.order_id() + "\"") !=
                    std::string::npos &&
                !Each.Sent.order_id().empty());
  }
  LONGS_EQUAL(0, m_Fleet.book(Target).at("orders").size());

  const auto Good = order("good", Target, Epoch, "decode");
  STRCMP_EQUAL("0 running", Answered(Good).c_str());
  auto IsDone = [&] { return Answered(Good) == "0 done"; };
  check(waitUntil(Patience, IsDone), "the holder's order was not carried out");
  STRCMP_EQUAL(Refused(ResultCode::OrderConflict).c_str(),
               Answered(order("good", Target, Epoch, "prefill")).c_str());
  m_Fleet.process(Target).kill();
  m_Fleet.restart(Target);
  check(waitUntil(Patience, IsDone), "the new agent does not know the order");
  STRCMP_EQUAL("decode", m_Fleet.engine(Target).value("role", "").c_str());
  LONGS_EQUAL(1, m_Fleet.booked(Target, "good").size());
  STRCMP_EQUAL("", m_Fleet.conflicts().c_str());
}
