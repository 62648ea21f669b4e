//===- TestTimeline.cpp - Events of one and of many processes ---*- C++ -*-===//
//
// The ring, the answer to GET /timeline, merging and the output forms.
//
//===----------------------------------------------------------------------===//

#include "LibTimeline/MergedTimeline.h"
#include "LibTimeline/Timeline.h"

#include <nlohmann/json.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::timeline;
using std::chrono::milliseconds;

namespace {

const Endpoint Somewhere{"127.0.0.1", 1};
constexpr const char *Hostile = "<script>alert('x')</script>\"&\x1b[2J";

Event event(uint64_t When, std::string Process) {
  return {{When}, std::move(Process), "target-up", {}, {}, {}};
}

SourceAnswer missing() {
  SourceAnswer Answer;
  Answer.From.Address = Somewhere;
  Answer.From.Failure = Error{ResultCode::PeerUnreachable, "no answer", {}, {}};
  return Answer;
}

/// An entry and an agent whose clocks differ, with one request between them.
struct Pair {
  Timeline Entry{{"entry-1", "entry", "hall-a", 64,
                  [] { return WallTime(milliseconds(50400)); }}};
  Timeline Agent{{"vm-7", "agent", "hall-b", 64,
                  [] { return WallTime(milliseconds(50000)); }}};

  void runRequest(const std::string &Id) {
    Subject Request{SubjectType::Request, Id};
    Stamp Sent = Entry.record(kinds::AttemptSent, Request, {{"zone", "b"}});
    Stamp Cause = Agent.received(Sent.Value);
    Agent.record(kinds::WorkHandedOver, {SubjectType::Target, "vm-7"},
                 {{"took", milliseconds(3)}}, Cause);
    Entry.received(Agent.clockToSend());
    Entry.record(kinds::RequestAnswered, Request);
  }
  MergedTimeline merged() {
    return mergeAnswers({parseAnswer(Somewhere, Agent.toJson()).value(),
                         parseAnswer(Somewhere, Entry.toJson()).value()});
  }
};

std::string kindsOf(const MergedTimeline &Whole) {
  std::string Text;
  for (const Event &Each : Whole.Events)
    Text += Each.Kind + " ";
  return Text;
}

} // namespace

TEST_GROUP(Timeline){};

TEST(Timeline, TheRingKeepsTheNewestEvents) {
  Ring Recent(3);
  for (uint64_t When : {1, 2, 3, 4, 5})
    Recent.push(event(When, "p"));
  auto Kept = Recent.after({});
  LONGS_EQUAL(3, Kept.size());
  LONGS_EQUAL(3, Kept.front().When.Value);
  LONGS_EQUAL(1, Recent.after({4}).size());
  LONGS_EQUAL(2, Recent.overwritten());
}

TEST(Timeline, TheRingTakesManyWritersWhileItIsRead) {
  Ring Recent(128);
  {
    std::vector<std::jthread> Writers;
    for (uint64_t I = 0; I < 4; ++I)
      Writers.emplace_back([&Recent, I] {
        for (uint64_t J = 0; J < 2000; ++J)
          Recent.push(event(J * 4 + I + 1, "p"));
      });
    for (int I = 0; I < 50; ++I)
      CHECK(Recent.after({}).size() <= 128);
  }
  LONGS_EQUAL(128, Recent.after({}).size());
  LONGS_EQUAL(8000 - 128, Recent.overwritten());
}

TEST(Timeline, AnswersReadBackAndPage) {
  Pair Both;
  Both.runRequest("r1");
  auto Read = parseAnswer(Somewhere, Both.Entry.toJson()).value();
  CHECK(Read.From.ProcessId == "entry-1" && Read.From.ProcessKind == "entry");
  LONGS_EQUAL(2, Read.Events.size());
  CHECK(Read.Events[0].Fields.at(0) == (OwnedField{"zone", "b"}));
  auto Rest = parseAnswer(Somewhere, Both.Entry.toJson(Read.Events[0].When));
  CHECK(Rest.value().Events == std::vector<Event>{Read.Events[1]});
  LONGS_EQUAL(
      1,
      parseAnswer(Somewhere, Both.Entry.toJson({}, 1)).value().Events.size());
}

