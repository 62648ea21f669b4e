//===- TestInterruptedOrder.cpp - Crashes in the middle of an order -------===//
//
// The agent is killed, or the engine crashes, at each step between the intent
// and the completion of an order. The judge is the book of each engine.
//
//===----------------------------------------------------------------------===//

#include "OrderFleet.h"

#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <set>
#include <thread>

using namespace figlift::test;
using nlohmann::json;
using std::chrono::milliseconds;

TEST_GROUP(InterruptedOrder) {
  OrderFleet m_Fleet{{.OrderDuration = "1s"}};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  void check(bool Holds, const std::string &What) {
    if (!Holds)
      FAIL((What + "\n" + m_Fleet.report()).c_str());
  }

  json intent(const std::string &Engine) {
    const json Row = m_Fleet.row("order/" + Engine);
    const bool Open = Row.is_object() && Row.value("state", "") == "intended";
    return Open ? Row : json();
  }

  /// An order is open that the engine has not seen.
  bool intended(const std::string &Engine) {
    const json Open = intent(Engine);
    return Open.is_object() &&
           m_Fleet.booked(Engine, Open.at("orderId")).empty();
  }

  /// The engine is at work on the open order, or has ended it.
  bool isAt(const std::string &Engine, const std::string &State) {
    const json Open = intent(Engine);
    const json Now = m_Fleet.engine(Engine);
    return Open.is_object() &&
           Now.value("order_id", "") == Open.at("orderId") &&
           Now.value("order_state", "") == State;
  }

  /// Waits for \p Reached at each engine in turn, kills its agent there and
  /// starts another.
  void killAgents(const std::string &Version, const std::string &Step,
                  const std::function<bool(const std::string &)> &Reached,
                  const std::function<void(const std::string &)> &Mend) {
    check(m_Fleet.submitVersion(Version), "the version was refused");
    std::set<std::string> Left(OrderFleet::engines().begin(),
                               OrderFleet::engines().end());
    while (!Left.empty()) {
      std::string Found;
      check(waitUntil(Patience,
                      [&] {
                        const auto At = std::ranges::find_if(Left, Reached);
                        if (At == Left.end())
                          return false;
                        Found = *At;
                        m_Fleet.process(Found).kill();
                        return true;
                      }),
            "no order came to the step: " + Step);
      Left.erase(Found);
      Mend(Found);
      m_Fleet.restart(Found);
    }
    check(m_Fleet.waitUntilSettled(Version),
          "not settled after a kill at: " + Step);
    STRCMP_EQUAL("", m_Fleet.conflicts().c_str());
  }
};

// Symptom: after an agent's crash its engine is half changed, runs an order
// twice, or two at once. Sequence: the agent is killed after the intent was
// written while work still drains; with the order on its way to the engine;
// while the engine is at work; after the engine has ended and before that is
// written. Another agent starts in its slot. Cause: what was sent last is known
// to nobody unless it stands in the table and is read back.
TEST(InterruptedOrder, IsFinishedByTheNextAgentWhereverTheFirstWasKilled) {
  auto Nothing = [](const std::string &) {};
  auto Pass = [&](const std::string &Engine) {
    m_Fleet.link("target:" + Engine, "pass");
    m_Fleet.link("platform:" + Engine, "pass");
  };

  // Long answers keep every engine draining when its order comes.
  std::vector<std::thread> Callers;
  for (int Index = 0; Index < 6; ++Index)
    Callers.emplace_back([&, Index] {
      call(m_Fleet.callers(Index % 2 ? "entry-1" : "entry-2"), "POST",
           "/v1/completions", completionBody("desk", "A long note", 600));
    });
  check(waitUntil(Patience,
                  [&] {
                    return std::ranges::all_of(
                        OrderFleet::engines(), [&](const std::string &Id) {
                          return m_Fleet.engine(Id).value("running", 0) > 0;
                        });
                  }),
        "the callers did not reach both engines");
  killAgents(
      "2", "draining",
      [&](const std::string &Engine) { return intended(Engine); }, Nothing);
  for (std::thread &Each : Callers)
    Each.join();

  for (const std::string &Each : OrderFleet::engines())
    m_Fleet.link("target:" + Each, "delay", milliseconds(400));
  killAgents(
      "3", "on its way",
      [&](const std::string &Engine) { return intended(Engine); }, Pass);
  for (const std::string &Each : OrderFleet::engines())
    Pass(Each);

  killAgents(
      "4", "engine at work",
      [&](const std::string &Engine) { return isAt(Engine, "running"); },
      Nothing);

  killAgents(
      "5", "not yet written",
      [&](const std::string &Engine) {
        if (isAt(Engine, "running"))
          m_Fleet.link("platform:" + Engine, "cut");
        return isAt(Engine, "done");
      },
      Pass);
}

// Symptom: the engine is left without the model, or the fleet waits for ever
// for an order that nobody remembers. Sequence: the engine crashes in the
// middle of an order, then once it has taken effect and is not yet reported; it
// comes back with a new boot id and the models of its start. Cause: the engine
// forgets, and the agent took its word for the order's end.
TEST(InterruptedOrder, IsGivenAgainToAnEngineThatCrashed) {
  const char *Version = "2";
  for (const char *When : {"order", "order-effect"}) {
    for (const std::string &Each : OrderFleet::engines())
      m_Fleet.crashEngine(Each, When);
    check(m_Fleet.submitVersion(Version), "the version was refused");
    check(m_Fleet.waitUntilSettled(Version),
          std::string("not settled after a crash: ") + When);
    STRCMP_EQUAL("", m_Fleet.conflicts().c_str());
    Version = "3";
  }
}
