//===- TestHomes.cpp - Homes that die, come back, pause and move ----------===//
//
// A key's home changes in every way that there is, under calls.
//
//===----------------------------------------------------------------------===//

#include "ServiceFleet.h"

#include "Support/WaitUntil.h"

#include <atomic>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Home = "booking-core-1";
const std::string Other = "booking-core-2";
constexpr milliseconds ShortDeadline{1500};

} // namespace

TEST_GROUP(Homes) {
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
  void checkUnknown(const Answer &Got) {
    CHECK_EQUAL_TEXT(OutcomeUnknownCode, Got.resultCode(), Got.Body.c_str());
  }
  /// Starts a call of \p Key and returns when the service runs it.
  std::future<Answer> begin(const std::string &Key,
                            milliseconds Deadline = ShortDeadline) {
    auto Call = std::async(std::launch::async, [this, Key, Deadline] {
      return m_Services.send("entry-1", Key, Deadline);
    });
    CHECK_TRUE(m_Services.waitForRunning(1));
    return Call;
  }
  void waitForHome(const std::string &Key, const std::string &Wanted) {
    CHECK_TRUE(
        waitUntil(Patience, [&] { return m_Services.homeOf(Key) == Wanted; }));
  }
};

TEST(Homes, RestartInTheSameSlot) {
  // Symptom: keys of before a restart run again.
  // Sequence: one key was answered, one is at the service and one was never
  // sent when the home is killed; it comes back in the same slot, without its
  // claims.
  // Cause: a home that lost its claims takes every key for a new one.
  const std::string Answered = m_Services.keyAt(Home);
  CHECK_EQUAL(200, m_Services.send("entry-1", Answered).Status);
  const std::string Unsent = m_Services.keyAt(Home);
  m_Services.setServices({{"service_time", "500ms"}});
  const std::string Open = m_Services.keyAt(Home);
  auto Call = begin(Open);
  m_Fleet.process(Home).kill();
  m_Fleet.restart(Home);
  checkUnknown(Call.get());
  for (const std::string &Key : {Answered, Open, Unsent})
    checkUnknown(m_Services.sendUntilSettled("entry-2", Key));
  CHECK_EQUAL(0, m_Services.executionsOf(Unsent));
  const Answer New =
      m_Services.sendUntilSettled("entry-1", m_Services.newKeyAt(Home));
  CHECK_EQUAL_TEXT(200, New.Status, New.Body.c_str());
}

TEST(Homes, WriteOfADeadHomeComesAfterItsRestart) {
  // Symptom: a key that ran at the restarted home runs again at another.
  // Sequence: a home that stops has given its claims to its successor and its
  // write of the successor's grants hangs on the way to the table; it is
  // killed and comes back in the same slot; a new key runs there; the write
  // takes effect; the caller repeats the key.
  // Cause: the restarted home read that the slices are its own and took that
  // for an end of the older write.
  m_Services.slowSliceWrites(seconds(5));
  m_Fleet.process(Home).terminate();
  CHECK_TRUE(waitUntil(
      Patience, [&] { return m_Services.platformStatistic("faults") > 0; }));
  m_Fleet.process(Home).kill();
  m_Fleet.platformFault("none");
  m_Fleet.restart(Home);
  // Until the late write has taken effect or failed.
  std::vector<std::string> Keys;
  while (m_Services.platformStatistic("delayed") > 0) {
    Keys.push_back(freshKey());
    m_Services.send("entry-1", Keys.back(), ShortDeadline);
  }
  CHECK_FALSE(Keys.empty());
  // An entry that starts now knows the row alone.
  m_Fleet.process("entry-2").kill();
  m_Fleet.restart("entry-2");
  const std::string New = m_Services.newKeyAt(m_Services.homeOf(Keys.back()));
  CHECK_EQUAL(200, m_Services.sendUntilSettled("entry-2", New).Status);
  for (const std::string &Key : Keys)
    m_Services.sendUntilSettled("entry-2", Key);
}

