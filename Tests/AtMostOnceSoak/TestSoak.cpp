//===- TestSoak.cpp - Random faults under keyed calls ---------------------===//
//
// Callers send and repeat keys while one fault after another, drawn from a
// seed, hits links, agents, entries, services and the store. FIGLIFT_SEED and
// FIGLIFT_SOAK_SECONDS change what is run.
//
//===----------------------------------------------------------------------===//

#include "AtMostOnce/ServiceFleet.h"

#include "Support/WaitUntil.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <future>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned ServiceCount = 4;
constexpr unsigned CallerCount = 6;
constexpr unsigned RepeatsInTen = 3;

unsigned numberFrom(const char *Variable, unsigned Default) {
  const char *Text = std::getenv(Variable);
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10))
              : Default;
}

class Dice {
public:
  explicit Dice(unsigned Seed) : m_Random(Seed) {}
  unsigned upTo(unsigned Count) { return m_Random() % Count; }
  milliseconds between(unsigned Low, unsigned High) {
    return milliseconds(Low + upTo(High - Low));
  }
  template <typename List> const auto &anyOf(const List &Items) {
    return Items[upTo(Items.size())];
  }

private:
  std::mt19937 m_Random;
};

const std::array<std::string, 2> Entries{"entry-1", "entry-2"};
const std::array<std::string, 5> LinkModes{"cut", "freeze", "drop-up",
                                           "drop-down", "delay"};

} // namespace

TEST_GROUP(Soak) {
  ServiceFleet m_Services{ServiceCount};
  Fleet &m_Fleet = m_Services.fleet();
  std::atomic<bool> m_Over{false};
  std::map<std::string, unsigned> m_Faults;

  void setup() override {
    const std::string Problem = m_Services.waitUntilHeld();
    CHECK_TEXT(Problem.empty(), Problem.c_str());
  }

  /// Lets a fault last, or the soak end.
  void pass(milliseconds Time) {
    waitUntil(Time, [this] { return m_Over.load(); });
  }

  void callUntilOver(unsigned Seed) {
    Dice Random(Seed);
    std::vector<std::string> Keys;
    while (!m_Over) {
      const bool Repeat = !Keys.empty() && Random.upTo(10) < RepeatsInTen;
      const std::string Key = Repeat ? Random.anyOf(Keys) : freshKey();
      if (!Repeat)
        Keys.push_back(Key);
      const milliseconds Deadline = Random.between(300, 3000);
      const std::string &Entry = Random.anyOf(Entries);
      const Answer Got = m_Services.send(Entry, Key, Deadline);
      if (Got.Status != 200)
        m_Services.send(Entry == Entries[0] ? Entries[1] : Entries[0], Key,
                        Deadline);
    }
    // In the end each key is settled, and asked for once more.
    for (const std::string &Key : Keys)
      if (Random.upTo(10) < RepeatsInTen)
        m_Services.sendUntilSettled(Random.anyOf(Entries), Key);
  }

  void breakLink(Dice & Random, const std::string &Name) {
    m_Fleet.link(Name, Random.anyOf(LinkModes), milliseconds(200));
    pass(Random.between(200, 2500));
    m_Fleet.link(Name, "pass");
  }
  void restart(Dice & Random, const std::string &Name) {
    m_Fleet.process(Name).kill();
    pass(Random.between(1, 800));
    m_Fleet.restart(Name);
  }
  void pauseFor(Dice & Random, const std::string &Name) {
    m_Fleet.process(Name).pause();
    pass(Random.between(200, 4000));
    m_Fleet.process(Name).resume();
  }
  /// The VM of a dead home leaves the list; a new one takes its name when the
  /// slices have moved, since the list must not call a living process gone.
  void replaceVm(Dice & Random, const std::string &Home) {
    m_Fleet.process(Home).kill();
    pass(Random.between(1, 1500));
    m_Fleet.setVmState(Home, "gone");
    waitUntil(Patience, [&] {
      return std::ranges::none_of(
          m_Services.grants(), [&](const figlift::idempotency::Grant &Line) {
            return Line.Home == Home || Line.Home.empty();
          });
    });
    m_Fleet.setVmState(Home, "live");
    m_Fleet.restart(Home);
  }
  void stopInGoodOrder(const std::string &Home) {
    m_Fleet.process(Home).terminate();
    m_Fleet.process(Home).waitForExit(Patience);
    m_Fleet.restart(Home);
  }

  void fault(Dice & Random) {
    const std::string Home =
        "booking-core-" + std::to_string(1 + Random.upTo(ServiceCount));
    const std::string &Entry = Random.anyOf(Entries);
    const std::string Effect =
        Random.upTo(2) == 0 ? "before effect" : "after effect";
    switch (Random.upTo(10)) {
    case 0:
      ++m_Faults["link to agent"];
      return breakLink(Random, "agent:" + Home);
    case 1:
      ++m_Faults["link to service"];
      return breakLink(Random, "target:" + Home);
    case 2:
      ++m_Faults["link to platform"];
      return breakLink(Random, "platform:" + Home);
    case 3:
      ++m_Faults["agent killed"];
      return restart(Random, Home);
    case 4:
      ++m_Faults["entry killed"];
      return restart(Random, Entry);
    case 5:
      ++m_Faults["agent paused"];
      return pauseFor(Random, Home);
    case 6:
      ++m_Faults["service crashed"];
      m_Services.crashService(Home, Effect);
      return pass(Random.between(100, 500));
    case 7:
      ++m_Faults["store out"];
      m_Fleet.platformFault(Random.upTo(2) == 0 ? "down" : "slow",
                            Random.between(200, 900));
      pass(Random.between(500, 3000));
      return m_Fleet.platformFault("none");
    case 8:
      ++m_Faults["vm replaced"];
      return replaceVm(Random, Home);
    default:
      ++m_Faults["agent stopped in good order"];
      return stopInGoodOrder(Home);
    }
  }
};

TEST(Soak, NoKeyRunsTwiceAndNotRunIsTrue) {
  // Symptom: any broken promise. Sequence: drawn from the seed. Cause: faults
  // that meet, which no test of one fault shows.
  const unsigned Seed = numberFrom("FIGLIFT_SEED", 20260);
  const seconds Time(numberFrom("FIGLIFT_SOAK_SECONDS", 25));
  m_Services.setServices({{"service_time", "30ms"}});
  std::vector<std::future<void>> Callers;
  for (unsigned Index = 0; Index < CallerCount; ++Index)
    Callers.push_back(std::async(std::launch::async, [this, Seed, Index] {
      callUntilOver(Seed + 1 + Index);
    }));
  Dice Random(Seed);
  const auto End = std::chrono::steady_clock::now() + Time;
  while (std::chrono::steady_clock::now() < End)
    fault(Random);
  m_Over = true;
  for (auto &Each : Callers)
    Each.wait();
  std::string Figures = "\nseed " + std::to_string(Seed) + ": ";
  for (const auto &[Name, Times] : m_Faults)
    Figures += Name + " " + std::to_string(Times) + ", ";
  Figures += m_Services.figures();
  UT_PRINT(Figures.c_str());
  CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  const std::string Broken = m_Services.judge();
  CHECK_TEXT(Broken.empty(), Broken.c_str());
}