TEST(Timeline, OtherTextsAreNoAnswer) {
  for (const char *Body :
       {"", "[]", "{}", "null", R"({"process":"p","events":[{}]})",
        R"({"process":"p","events":[{"stamp":5}]})",
        R"({"process":"p","events":[{"stamp":"x","process":"p"}]})"})
    CHECK_TEXT(!parseAnswer(Somewhere, Body), Body);
}

TEST(Timeline, MergesInCausalOrderDespiteSkew) {
  // Symptom: the agent's work shows before the entry sent it. Sequence: the
  // agent's clock is 400 ms behind. Cause: merging by wall time.
  Pair Both;
  Both.runRequest("r1");
  auto Whole = Both.merged();
  STRCMP_EQUAL("attempt-sent work-handed-over request-answered ",
               kindsOf(Whole).c_str());
  for (const Event &Each : Whole.Events)
    CHECK(!precedesItsCause(Each));
}

TEST(Timeline, EqualStampsGoByProcessAndNothingStandsTwice) {
  SourceAnswer First, Second;
  First.Events = {event(5, "b"), event(6, "b")};
  Second.Events = {event(5, "a"), event(6, "b")};
  auto Whole = mergeAnswers({First, Second});
  CHECK(Whole.Events ==
        (std::vector<Event>{event(5, "a"), event(5, "b"), event(6, "b")}));
}

TEST(Timeline, FollowsARequestOverProcesses) {
  Pair Both;
  Both.runRequest("r1");
  Both.runRequest("r2");
  auto Whole = Both.merged();
  LONGS_EQUAL(6, Whole.Events.size());
  followRequest(Whole, "r2");
  // The agent's event has another subject; its cause leads to it.
  STRCMP_EQUAL("attempt-sent work-handed-over request-answered ",
               kindsOf(Whole).c_str());
  CHECK(Whole.Events[0].About.Name == "r2");
}

TEST(Timeline, EveryFormShowsWhoIsMissing) {
  // Symptom: a quiet lane is read as "nothing happened there". Sequence: one
  // process is cut off while the time line is collected.
  Pair Both;
  Both.runRequest("r1");
  auto Whole = mergeAnswers(
      {parseAnswer(Somewhere, Both.Entry.toJson()).value(), missing()});
  CHECK(Whole.isPartial());
  STRCMP_CONTAINS("127.0.0.1:1 gave no answer: no answer",
                  renderText(Whole).c_str());
  STRCMP_CONTAINS("Not all processes answered", renderHtml(Whole).c_str());
  auto Json = nlohmann::json::parse(renderJson(Whole));
  CHECK(Json["partial"] == true && Json["sources"][1]["error"]["code"] == 604);
  LONGS_EQUAL(2, Json["events"].size());
}

TEST(Timeline, NamesCannotRunOrForgeAnything) {
  // Symptom: opening the page runs a script, or a terminal is cleared.
  // Sequence: a caller sends markup as its request id. Cause: unescaped text.
  Timeline Process({Hostile, Hostile, Hostile, 8, wallNow});
  Process.record(kinds::RequestRefused, {SubjectType::Request, Hostile},
                 {{"why", Hostile}});
  auto Whole = mergeAnswers(
      {parseAnswer(Somewhere, Process.toJson()).value(), missing()});
  Whole.Sources[1].Failure->Message = Hostile;
  std::string Html = renderHtml(Whole);
  CHECK(Html.find("<script>alert") == std::string::npos);
  CHECK(Html.find('\x1b') == std::string::npos);
  STRCMP_CONTAINS("&lt;script&gt;alert(&#39;x&#39;)", Html.c_str());
  CHECK(renderText(Whole).find('\x1b') == std::string::npos);
}

TEST(Timeline, ProcessesWithoutEventsCanBeShown) {
  Timeline Quiet({"e", "entry", "z", 8, wallNow});
  auto Whole = mergeAnswers({parseAnswer(Somewhere, Quiet.toJson()).value()});
  STRCMP_CONTAINS("0 events of 1 processes", renderHtml(Whole).c_str());
  STRCMP_CONTAINS("is entry e in z", renderText(Whole).c_str());
  LONGS_EQUAL(0, nlohmann::json::parse(renderJson(Whole))["events"].size());
}
