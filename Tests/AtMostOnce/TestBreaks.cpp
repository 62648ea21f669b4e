//===- TestBreaks.cpp - Repeated keys after every kind of break -----------===//
//
// Callers repeat their keys while links and processes fail around a call.
//
//===----------------------------------------------------------------------===//

#include "ServiceFleet.h"

#include "Support/WaitUntil.h"

#include "LibCore/Ids.h"

#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds ShortDeadline{1200};

struct Break {
  std::string Link;
  std::string Mode;
};

/// A caller's attempt with the link broken before, during and after it, each
/// followed by repetitions through the other entry once the link is whole.
/// Returns what went wrong, or nothing.
std::string breakAround(ServiceFleet &Of, const std::string &Home,
                        const Break &What) {
  const std::string Link = What.Link + ":" + Home;
  const std::string Case = Link + " " + What.Mode;
  auto Settle = [&](const std::string &Key) {
    Of.fleet().link(Link, "pass");
    const Answer Got = Of.sendUntilSettled("entry-2", Key);
    return Got.Status == 200 || Got.resultCode() == OutcomeUnknownCode;
  };
  const std::string Before = Of.keyAt(Home);
  Of.fleet().link(Link, What.Mode);
  Of.send("entry-1", Before, ShortDeadline);
  if (!Settle(Before))
    return Case + ": no end after a break before the call";

  const std::string During = Of.keyAt(Home);
  auto First = std::async(std::launch::async, [&] {
    return Of.send("entry-1", During, ShortDeadline);
  });
  const bool Begun = waitUntil(Patience, [&] {
    return Of.fleet().book(Home).value("running", 0) > 0 ||
           First.wait_for(seconds(0)) == std::future_status::ready;
  });
  Of.fleet().link(Link, What.Mode);
  First.wait();
  if (!Begun || !Settle(During))
    return Case + ": no end after a break during the call";

  const std::string After = Of.keyAt(Home);
  const Answer Whole = Of.sendUntilSettled("entry-1", After);
  Of.fleet().link(Link, What.Mode);
  Of.send("entry-1", After, ShortDeadline);
  if (!Settle(After))
    return Case + ": no end after a break after the call";
  const Answer Again = Of.send("entry-2", After);
  if (Whole.Status == 200 && Again.Body != Whole.Body)
    return Case + ": a repeated key got another answer: " + Again.Body;
  return {};
}

std::string keyMintedAt(WallTime Minted) {
  static uint64_t Count = 0;
  return Uuid::makeVersion7(Minted, 7, ++Count).toString();
}

} // namespace

TEST_GROUP(Breaks) {
  ServiceFleet m_Services{4};
  Fleet &m_Fleet = m_Services.fleet();

  void setup() override {
    const std::string Problem = m_Services.waitUntilHeld();
    CHECK_TEXT(Problem.empty(), Problem.c_str());
  }
  void teardown() override {
    const std::string Broken = m_Services.judge();
    CHECK_TEXT(Broken.empty(), Broken.c_str());
  }
  void check(const std::string &Problem) {
    CHECK_TEXT(Problem.empty(), Problem.c_str());
  }
};

TEST(Breaks, RepeatThroughTheOtherEntryJoinsTheCallInFlight) {
  // Symptom: two schools hold one child's slot.
  // Sequence: a caller's call runs; its client gives up waiting and sends the
  // same key through another entry before the first answer is there.
  // Cause: each entry takes its call for the only one.
  m_Services.setServices({{"service_time", "1s"}});
  const std::string Key = freshKey();
  auto First = std::async(std::launch::async,
                          [&] { return m_Services.send("entry-1", Key); });
  CHECK_TRUE(m_Services.waitForRunning(1));
  const Answer Second = m_Services.send("entry-2", Key);
  const Answer Told = First.get();
  CHECK_EQUAL_TEXT(200, Told.Status, Told.Body.c_str());
  CHECK_EQUAL_TEXT(200, Second.Status, Second.Body.c_str());
  CHECK_EQUAL(Told.Body, Second.Body);
  CHECK_EQUAL(0, Told.Fields.count("X-Figlift-Replayed"));
  CHECK_EQUAL(1, Second.Fields.count("X-Figlift-Replayed"));
  CHECK_EQUAL(1, m_Services.count("received"));
}

