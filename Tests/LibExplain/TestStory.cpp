//===- TestStory.cpp - From a request's id to its cause -------------------===//
//
// Lines as gateways write them, and what is told of them.
//
//===----------------------------------------------------------------------===//

#include "LibExplain/LogLines.h"
#include "LibExplain/Story.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::explain;

namespace {

const std::string Refused =
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
const std::string Drains =
    R"({"time":"2026-06-29T04:50:19.500Z","process":"g2",)"
    R"("event":"target-drains","target":"e1"})";
const std::string OtherTarget =
    R"({"time":"2026-06-29T04:50:19.600Z","process":"g2",)"
    R"("event":"target-drains","target":"e9"})";
const std::string OtherProcess =
    R"({"time":"2026-06-29T04:50:19.700Z","process":"g3",)"
    R"("event":"store-lost","table":"servers"})";
const std::string Broke =
    R"({"time":"2026-06-29T04:50:22.000Z","process":"g1",)"
    R"("event":"send-ended","request":"a3","how":"broke off",)"
    R"("purpose":"run","target":"e2","tookMs":3.0,"budgetLeft":12.0})";
const std::string Failed =
    R"({"time":"2026-06-29T04:50:22.001Z","process":"g1",)"
    R"("event":"request-ended","request":"a3","outcome":"failed",)"
    R"("status":502,"reason":"broke off","runner":"e2","tookMs":4.0,)"
    R"("deadlineMs":1000.0,"runs":1,"serversSeenMs":9000.0})";

bool says(const Story &Told, const std::string &Part) {
  for (const std::string &Each : Told.Findings)
    if (Each.find(Part) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST_GROUP(Story) {
  LogLines Lines;

  void setup() override {
    Lines.add(Late + "\n" + Refused + "\nnot a line\n" + Drains + "\n" +
              OtherTarget + "\n" + OtherProcess + "\n" + Broke + "\n" + Failed +
              "\n{\"half\":");
    Lines.sort();
  }
  Story tell(const char *Id) {
    auto Told = tellStory(Lines.Events, Id);
    CHECK_TRUE(Told.has_value());
    return std::move(Told.value());
  }
};

TEST(Story, CountsWhatIsNoLine) { CHECK_EQUAL(2u, Lines.Unread); }

TEST(Story, ExplainsARefusalByThePlan) {
  const Story Told = tell("a1");
  CHECK_TRUE(says(Told, "\"not run\" is true"));
  CHECK_TRUE(says(Told, "planned after 142.5 ms; the door allows 108.0 ms"));
}

TEST(Story, NamesThePartThatMadeAnAnswerLate) {
  const Story Told = tell("a2");
  CHECK_TRUE(says(Told, "reading the prompt at e1 took 170.0 ms"));
  CHECK_FALSE(says(Told, "the run at"));
  CHECK_TRUE(says(Told, "e1 began to leave"));
}

TEST(Story, KeepsToTheProcessesAndTargetsOfTheRequest) {
  CHECK_EQUAL(2u, tell("a2").Lines.Events.size());
}

TEST(Story, TellsWhereAFailedCallMayHaveRun) {
  const Story Told = tell("a3");
  CHECK_TRUE(says(Told, "A send to e2 (run) ended: broke off"));
  CHECK_TRUE(says(Told, "It may have run at e2"));
  CHECK_TRUE(says(Told, "list of servers was 9000.0 ms old"));
}

// Symptom: a request that a caller complains of has no line at all. Cause: the
// machine that took it lost its power, and what it had at hand with it.
TEST(Story, NamesProcessesThatEndedWithoutALine) {
  const std::string Started =
      R"({"time":"2026-06-29T04:50:30.000Z","process":"g1","event":"started"})";
  Lines.add(Started);
  Lines.sort();
  const auto Told = tellStory(Lines.Events, "nobody");
  const std::string &Message = Told.error().Message;
  CHECK_TRUE(Message.find("g1 wrote its last line at 04:50:22.001") !=
             std::string::npos);
  CHECK_TRUE(Message.find("g3 wrote its last line at 04:50:19.700") !=
             std::string::npos);
}

TEST(Story, NamesAnUnknownRequest) {
  const auto Told = tellStory(Lines.Events, "nobody");
  CHECK_FALSE(Told.has_value());
  STRCMP_EQUAL("request", Told.error().Field.c_str());
}
