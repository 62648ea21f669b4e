//===- TestOutage.cpp - Keyed calls while the store is out ----------------===//
//
// Homes need no store while they live, so an outage costs no call.
//
//===----------------------------------------------------------------------===//

#include "AtMostOnce/ServiceFleet.h"

#include "Support/WaitUntil.h"

#include <atomic>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr seconds Before{3};
constexpr seconds Outage{10};
constexpr unsigned CallerCount = 4;

struct Served {
  std::atomic<unsigned> Sent{0};
  std::atomic<unsigned> Answered{0};

  std::string describe(seconds Time) const {
    return std::to_string(Answered) + " of " + std::to_string(Sent) +
           " calls answered, " +
           std::to_string(Answered / static_cast<unsigned>(Time.count())) +
           "/s; ";
  }
};

} // namespace

TEST_GROUP(Outage) {
  ServiceFleet m_Services{2};
  Fleet &m_Fleet = m_Services.fleet();

  void setup() override {
    const std::string Problem = m_Services.waitUntilHeld();
    CHECK_TEXT(Problem.empty(), Problem.c_str());
  }
  void teardown() override {
    const std::string Broken = m_Services.judge();
    CHECK_TEXT(Broken.empty(), Broken.c_str());
  }

  /// Callers send new keys, each twice through different entries, for \p Time.
  /// The first caller sends those for which \p Counts is false as well, which
  /// go uncounted: refusals take longer than answers.
  void load(Served & Into, seconds Time,
            const std::function<bool(const std::string &)> &Counts) {
    std::vector<std::future<void>> Callers;
    const auto End = SteadyClock::now() + Time;
    for (unsigned Index = 0; Index < CallerCount; ++Index)
      Callers.push_back(std::async(std::launch::async, [&, End, Index] {
        while (SteadyClock::now() < End) {
          const std::string Key = freshKey();
          const bool Counted = Counts(Key);
          if (!Counted && Index != 0)
            continue;
          const Answer First = m_Services.send("entry-1", Key);
          const Answer Second = m_Services.send("entry-2", Key);
          if (!Counted)
            continue;
          Into.Sent += 2;
          Into.Answered += (First.Status == 200) + (Second.Status == 200);
        }
      }));
  }
};

TEST(Outage, KeyedCallsGoOnWithoutTheStore) {
  // Symptom: families lose their slots while the store is out, or keys run
  // twice.
  // Sequence: the store refuses everything for ten seconds; callers go on;
  // one home is killed in the outage and comes back in its slot.
  // Cause: each call, or each home, needs a write to go on.
  figlift::idempotency::HomeDirectory Homes;
  const auto Known = m_Services.grants();
  Homes.learn(Known);
  const std::string Home = "booking-core-1";
  auto All = [](const std::string &) { return true; };
  auto OfTheOther = [&](const std::string &Key) {
    return Homes.homeOf(std::string_view(Key)).Home != Home;
  };
  Served Normal;
  load(Normal, Before, All);
  m_Fleet.platformFault("down");
  Served FirstHalf;
  load(FirstHalf, Outage / 2, All);
  m_Fleet.process(Home).kill();
  m_Fleet.restart(Home);
  Served SecondHalf;
  load(SecondHalf, Outage / 2, OfTheOther);
  // The home whose claims were lost does nothing before it has the row.
  CHECK_EQUAL(0, m_Services.slicesHeld(Home));
  m_Fleet.platformFault("none");
  CHECK_TRUE(
      waitUntil(Patience, [&] { return m_Services.slicesHeld(Home) > 0; }));
  const Answer Back =
      m_Services.sendUntilSettled("entry-1", m_Services.newKeyAt(Home));
  CHECK_EQUAL_TEXT(200, Back.Status, Back.Body.c_str());
  const std::string Figures =
      "\nbefore: " + Normal.describe(Before) +
      "outage: " + FirstHalf.describe(Outage / 2) +
      "outage, other home restarted: " + SecondHalf.describe(Outage / 2) +
      m_Services.figures();
  UT_PRINT(Figures.c_str());
  for (const Served *Each : {&Normal, &FirstHalf, &SecondHalf}) {
    CHECK_TRUE(Each->Sent > 0);
    CHECK_EQUAL_TEXT(Each->Sent, Each->Answered, Figures.c_str());
  }
}