TEST(Breaks, ManyCallersOfOneKeyGetOneAnswer) {
  // Symptom: a doubled pickup sends two vans.
  // Sequence: several callers send one key through both entries at once.
  // Cause: claims are checked and made in two steps.
  m_Services.setServices({{"service_time", "50ms"}});
  constexpr unsigned Keys = 12;
  std::vector<std::future<Answer>> Calls;
  for (unsigned Index = 0; Index < Keys; ++Index) {
    const std::string Key = freshKey();
    for (const char *Entry : {"entry-1", "entry-2", "entry-1", "entry-2"})
      Calls.push_back(std::async(std::launch::async, [this, Entry, Key] {
        return m_Services.send(Entry, Key);
      }));
  }
  for (auto &Each : Calls) {
    const Answer Got = Each.get();
    CHECK_EQUAL_TEXT(200, Got.Status, Got.Body.c_str());
  }
  CHECK_EQUAL(Keys, m_Services.count("total"));
}

TEST(Breaks, EveryBreakOfALinkLeavesAtMostOneRun) {
  // Symptom: a repeated call runs twice, or is refused as not run after it
  // ran.
  // Sequence: the link from the entries to the home, or from the home to its
  // service, is cut, frozen or loses one direction before, during or after a
  // call; the caller repeats the key.
  // Cause: a lost answer is taken for a lost request, or the other way round.
  m_Services.setServices({{"service_time", "100ms"}});
  std::vector<std::future<std::string>> Lanes;
  auto Lane = [this, &Lanes](std::string Home, std::vector<Break> Cases) {
    Lanes.push_back(std::async(std::launch::async, [this, Home, Cases] {
      std::string Problem;
      for (const Break &Each : Cases)
        if (Problem.empty())
          Problem = breakAround(m_Services, Home, Each);
      return Problem;
    }));
  };
  Lane("booking-core-1", {{"agent", "cut"}, {"target", "drop-down"}});
  Lane("booking-core-2", {{"agent", "freeze"}, {"target", "cut"}});
  Lane("booking-core-3", {{"agent", "drop-up"}, {"target", "freeze"}});
  Lane("booking-core-4", {{"agent", "drop-down"}, {"target", "drop-up"}});
  for (auto &Each : Lanes)
    check(Each.get());
  UT_PRINT(m_Services.figures().c_str());
}

TEST(Breaks, EntryKilledInMidCall) {
  // Symptom: the retry of a call whose entry died runs a second time.
  // Sequence: the service runs the call; the entry is killed; the caller
  // repeats the key through the other entry and later through the restarted
  // one.
  // Cause: the claim dies with the entry.
  m_Services.setServices({{"service_time", "800ms"}});
  const std::string Key = freshKey();
  auto First = std::async(std::launch::async,
                          [&] { return m_Services.send("entry-1", Key); });
  CHECK_TRUE(m_Services.waitForRunning(1));
  m_Fleet.process("entry-1").kill();
  CHECK_EQUAL(0, First.get().Status);
  const Answer Second = m_Services.send("entry-2", Key);
  CHECK_EQUAL_TEXT(200, Second.Status, Second.Body.c_str());
  m_Fleet.restart("entry-1");
  const Answer Third = m_Services.sendUntilSettled("entry-1", Key);
  CHECK_EQUAL(Second.Body, Third.Body);
  CHECK_EQUAL(1, m_Services.count("received"));
}

