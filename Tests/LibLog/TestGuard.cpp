//===- TestGuard.cpp - Boundary for unexpected exceptions -----------------===//
//
// What a guarded function throws must be logged with the message that caused
// it, counted, and go no further.
//
//===----------------------------------------------------------------------===//

#include "LibLog/Guard.h"

#include "LibCore/Clock.h"
#include "LibLog/Log.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift::log;
using Json = nlohmann::json;

TEST_GROUP(Guard) {
  std::vector<std::string> Lines;
  uint64_t Before = droppedMessages();

  void setup() override {
    // The limit on lines applies to each second of the clock.
    const auto Second = [] {
      return std::chrono::floor<std::chrono::seconds>(
          figlift::BootClock::now());
    };
    const auto Start = Second();
    while (Second() == Start)
      std::this_thread::yield();
    Options Recorded;
    Recorded.Sink = [this](std::string_view Line) { Lines.emplace_back(Line); };
    configure(Recorded);
  }
  void teardown() override { configure({}); }
};

// Failure: an unexpected exception ends the process, or nobody learns which
// message caused it.
TEST(Guard, NamesReasonAndMessage) {
  CHECK(!guarded("page", "the store", [] {
    const HandledMessage Inner("entry", "s-1");
    throw std::runtime_error("no part");
  }));
  LONGS_EQUAL(1, droppedMessages() - Before);
  LONGS_EQUAL(1, Lines.size());
  const Json Line = Json::parse(Lines[0]);
  CHECK(Line["event"] == "message-dropped");
  CHECK(Line["reason"] == "no part");
  CHECK(Line["message"] == "entry from s-1");
}

// Failure: the line names the message of an earlier exception.
TEST(Guard, NamesItsOwnMessageAfterAnEarlierException) {
  const auto Throw = [] { throw std::runtime_error("odd"); };
  CHECK(!guarded("page", "the store", Throw));
  CHECK(!guarded("datagram", "10.0.0.1", Throw));
  LONGS_EQUAL(2, Lines.size());
  CHECK(Json::parse(Lines[1])["message"] == "datagram from 10.0.0.1");
}

// Failure: what is thrown is no std::exception, and ends the process.
TEST(Guard, CatchesEverything) {
  CHECK(!guarded("page", "the store", [] { throw 5; }));
  LONGS_EQUAL(1, Lines.size());
  CHECK(Json::parse(Lines[0])["reason"] == "not a std::exception");
}

// Failure: the log itself throws while an exception is recorded.
TEST(Guard, SurvivesALogThatThrows) {
  Options Failing;
  Failing.Sink = [](std::string_view) { throw std::bad_alloc(); };
  configure(Failing);
  CHECK(!guarded("page", "the store", [] { throw 5; }));
  LONGS_EQUAL(1, droppedMessages() - Before);
}

// Failure: a sender of odd messages fills the log.
TEST(Guard, BoundsItsLinesAndCountsAll) {
  for (int I = 0; I < 100; ++I)
    guarded("datagram", "10.0.0.1", [] { throw 5; });
  LONGS_EQUAL(100, droppedMessages() - Before);
  // The loop may run across the end of a second.
  CHECK(Lines.size() >= 10);
  CHECK(Lines.size() <= 20);
}

TEST(Guard, LeavesWhatDoesNotThrowAlone) {
  int Calls = 0;
  CHECK(guarded("page", "the store", [&] { ++Calls; }));
  LONGS_EQUAL(1, Calls);
  LONGS_EQUAL(0, droppedMessages() - Before);
  CHECK(Lines.empty());
}
