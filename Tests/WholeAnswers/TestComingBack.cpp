//===- TestComingBack.cpp - Callers whose entry died ----------------------===//
//
// Callers come back through another entry with the same idempotency key. The
// answer is whole in any case; it is not computed again when an agent still
// holds it.
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

FleetOptions comingBackFleet() {
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

TEST_GROUP(ComingBack) {
  Fleet m_Fleet{comingBackFleet()};

  void setup() override {
    CHECK_TEXT(m_Fleet.ready(), m_Fleet.problem().c_str());
  }

  /// Streams run through entry-1 when it is killed.
  void killEntryUnder(StreamBurst & Burst) {
    CHECK_TRUE(Burst.waitUntilAllRun(Limit));
    m_Fleet.process("entry-1").kill();
    CHECK_TRUE(m_Fleet.process("entry-1").waitForExit(Limit).has_value());
  }
  bool isLostToAgents() {
    for (const char *Id : {"lm-desk-1", "lm-desk-2", "lm-desk-3", "lm-desk-4"})
      if (m_Fleet.getJson(m_Fleet.admin(Id), "/status")["entries"] != 1)
        return false;
    return true;
  }
  /// Answers that the living entry took over, by its metrics.
  unsigned takenOver() {
    const std::string Name = "\nentry_answers_taken_over_total ";
    const std::string Text =
        call(m_Fleet.callers("entry-2"), "GET", "/metrics").Body;
    const size_t At = Text.find(Name);
    return At == std::string::npos ? 0
                                   : static_cast<unsigned>(std::stod(
                                         Text.substr(At + Name.size())));
  }
  size_t runs() {
    size_t Sum = 0;
    for (const char *Id : {"lm-desk-1", "lm-desk-2", "lm-desk-3", "lm-desk-4"})
      Sum += m_Fleet.book(Id)["requests"].size();
    return Sum;
  }
};

// Symptom: an answer is computed twice, or a part of it is missing. Sequence:
// an entry is killed in mid-stream; the agents notice; every caller comes back
// through the other entry. Cause: the answer is held under an id that only the
// dead entry knew.
TEST(ComingBack, GetsTheHeldAnswerThroughAnotherEntry) {
  StreamBurst Burst(m_Fleet, Streams, Tokens, {"entry-1"},
                    StreamBurst::Keys::Fresh);
  killEntryUnder(Burst);
  CHECK_TRUE(waitUntil(Limit, [&] { return isLostToAgents(); }));
  Burst.callAgain("entry-2");
  CHECK_EQUAL(std::string(), Burst.problems());
  CHECK_EQUAL(Streams, takenOver());
  CHECK_EQUAL(Streams, runs());
}

// Symptom: as above. Sequence: the callers come back at once, before the
// agents may have noticed, and the entry is started again meanwhile. Cause: a
// race between the broken link and the question for the answer.
TEST(ComingBack, GetsAWholeAnswerAtOnce) {
  StreamBurst Burst(m_Fleet, Streams, Tokens, {"entry-1"},
                    StreamBurst::Keys::Fresh);
  killEntryUnder(Burst);
  Burst.callAgain("entry-2");
  CHECK_EQUAL(std::string(), Burst.problems());
  UT_PRINT(("taken over: " + std::to_string(takenOver()) + " of " +
            std::to_string(Streams))
               .c_str());
}

// Symptom: a caller gets another's answer, or two take one answer from each
// other. Sequence: one key is used at once for two requests, and twice for the
// same one, through both entries. Cause: answers held under the key alone.
TEST(ComingBack, KeepsEqualKeysApart) {
  const Headers WithKey{{"Idempotency-Key", freshKey()},
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
               completionBody("desk", Prompt, Tokens), WithKey, Limit);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  for (size_t Index = 0; Index < Calls.size(); ++Index) {
    CHECK_TRUE(Answers[Index].isStreamComplete());
    CHECK_EQUAL(expectedText(Calls[Index].second, Tokens),
                Answers[Index].streamedText());
  }
}