TEST(Breaks, ServiceCrashLeavesTheOutcomeUnknown) {
  // Symptom: a call whose service died runs again, or counts as not run
  // though its effect is there.
  // Sequence: the service dies before or after the effect of a call, without
  // an answer; the caller repeats the key.
  // Cause: a closed connection is taken for proof that nothing ran.
  for (const std::string When : {"before effect", "after effect"}) {
    const std::string Key = m_Services.keyAt("booking-core-1");
    m_Services.crashService("booking-core-1", When);
    const Answer First = m_Services.send("entry-1", Key);
    CHECK_EQUAL_TEXT(OutcomeUnknownCode, First.resultCode(),
                     First.Body.c_str());
    const Answer Second = m_Services.sendUntilSettled("entry-2", Key);
    CHECK_EQUAL_TEXT(OutcomeUnknownCode, Second.resultCode(),
                     Second.Body.c_str());
    CHECK_EQUAL(When == "after effect" ? 1 : 0, m_Services.executionsOf(Key));
    // The service is back when a new key gets its answer.
    waitUntil(Patience, [&] {
      const std::string Next = m_Services.keyAt("booking-core-1");
      return m_Services.send("entry-1", Next).Status == 200;
    });
  }
}

TEST(Breaks, CallsWithoutAKeyAreSentOnce) {
  // Symptom: a call without a key runs twice after its answer was lost.
  // Sequence: the service dies before or after the effect, or the link to the
  // home is cut while the call runs.
  // Cause: the entry or the HTTP client sends the call again by itself.
  int Sent = 0;
  for (const std::string When : {"before effect", "after effect"}) {
    for (unsigned Index = 1; Index <= 4; ++Index)
      m_Services.crashService("booking-core-" + std::to_string(Index), When);
    const Answer Got = m_Services.send("entry-1", "");
    CHECK_EQUAL_TEXT(OutcomeUnknownCode, Got.resultCode(), Got.Body.c_str());
    ++Sent;
    CHECK_EQUAL(Sent, m_Services.count("received"));
  }
  m_Services.setServices({{"service_time", "500ms"}});
  auto Cut = std::async(std::launch::async,
                        [&] { return m_Services.send("entry-2", ""); });
  CHECK_TRUE(m_Services.waitForRunning(1));
  for (unsigned Index = 1; Index <= 4; ++Index)
    m_Fleet.link("agent:booking-core-" + std::to_string(Index), "cut");
  CHECK_EQUAL(OutcomeUnknownCode, Cut.get().resultCode());
  CHECK_TRUE(m_Services.waitForRunning(0));
  ++Sent;
  CHECK_EQUAL(Sent, m_Services.count("received"));
  // One effect of the crash after it, one of the call that was cut off.
  CHECK_EQUAL(2, m_Services.count("total"));
}

TEST(Breaks, KeysOfOtherTimesAndForms) {
  // Symptom: a key minted in the future or long ago runs twice, or is refused
  // as not run after it ran.
  // Sequence: callers send keys minted ahead of the home's clock, keys older
  // than the claims are kept, and keys that say no time at all.
  // Cause: the mint time is trusted without bounds.
  const WallTime Now = wallNow();
  const Answer Ahead =
      m_Services.send("entry-1", keyMintedAt(Now + std::chrono::hours(1)));
  CHECK_EQUAL_TEXT(KeyTooFarAheadCode, Ahead.resultCode(), Ahead.Body.c_str());
  CHECK_EQUAL("not-run", Ahead.executed());
  const Answer Old =
      m_Services.send("entry-1", keyMintedAt(Now - std::chrono::hours(30)));
  CHECK_EQUAL_TEXT(OutcomeUnknownCode, Old.resultCode(), Old.Body.c_str());
  const std::string Slow = keyMintedAt(Now - std::chrono::minutes(1));
  for (const std::string Key : {std::string("order-4711"), Slow}) {
    const Answer First = m_Services.send("entry-1", Key);
    CHECK_EQUAL_TEXT(200, First.Status, First.Body.c_str());
    CHECK_EQUAL(First.Body, m_Services.send("entry-2", Key).Body);
  }
}
