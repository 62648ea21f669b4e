//===- TestUnconfirmedAnswers.cpp - Answers a server may not survive ------===//
//
// When an answer proves that its server survived the request, and when the
// request is a possible cause of a crash.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/UnconfirmedAnswers.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(UnconfirmedAnswers) {
  const ServerStart Server{"s1", std::nullopt};
  const ServerStart Other{"s2", std::nullopt};
  UnconfirmedAnswers Answers;
  BootTime Now{1h};

  void complete(const ServerStart &By) {
    Answers.add(By, {{}, Now - 20ms, Now - 10ms, Now, true});
  }
};

// Guards against: a request is cleared by the end of the connection that its
// server closed as it crashed.
TEST(UnconfirmedAnswers, AreNotConfirmedByTheEndOfTheAnswer) {
  complete(Server);
  CHECK(Answers.confirm(Server, Now + 100ms).empty());
}

TEST(UnconfirmedAnswers, AreConfirmedWhenTheServerIsHeardOfLater) {
  complete(Server);
  LONGS_EQUAL(0, Answers.confirm(Other, Now + 1s).size());
  LONGS_EQUAL(1, Answers.confirm(Server, Now + 1s).size());
  CHECK(Answers.empty());
}

TEST(UnconfirmedAnswers, AreCandidatesIfTheServerCrashesSoonAfterwards) {
  complete(Server);
  Now += 1s;
  complete(Server);
  complete(Other);
  LONGS_EQUAL(1, Answers.takeLast(Server, Now + 20ms).size());
  CHECK(!Answers.last("s1").has_value());
  CHECK(Answers.last("s2").has_value());
}

TEST(UnconfirmedAnswers, AreOfTheLatestStart) {
  const ServerStart Restarted{"s1", StartTime(5s)};
  complete(Server);
  Now += 1s;
  complete(Restarted);
  CHECK(Answers.last("s1")->Server == Restarted);
  Answers.remove("s1");
  CHECK(Answers.empty());
}

TEST(UnconfirmedAnswers, AreTakenWhenTheyAreOld) {
  complete(Server);
  Now += 6s;
  complete(Server);
  LONGS_EQUAL(1, Answers.takeBefore(Now).size());
  CHECK(!Answers.empty());
}

// Guards against: a server that is heard of no more takes memory without bound.
TEST(UnconfirmedAnswers, AreBounded) {
  for (int I = 0; I < 1000; ++I)
    complete(Server);
  CHECK(Answers.takeBefore(Now + 1s).size() <= 128);
}
