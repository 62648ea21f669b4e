//===- TestDecisionLog.cpp - Bounded lines --------------------------------===//
//
// Allowances by kind, and an output that takes nothing.
//
//===----------------------------------------------------------------------===//

#include "figlift-gateway/DecisionLog.h"
#include "figlift-gateway/OutputWriter.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::gateway;

TEST_GROUP(DecisionLog) {
  BootTime Now{std::chrono::seconds(100)};
  int Ends[2] = {-1, -1};

  void setup() override { LONGS_EQUAL(0, pipe(Ends)); }
  void teardown() override {
    close(Ends[0]);
    close(Ends[1]);
  }
};

// Load: a flood of refusals. Grounds: they must neither use up the processor
// nor push out the few lines that say what the process believes.
TEST(DecisionLog, KeepsAFloodWithinItsAllowance) {
  DecisionLog Log(2);
  int Written = 0;
  for (int At = 0; At < 1000; ++At)
    Written += Log.allows(LineKind::Rejected, Now) ? 1 : 0;
  LONGS_EQUAL(20, Written);
  LONGS_EQUAL(980, Log.suppressed());
  CHECK(Log.allows(LineKind::State, Now));
  CHECK(Log.allows(LineKind::Rejected, Now + std::chrono::seconds(1)));
}

// Symptom: requests stand still. Sequence: the reader of the log stops, the
// pipe fills. Cause: the write waits.
TEST(DecisionLog, DropsLinesThatNobodyReads) {
  OutputWriter Output(Ends[1]);
  const std::string Line(1000, 'x');
  for (int At = 0; At < 2000; ++At) {
    Output.line(Line);
    Output.flush();
  }
  CHECK(Output.dropped() > 1000);
}

TEST(DecisionLog, WritesWholeLines) {
  OutputWriter Output(Ends[1]);
  Output.line("a");
  Output.line("b");
  Output.flush();
  char Buffer[8] = {};
  LONGS_EQUAL(4, read(Ends[0], Buffer, sizeof(Buffer)));
  STRCMP_EQUAL("a\nb\n", Buffer);
}
