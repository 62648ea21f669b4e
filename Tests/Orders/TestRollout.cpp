//===- TestRollout.cpp - A new version of a model -------------------------===//
//
// A change of the record goes engine by engine through planner and agents, and
// cuts no request; a version that engines fail to load is taken back.
//
//===----------------------------------------------------------------------===//

#include "OrderFleet.h"

#include "LibCore/ResultCode.h"
#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace figlift::test;
using nlohmann::json;

namespace {

/// Callers that ask one thing after the other: long prompts with one token,
/// and short prompts with long replies.
class MixedLoad {
public:
  explicit MixedLoad(const OrderFleet &Fleet) {
    constexpr int CallerCount = 6;
    for (int Index = 0; Index < CallerCount; ++Index)
      m_Callers.emplace_back([this, &Fleet, Index] {
        while (!m_Stopped)
          askOnce(Fleet.callers(Index % 2 ? "entry-1" : "entry-2"), Index);
      });
  }
  ~MixedLoad() { stop(); }

  void stop() {
    m_Stopped = true;
    for (std::thread &Each : m_Callers)
      Each.join();
    m_Callers.clear();
  }

  int whole() const { return m_Whole; }
  int refused() const { return m_Refused; }
  /// Answers that were neither whole nor a true refusal.
  std::string wrong() {
    const std::lock_guard Lock(m_Mutex);
    return m_Wrong;
  }

private:
  void askOnce(const std::string &Entry, int Index) {
    const bool IsLongPrompt = Index < 3;
    const std::string Prompt =
        IsLongPrompt ? std::string(6000, static_cast<char>('a' + Index))
                     : "Which jackets are back?" + std::to_string(Index);
    const unsigned Tokens = IsLongPrompt ? 1 : 80;
    const Answer Got = call(Entry, "POST", "/v1/completions",
                            completionBody("desk", Prompt, Tokens));
    if (Got.Status == 200 && Got.isStreamComplete() &&
        Got.streamedText() == expectedText(Prompt, Tokens)) {
      ++m_Whole;
      return;
    }
    if (Got.Status != 200 && Got.executed() == "not-run") {
      ++m_Refused;
      return;
    }
    const std::lock_guard Lock(m_Mutex);
    m_Wrong +=
        std::to_string(Got.Status) + " " +
        Got.Body.substr(Got.Body.size() > 300 ? Got.Body.size() - 300 : 0) +
        "\n";
  }

  std::atomic<bool> m_Stopped{false};
  std::atomic<int> m_Whole{0};
  std::atomic<int> m_Refused{0};
  std::mutex m_Mutex;
  std::string m_Wrong;
  std::vector<std::thread> m_Callers;
};

} // namespace

TEST_GROUP(Rollout) {
  OrderFleet m_Fleet{{.OrderDuration = "1s"}};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  void check(bool Holds, const char *What) {
    if (!Holds)
      FAIL((std::string(What) + "\n" + m_Fleet.report()).c_str());
  }

  /// Orders of all planners so far to load \p Version.
  std::vector<json> loads(const std::string &Version) {
    std::vector<json> Found;
    for (const char *Entry : {"entry-1", "entry-2"})
      for (const json &Each : m_Fleet.logged(Entry, "order-given"))
        if (Each.at("change") == "load desk@" + Version)
          Found.push_back(Each);
    return Found;
  }
};

// Symptom: callers lose the rest of their answer, or find no engine, because a
// model gets a new version. Sequence: a mixed load runs; the record names
// version 2; every engine in turn drains, loads and serves again. Cause: an
// order cuts what runs on the engine, and two engines away leave none.
TEST(Rollout, GoesEngineByEngineUnderLoadAndCutsNothing) {
  MixedLoad Load(m_Fleet);
  check(waitUntil(Patience, [&] { return Load.whole() > 20; }),
        "the load does not run");
  CHECK(m_Fleet.submitVersion("2"));
  bool BothAway = false;
  check(waitUntil(Patience * 2,
                  [&] {
                    const auto Away = std::ranges::count_if(
                        OrderFleet::engines(), [&](const std::string &Id) {
                          return m_Fleet.engine(Id).value("order_state", "") ==
                                 "running";
                        });
                    BothAway |= Away > 1;
                    return m_Fleet.settledAt("2");
                  }),
        "the version is not everywhere");
  const int AtTheEnd = Load.whole();
  check(waitUntil(Patience, [&] { return Load.whole() > AtTheEnd + 20; }),
        "the load does not go on");
  Load.stop();
  STRCMP_EQUAL("", Load.wrong().c_str());
  LONGS_EQUAL_TEXT(0, Load.refused(), "requests refused");
  CHECK_FALSE(BothAway);
  for (const std::string &Id : OrderFleet::engines()) {
    const json Book = m_Fleet.book(Id);
    for (const json &Each : Book.at("requests"))
      CHECK_TEXT(Each.at("outcome") != "cut", Each.dump().c_str());
  }
  STRCMP_EQUAL("", m_Fleet.conflicts().c_str());
  UT_PRINT((std::to_string(Load.whole()) + " whole answers").c_str());
}

