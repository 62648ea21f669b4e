//===- TestUsageDuty.cpp - Tests of the duty to report usage --------------===//
//
// Single steps, and all interleavings of two gateways.
//
//===----------------------------------------------------------------------===//

#include "LibUsage/UsageSimulation.h"

#include "Exploration/ExplorationGroup.h"

using namespace figlift;
using namespace figlift::test;
using namespace figlift::usage;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Length{5000};
constexpr size_t Limit = 1500000;

class MockSource : public UsageSource {
public:
  bool isComplete(WindowNumber) const override { return Complete; }
  Counts totals(WindowNumber Window) const override {
    const auto Known = Totals.find(Window);
    return Known == Totals.end() ? Counts{} : Known->second;
  }

  bool Complete = true;
  std::map<WindowNumber, Counts> Totals;
};

void expectNoViolation(const char *Name, const UsageBounds &Bounds) {
  Exploration Result = explore(UsageSimulation(Bounds), Limit);
  Result.print(Name);
  CHECK_TRUE(Result.Violation.empty());
  CHECK_TRUE(Result.Complete);
}

} // namespace

TEST_GROUP(UsageDuty) {
  MockSource Source;
  UsageDuty Duty{{}, Source};
  std::optional<uint64_t> Epoch = 3;
  /// Time since the end of window 1000.
  milliseconds SinceEnd{0};

  void setup() override { Source.Totals[1000] = {{"t", 7}}; }

  std::vector<Action> step(const Event &Input) {
    return Duty.step(Input, {BootTime(seconds(100) + SinceEnd),
                             endOf(1000, Length) + SinceEnd, Epoch});
  }
  /// Whether the duty records a report now; all rows are empty.
  bool records() {
    auto Actions = step(Tick{});
    while (!Actions.empty() && std::holds_alternative<ReadRecord>(Actions[0]))
      Actions = step(RecordRead{});
    return !Actions.empty() && std::holds_alternative<WriteRecord>(Actions[0]);
  }
  /// Steps to the point at which the report of window 1000 is sent.
  std::vector<Action> recordFirst() {
    auto Actions = step(Tick{});
    while (Actions.size() == 1 &&
           std::holds_alternative<ReadRecord>(Actions[0]))
      Actions = step(RecordRead{});
    CHECK(std::holds_alternative<WriteRecord>(Actions.at(0)));
    return step(RecordWritten{});
  }
};

TEST(UsageDuty, RecordsAReportBeforeItIsSent) {
  const auto Actions = recordFirst();
  LONGS_EQUAL(1, Actions.size());
  CHECK(Actions[0] == Action(SendReport{{1000, {{"t", 7}}}, 3}));
  CHECK(step(Tick{}).empty());
  CHECK(step(ReportAnswered{1000, Reply::Accepted}).empty());
  CHECK(step(Tick{}).empty());
}

TEST(UsageDuty, DoesNothingWithoutTheLease) {
  Epoch.reset();
  CHECK(step(Tick{}).empty());
}

// Failure: a successor reports other counts than its predecessor did.
TEST(UsageDuty, ASuccessorRepeatsTheRecord) {
  auto Actions = step(Tick{});
  while (std::holds_alternative<ReadRecord>(Actions.at(0))) {
    const bool IsRow = std::get<ReadRecord>(Actions[0]).Row == 1000 % 4;
    Actions = step(RecordRead{IsRow ? RecordRow{5, Report{1000, {{"t", 6}}}}
                                    : RecordRow{}});
  }
  CHECK(Actions.at(0) == Action(SendReport{{1000, {{"t", 6}}}, 3}));
}

TEST(UsageDuty, SendsTheSameReportAgainAfterAFailure) {
  const auto First = recordFirst();
  Source.Totals[1000] = {{"t", 9}};
  CHECK(step(ReportAnswered{1000, Reply::Failed}).empty());
  CHECK(step(Tick{}).empty());
  SinceEnd += milliseconds(300);
  CHECK(step(Tick{}).at(0) == First.at(0));
}

// Failure: between the record and the report the lease passes to another
// gateway, and a call with the old fencing token follows one with the new.
TEST(UsageDuty, SendsNothingAfterTheLeaseIsLost) {
  step(Tick{});
  while (true) {
    const auto Actions = step(RecordRead{});
    if (std::holds_alternative<WriteRecord>(Actions.at(0)))
      break;
  }
  Epoch.reset();
  CHECK(step(RecordWritten{}).empty());
  Epoch = 5;
  CHECK(std::holds_alternative<ReadRecord>(step(Tick{}).at(0)));
}

TEST(UsageDuty, WaitsForGatewaysThatHaveNotSentTheirFinalSum) {
  Source.Complete = false;
  CHECK(!records());
  SinceEnd = milliseconds(5900);
  CHECK(!records());
  SinceEnd = milliseconds(6000);
  CHECK(records());
}

// Failure: a gateway takes the duty over and reports at once, before the others
// have sent it the counts that they had sent to its predecessor.
TEST(UsageDuty, ASuccessorWaitsForTheSumsSentToItsPredecessor) {
  Source.Complete = false;
  Epoch.reset();
  SinceEnd = milliseconds(7000);
  step(Tick{});
  Epoch = 4;
  CHECK(!records());
  SinceEnd = milliseconds(8400);
  CHECK(!records());
  SinceEnd = milliseconds(8500);
  CHECK(records());
}

TEST(UsageDuty, GivesUpAWindowThatIsLongOverdue) {
  const auto First = recordFirst();
  CHECK(step(ReportAnswered{1000, Reply::Failed}).empty());
  SinceEnd = seconds(17);
  CHECK(step(Tick{}).at(0) == Action(MissedWindow{1000}));
  CHECK(Duty.settledThrough() >= 1000);
}

// Failure: a restored store has lost the record of a report that was sent, and
// what was counted since is recorded in its place.
TEST(UsageDuty, RecordsWhatWasSentAgainInARestoredStore) {
  recordFirst();
  CHECK(step(ReportAnswered{1000, Reply::Failed}).empty());
  Source.Totals[1000] = {{"t", 9}};
  step(StoreRestored{});
  SinceEnd = milliseconds(400);
  auto Actions = step(Tick{});
  while (std::holds_alternative<ReadRecord>(Actions.at(0)))
    Actions = step(RecordRead{});
  CHECK(std::get<WriteRecord>(Actions.at(0)).Record ==
        (Report{1000, {{"t", 7}}}));
}

TEST_GROUP_BASE(UsageExploration, ExplorationGroup){};

// Failure: the receiver gets two reports of one window with different counts.
TEST(UsageExploration, ReportsOfOneWindowNeverDiffer) {
  UsageBounds Paused;
  Paused.LastTime = 4;
  expectNoViolation("usage, pauses", Paused);
  UsageBounds Lost;
  Lost.LostAnswers = 1;
  Lost.LastTime = 4;
  expectNoViolation("usage, pauses and a lost answer", Lost);
  UsageBounds Killed;
  Killed.Kills = 1;
  Killed.LastTime = 4;
  expectNoViolation("usage, pauses and a killed gateway", Killed);
}

TEST(UsageExploration, WithoutRecordsReportsDiffer) {
  UsageBounds Bounds;
  Bounds.Records = false;
  Exploration Result = explore(UsageSimulation(Bounds), Limit);
  Result.print("usage, holders that send what they counted");
  CHECK_FALSE(Result.Violation.empty());
}
