//===- TestCallerReconnects.cpp - Callers whose entry was killed ----------===//
//
// Callers repeat their requests through another entry with the same idempotency
// key. The response is always complete, and it is not computed again if an
// agent still holds it.
//
//===----------------------------------------------------------------------===//

#include "StreamBurst.h"
#include "Support/WaitUntil.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::test;
using nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr unsigned Streams = 16;
constexpr unsigned Tokens = 300;
constexpr seconds Limit{20};

FleetOptions reconnectFleet() {
  FleetOptions Options = smallFleet();
  Options.Targets.pop_back();
  for (const char *Id : {"lm-desk-3", "lm-desk-4"}) {
    Options.Targets.push_back(Options.Targets.front());
    Options.Targets.back().Id = Id;
  }
  for (TargetOptions &Target : Options.Targets)
    Target.StandInFlags = {"--decode-step", "8ms", "--decode-per-sequence",
                           "0ms"};
  return Options;
}

} // namespace

TEST_GROUP(CallerReconnects) {
  Fleet m_Fleet{reconnectFleet()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  /// Kills entry-1 after all streams have started.
  void killEntryDuring(StreamBurst & Burst) {
    CHECK_TRUE(Burst.waitUntilAllStarted(Limit));
    m_Fleet.process("entry-1").kill();
    CHECK_TRUE(m_Fleet.process("entry-1").waitForExit(Limit).has_value());
  }
  bool isLossDetectedByAgents() {
    for (const char *Id : {"lm-desk-1", "lm-desk-2", "lm-desk-3", "lm-desk-4"})
      if (m_Fleet.getJson(m_Fleet.admin(Id), "/status")["entries"] != 1)
        return false;
    return true;
  }
  /// Number of responses that entry-2 has taken over, according to its metrics.
  unsigned takenOverResponses() {
    const std::string Name = "\nentry_answers_taken_over_total ";
    const std::string Text =
        call(m_Fleet.callers("entry-2"), "GET", "/metrics").Body;
    const size_t Position = Text.find(Name);
    return Position == std::string::npos
               ? 0
               : static_cast<unsigned>(
                     std::stod(Text.substr(Position + Name.size())));
  }
  size_t executions() {
    size_t Sum = 0;
    for (const char *Id : {"lm-desk-1", "lm-desk-2", "lm-desk-3", "lm-desk-4"})
      Sum += m_Fleet.book(Id)["requests"].size();
    return Sum;
  }
};

// Failure: a response is computed twice or is incomplete.
// Sequence: an entry is killed during streams. After the agents have detected
// the loss, every caller repeats its request through the other entry.
// Cause: the response is held under an id that only the killed entry knows.
TEST(CallerReconnects, GetTheHeldResponseThroughAnotherEntry) {
  StreamBurst Burst(m_Fleet, Streams, Tokens, {"entry-1"},
                    StreamBurst::KeyMode::Fresh);
  killEntryDuring(Burst);
  CHECK_TRUE(waitUntil(Limit, [&] { return isLossDetectedByAgents(); }));
  Burst.repeatRequests("entry-2");
  CHECK_EQUAL(std::string(), Burst.problems());
  CHECK_EQUAL(Streams, takenOverResponses());
  CHECK_EQUAL(Streams, executions());
}

// Failure: as above.
// Sequence: the callers repeat their requests immediately, possibly before the
// agents have detected the loss of the entry.
// Cause: a race between the lost connection and the request for the response.
TEST(CallerReconnects, GetACompleteResponseImmediately) {
  StreamBurst Burst(m_Fleet, Streams, Tokens, {"entry-1"},
                    StreamBurst::KeyMode::Fresh);
  killEntryDuring(Burst);
  Burst.repeatRequests("entry-2");
  CHECK_EQUAL(std::string(), Burst.problems());
  UT_PRINT(("taken over: " + std::to_string(takenOverResponses()) + " of " +
            std::to_string(Streams))
               .c_str());
}

// Failure: a caller gets the response of another request, or two callers each
// get part of one response.
// Sequence: one key is used concurrently for two requests, and several times
// for each of them, through both entries.
// Cause: responses are held under the key alone.
TEST(CallerReconnects, KeepEqualKeysSeparate) {
  const Headers KeyHeaders{{"Idempotency-Key", freshKey()},
                           {"X-Request-Id", "same"}};
  const std::vector<std::pair<std::string, std::string>> Calls{
      {"entry-1", "one"}, {"entry-2", "two"}, {"entry-1", "one"},
      {"entry-2", "one"}, {"entry-1", "two"}, {"entry-2", "two"}};
  std::vector<Answer> Answers(Calls.size());
  std::vector<std::thread> Threads;
  for (size_t Index = 0; Index < Calls.size(); ++Index)
    Threads.emplace_back([&, Index] {
      const auto &[Entry, Prompt] = Calls[Index];
      Answers[Index] =
          call(m_Fleet.callers(Entry), "POST", "/v1/completions",
               completionBody("desk", Prompt, Tokens), KeyHeaders, Limit);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  for (size_t Index = 0; Index < Calls.size(); ++Index) {
    CHECK_TRUE(Answers[Index].isStreamComplete());
    CHECK_EQUAL(expectedText(Calls[Index].second, Tokens),
                Answers[Index].streamedText());
  }
}
