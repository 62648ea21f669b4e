//===- TestExplanation.cpp - Explanations of requests from log lines ------===//
//
// Feeds log lines as gateways write them and checks the findings.
//
//===----------------------------------------------------------------------===//

#include "LibExplain/Explanation.h"
#include "LibExplain/LogLines.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::explain;

namespace {

const std::string Rejected =
    R"({"time":"2026-06-29T04:50:20.100Z","level":"info","process":"g1",)"
    R"("event":"request-ended","request":"a1","outcome":"refused",)"
    R"("status":503,"reason":"the first token would come too late",)"
    R"("plannedFirstMs":142.5,"targetMs":120.0,"tookMs":0.2,"runs":0})";
const std::string Late =
    R"(  17.1 g2 {"time":"2026-06-29T04:50:21.000Z","process":"g2",)"
    R"("event":"request-ended","request":"a2","outcome":"answered",)"
    R"("status":200,"reader":"e1","runner":"e2","plannedFirstMs":40.0,)"
    R"("firstMs":190.0,"targetMs":120.0,"tookMs":200.0,"plannedReadMs":25.0,)"
    R"("readMs":170.0,"plannedRunMs":6.0,"runFirstMs":8.0,"sends":2,"runs":1})";
const std::string TargetDrains =
    R"({"time":"2026-06-29T04:50:19.500Z","process":"g2",)"
    R"("event":"target-drains","target":"e1"})";
const std::string OtherTarget =
    R"({"time":"2026-06-29T04:50:19.600Z","process":"g2",)"
    R"("event":"target-drains","target":"e9"})";
const std::string OtherProcess =
    R"({"time":"2026-06-29T04:50:19.700Z","process":"g3",)"
    R"("event":"store-lost","table":"servers"})";
const std::string ConnectionLost =
    R"({"time":"2026-06-29T04:50:22.000Z","process":"g1",)"
    R"("event":"send-ended","request":"a3","how":"broke off",)"
    R"("purpose":"run","target":"e2","tookMs":3.0,"budgetLeft":12.0})";
const std::string Failed =
    R"({"time":"2026-06-29T04:50:22.001Z","process":"g1",)"
    R"("event":"request-ended","request":"a3","outcome":"failed",)"
    R"("status":502,"reason":"broke off","runner":"e2","tookMs":4.0,)"
    R"("deadlineMs":1000.0,"runs":1,"serversSeenMs":9000.0})";

bool contains(const Explanation &Result, const std::string &Text) {
  for (const std::string &Finding : Result.Findings)
    if (Finding.find(Text) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST_GROUP(Explanation) {
  LogLines Lines;

  void setup() override {
    Lines.add(Late + "\n" + Rejected + "\nnot a line\n" + TargetDrains + "\n" +
              OtherTarget + "\n" + OtherProcess + "\n" + ConnectionLost + "\n" +
              Failed + "\n{\"half\":");
    Lines.sort();
  }
  Explanation explain(const char *Id) {
    auto Result = explainRequest(Lines.Events, Id);
    CHECK_TRUE(Result.has_value());
    return std::move(Result.value());
  }
};

TEST(Explanation, CountsUnparsedLines) { CHECK_EQUAL(2u, Lines.UnparsedLines); }

TEST(Explanation, ExplainsRejectionByPlan) {
  const Explanation Result = explain("a1");
  CHECK_TRUE(contains(Result, "\"not run\" is true"));
  CHECK_TRUE(contains(Result,
                      "planned after 142.5 ms; admission control allows "
                      "108.0 ms"));
}

TEST(Explanation, NamesPhaseThatDelayedResponse) {
  const Explanation Result = explain("a2");
  CHECK_TRUE(contains(Result, "prefill at e1 took 170.0 ms"));
  CHECK_FALSE(contains(Result, "decode at"));
  CHECK_TRUE(contains(Result, "e1 started draining"));
}

TEST(Explanation, IncludesOnlyProcessesAndTargetsOfRequest) {
  CHECK_EQUAL(2u, explain("a2").Lines.Events.size());
}

TEST(Explanation, NamesTargetThatMayHaveExecutedFailedCall) {
  const Explanation Result = explain("a3");
  CHECK_TRUE(contains(Result, "A send to e2 (run) ended: broke off"));
  CHECK_TRUE(contains(Result, "It may have been executed at e2"));
  CHECK_TRUE(contains(Result, "server list was 9000.0 ms old"));
}

// Guards against an unexplained request without any log line. This comes about
// when the VM of the gateway that received it loses power: the gateway logs no
// end for its requests in flight.
TEST(Explanation, NamesProcessesThatExitedUncleanly) {
  const std::string Started =
      R"({"time":"2026-06-29T04:50:30.000Z","process":"g1","event":"started"})";
  Lines.add(Started);
  Lines.sort();
  const auto Result = explainRequest(Lines.Events, "unknown");
  const std::string &Message = Result.error().Message;
  CHECK_TRUE(Message.find("g1 wrote its last line at 04:50:22.001") !=
             std::string::npos);
  CHECK_TRUE(Message.find("g3 wrote its last line at 04:50:19.700") !=
             std::string::npos);
}

TEST(Explanation, RejectsUnknownRequest) {
  const auto Result = explainRequest(Lines.Events, "unknown");
  CHECK_FALSE(Result.has_value());
  STRCMP_EQUAL("request", Result.error().Field.c_str());
}

TEST(Explanation, TellsWhereAStreamBrokeOff) {
  Lines.add(R"({"time":"2026-06-29T04:50:23.000Z","process":"g1",)"
            R"("event":"send-ended","request":"a4","how":"broke off",)"
            R"("target":"e2","framing":"connection end","unfinishedBytes":9})"
            "\n");
  Lines.sort();
  CHECK(contains(explain("a4"), "inside an event, 9 bytes"));
}

TEST(Explanation, TellsTheVersionOfAResumedStream) {
  Lines.add(R"({"time":"2026-06-29T04:50:23.000Z","process":"g1",)"
            R"("event":"stream-resumed","request":"a5","resumes":"a3",)"
            R"("lastEvent":"7","origin":"peer","softwareVersion":"v1"})"
            "\n"
            R"({"time":"2026-06-29T04:50:23.000Z","process":"g1",)"
            R"("event":"stream-resumed","request":"a6","resumes":"zz",)"
            R"("lastEvent":"7","origin":"unknown","softwareVersion":""})"
            "\n");
  Lines.sort();
  CHECK(contains(explain("a5"), "bound to software version v1"));
  CHECK(contains(explain("a6"), "not known here"));
}