// Symptom: a broken version takes one engine after the other away. Sequence:
// engines fail to load version 2; the planner tries it twice on one engine and
// takes it back; the operator submits version 3. Cause: a rollout that does not
// wait for the first engine to prove the version.
TEST(Rollout, TakesAVersionBackThatEnginesFailToLoad) {
  for (const std::string &Id : OrderFleet::engines())
    m_Fleet.setEngine(Id, {{"fail_orders", 1000}});
  MixedLoad Load(m_Fleet);
  CHECK(m_Fleet.submitVersion("2"));
  // Engines that failed a load; an order that an agent refused is no try.
  auto Failed = [&] {
    std::vector<json> Found;
    for (const char *Entry : {"entry-1", "entry-2"})
      for (const json &Each : m_Fleet.logged(Entry, "order-ended"))
        if (Each.at("code") ==
            static_cast<int>(figlift::ResultCode::OrderRejectedByTarget))
          Found.push_back(Each);
    return Found;
  };
  check(waitUntil(Patience * 2, [&] { return Failed().size() >= 2; }),
        "the version was not tried twice");
  const int Whole = Load.whole();
  check(waitUntil(Patience, [&] { return Load.whole() > Whole + 20; }),
        "the old version is not served");
  check(m_Fleet.waitUntilSettled("1"), "the old version is not everywhere");
  for (const std::string &Id : OrderFleet::engines())
    m_Fleet.setEngine(Id, {{"fail_orders", 0}});
  CHECK(m_Fleet.submitVersion("3"));
  check(m_Fleet.waitUntilSettled("3"), "the next version is not everywhere");
  Load.stop();
  STRCMP_EQUAL("", Load.wrong().c_str());
  const std::vector<json> Tries = Failed();
  LONGS_EQUAL(2, Tries.size());
  CHECK(Tries[0].at("target") == Tries[1].at("target"));
  for (const json &Each : loads("2"))
    CHECK_TEXT(Each.at("time") < Tries[1].at("time"), "ordered again");
  STRCMP_EQUAL("", m_Fleet.conflicts().c_str());
}

// Symptom: an engine that has its adapter is ordered to load it again and again
// and never comes to serve in peace. Sequence: the record names an adapter; the
// engines load it; the planner looks at the agents' reports. Cause: agents
// reported models without their adapters.
TEST(Rollout, LoadsAnAdapterOnceOnEachEngine) {
  auto Record = [](const std::string &Version) {
    return R"({"schemaVersion": 2, "kind": "backEnd", "name": "lm-desk",
      "spec": {"type": "model", "roles": {"mixed": 1}, "models": [
        {"name": "desk", "adapters": ["ski"], "version": ")" +
           Version + "\"}]}}";
  };
  auto IsEverywhere = [&](const std::string &Version) {
    const json Wanted = json::array(
        {{{"name", "desk"}, {"version", Version}, {"adapters", {"ski"}}}});
    return std::ranges::all_of(
        OrderFleet::engines(), [&](const std::string &Id) {
          return m_Fleet.engine(Id).value("models", json()) == Wanted;
        });
  };
  for (const char *Version : {"1", "2"}) {
    CHECK(m_Fleet.submit(Record(Version)));
    check(waitUntil(Patience * 2, [&] { return IsEverywhere(Version); }),
          "the adapter is not everywhere");
  }
  LONGS_EQUAL(2, loads("1+ski").size());
  STRCMP_EQUAL("", m_Fleet.conflicts().c_str());
}
