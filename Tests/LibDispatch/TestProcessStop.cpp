//===- TestProcessStop.cpp - Graceful stop of a process -------------------===//
//
// Covers which work is accepted, and when connections are closed, final answers
// sent, and the process exits.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ProcessStop.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(ProcessStop) {
  static constexpr milliseconds Grace{8000};
  const BootTime StoppedAt{std::chrono::seconds(100)};
  ProcessStop Stop;

  BootTime after(int TimeMs) const { return StoppedAt + milliseconds(TimeMs); }
  bool acceptsStream(double TimeLeft, int TimeMs) const {
    return Stop.accepts(
        {AnswerForm::Stream, Repetition::Allowed, Milliseconds(TimeLeft)},
        after(TimeMs));
  }
  bool acceptsOnce(double TimeLeft, double Expected, int TimeMs) const {
    return Stop.accepts({AnswerForm::Whole, Repetition::Forbidden,
                         Milliseconds(TimeLeft), Milliseconds(Expected)},
                        after(TimeMs));
  }
  bool acceptsWhole(double TimeLeft, double Expected, int TimeMs,
                    double Longest = 0) const {
    return Stop.accepts({AnswerForm::Whole, Repetition::Allowed,
                         Milliseconds(TimeLeft), Milliseconds(Expected),
                         Milliseconds(Longest)},
                        after(TimeMs));
  }
};

TEST(ProcessStop, AcceptsEverythingBeforeStop) {
  CHECK(acceptsStream(1e9, 0));
  CHECK(!Stop.begun());
  CHECK(!Stop.timeLeft(after(0)));
  CHECK(!Stop.closesIdle(after(1000000)));
  CHECK(!Stop.mayExit(after(1000000), true));
}

// Guards against: streams are accepted by the usual duration of others, and are
// cut when the process exits.
TEST(ProcessStop, AcceptsStreamOnlyWithDeadlineBeforeStop) {
  Stop.begin(StoppedAt, Grace);
  CHECK(acceptsStream(7300, 0));
  CHECK(!acceptsStream(7301, 0));
  CHECK(!acceptsStream(15000, 0));
  CHECK(acceptsStream(2000, 5300));
  CHECK(!acceptsStream(2000, 5301));
}

// Guards against: a request that may run only once is accepted by the usual
// duration of others, runs, and has no answer when the process exits.
TEST(ProcessStop, AcceptsWhatRunsOnceOnlyWithDeadlineBeforeStop) {
  Stop.begin(StoppedAt, Grace);
  CHECK(acceptsOnce(7300, 20, 0));
  CHECK(!acceptsOnce(7301, 20, 0));
  CHECK(!acceptsOnce(60000, 0, 0));
  CHECK(acceptsOnce(1500, 0, 5800));
  CHECK(!acceptsOnce(1500, 0, 5801));
}

// Guards against: a request that may be repeated is accepted by the usual
// duration, although some of its route last longer than the remaining time.
TEST(ProcessStop, AcceptsWholeAnswerByTheLongestRecentOne) {
  Stop.begin(StoppedAt, Grace);
  CHECK(acceptsWhole(60000, 20, 1000, 5400));
  CHECK(!acceptsWhole(60000, 20, 1000, 5500));
  CHECK(acceptsWhole(6000, 20, 1000, 5500));
}

// A whole answer is never cut: its caller gets a final answer at the stop, and
// may send the request again.
TEST(ProcessStop, AcceptsWholeAnswerDueBeforeStop) {
  Stop.begin(StoppedAt, Grace);
  CHECK(acceptsWhole(60000, 0, 6499));
  CHECK(!acceptsWhole(60000, 0, 6500));
  CHECK(acceptsWhole(60000, 500, 4999));
  CHECK(!acceptsWhole(60000, 500, 5000));
  CHECK(acceptsWhole(100, 5000, 7200));
}

// Guards against: a process is stalled while SIGTERM is sent, counts the grace
// period from when it notices, and is killed before its answers are sent.
TEST(ProcessStop, CountsFromEarliestPossibleSignal) {
  Stop.begin(StoppedAt - milliseconds(1500), Grace);
  DOUBLES_EQUAL(5800, Stop.timeLeft(StoppedAt)->count(), 0.1);
  Stop.begin(StoppedAt, Grace);
  DOUBLES_EQUAL(5800, Stop.timeLeft(StoppedAt)->count(), 0.1);
}

// Guards against: the grace period changes right after SIGTERM, to a shorter
// one, or to a longer one while the kill is due by the old one, and answers are
// lost to the kill.
TEST(ProcessStop, UsesEarlierOfTwoGracePeriods) {
  Stop.updateGrace(milliseconds(1000));
  CHECK(!Stop.begun());
  Stop.begin(StoppedAt, Grace);
  Stop.updateGrace(milliseconds(20000));
  DOUBLES_EQUAL(7300, Stop.timeLeft(StoppedAt)->count(), 0.1);
  Stop.updateGrace(milliseconds(3000));
  DOUBLES_EQUAL(2300, Stop.timeLeft(StoppedAt)->count(), 0.1);
  CHECK(!acceptsStream(2301, 0));
  // The new grace period has already passed, so the final answers are due at
  // once.
  Stop.updateGrace(milliseconds(1000));
  CHECK(Stop.startsFinalAnswers(after(600)));
}

TEST(ProcessStop, ClosesIdleThenAnswersThenExits) {
  Stop.begin(StoppedAt, Grace);
  CHECK(!Stop.closesIdle(after(2555)));
  CHECK(Stop.closesIdle(after(2556)));
  CHECK(!Stop.startsFinalAnswers(after(7299)));
  CHECK(Stop.startsFinalAnswers(after(7300)));
  CHECK(!Stop.startsFinalAnswers(after(7400)));
  CHECK(!Stop.mayExit(after(7599), false));
  CHECK(Stop.mayExit(after(7600), false));
}

// The platform sends new callers for some time after SIGTERM.
TEST(ProcessStop, ExitsEarlyWithoutCallers) {
  Stop.begin(StoppedAt, Grace);
  CHECK(!Stop.mayExit(after(2920), true));
  CHECK(Stop.mayExit(after(2921), true));
  CHECK(!Stop.mayExit(after(2921), false));
}

// Guards against: a process that was stalled until after its grace period sends
// its final answers and exits in one step, and the answers are never
// transmitted.
TEST(ProcessStop, LeavesTimeForLateFinalAnswers) {
  Stop.begin(StoppedAt, Grace);
  CHECK(!Stop.mayExit(after(9000), false));
  CHECK(Stop.startsFinalAnswers(after(9000)));
  CHECK(!Stop.mayExit(after(9299), false));
  CHECK(Stop.mayExit(after(9300), false));
}