TEST(Homes, KilledForGoodIsReplacedWhenTheListSaysSo) {
  // Symptom: keys of a dead home run again at the next one, or the slices
  // move while the home may still live.
  // Sequence: the home is killed in mid-call and stays listed as live for a
  // while; then the list says that its VM is gone.
  // Cause: silence is taken for death; or the next home takes keys that it
  // does not know for new ones.
  const std::string Answered = m_Services.keyAt(Home);
  CHECK_EQUAL(200, m_Services.send("entry-1", Answered).Status);
  const std::string Unsent = m_Services.keyAt(Home);
  m_Services.setServices({{"service_time", "300ms"}});
  const std::string Open = m_Services.keyAt(Home);
  auto Call = begin(Open);
  m_Fleet.process(Home).kill();
  Call.wait();
  // Both entries notice the death; the slices stay where they are.
  for (const char *Entry : {"entry-1", "entry-2"}) {
    const Answer Got = m_Services.send(Entry, Unsent);
    CHECK_EQUAL_TEXT("not-run", Got.executed(), Got.Body.c_str());
    CHECK_EQUAL(Home, m_Services.homeOf(Unsent));
  }
  m_Fleet.setVmState(Home, "gone");
  waitForHome(Unsent, Other);
  for (const std::string &Key : {Answered, Open, Unsent})
    checkUnknown(m_Services.sendUntilSettled("entry-2", Key));
  const Answer New =
      m_Services.sendUntilSettled("entry-1", m_Services.newKeyAt(Other));
  CHECK_EQUAL_TEXT(200, New.Status, New.Body.c_str());
}

TEST(Homes, PausedHomeWakesAfterItsTakeover) {
  // Symptom: a call runs at the next home and once more when the paused home
  // wakes.
  // Sequence: the home is stopped in mid-call and takes further calls into its
  // socket; the list says that its VM is gone; its slices are taken over; the
  // callers repeat their keys; the home wakes.
  // Cause: the home cannot know that it has lost its slices, and the next one
  // does not know what lies in the sockets of the first.
  m_Services.setServices({{"service_time", "300ms"}});
  const std::string Open = m_Services.keyAt(Home);
  std::vector<std::string> Late;
  for (unsigned Index = 0; Index < 4; ++Index)
    Late.push_back(m_Services.keyAt(Home));
  auto Call = begin(Open);
  m_Fleet.process(Home).pause();
  std::vector<std::future<Answer>> Buffered;
  for (const std::string &Key : Late)
    Buffered.push_back(std::async(std::launch::async, [this, Key] {
      return m_Services.send("entry-2", Key, ShortDeadline);
    }));
  Call.wait();
  for (auto &Each : Buffered)
    Each.wait();
  m_Fleet.setVmState(Home, "gone");
  waitForHome(Open, Other);
  Late.push_back(Open);
  for (const std::string &Key : Late)
    checkUnknown(m_Services.sendUntilSettled("entry-2", Key));
  const std::string New = m_Services.newKeyAt(Other);
  CHECK_EQUAL(200, m_Services.sendUntilSettled("entry-1", New).Status);
  m_Fleet.process(Home).resume();
  CHECK_TRUE(
      waitUntil(Patience, [&] { return m_Services.slicesHeld(Home) == 0; }));
  Late.push_back(New);
  for (const std::string &Key : Late)
    for (const char *Entry : {"entry-1", "entry-2"})
      m_Services.sendUntilSettled(Entry, Key);
}

TEST(Homes, GracefulStopHandsItsAnswersOver) {
  // Symptom: after a planned stop repeated keys are unknown or run again.
  // Sequence: callers send keys and repeat them while their home is stopped in
  // good order.
  // Cause: the claims stay behind, or keys run at both homes meanwhile.
  m_Services.setServices({{"service_time", "20ms"}});
  std::atomic<bool> Stopped{false};
  std::vector<std::future<std::string>> Callers;
  for (unsigned Index = 0; Index < 4; ++Index)
    Callers.push_back(std::async(std::launch::async, [this, &Stopped] {
      std::vector<std::pair<std::string, std::string>> Bodies;
      while (!Stopped) {
        const std::string Key = freshKey();
        const Answer Got = m_Services.sendUntilSettled("entry-1", Key);
        if (Got.Status != 200)
          return "cut by a planned stop: " + Got.Body;
        Bodies.emplace_back(Key, Got.Body);
      }
      for (const auto &[Key, Body] : Bodies)
        if (const Answer Again = m_Services.sendUntilSettled("entry-2", Key);
            Again.Body != Body)
          return "another answer for a repeated key: " + Again.Body;
      return std::string();
    }));
  const std::string Before = m_Services.keyAt(Home);
  const Answer First = m_Services.sendUntilSettled("entry-1", Before);
  m_Fleet.setVmState(Home, "leaving");
  m_Fleet.process(Home).terminate();
  const auto Exit = m_Fleet.process(Home).waitForExit(Patience);
  Stopped = true;
  for (auto &Each : Callers) {
    const std::string Problem = Each.get();
    CHECK_TEXT(Problem.empty(), Problem.c_str());
  }
  CHECK_TRUE(Exit == 0);
  CHECK_EQUAL(Other, m_Services.homeOf(Before));
  CHECK_EQUAL(First.Body, m_Services.send("entry-2", Before).Body);
}
