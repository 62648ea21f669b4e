//===- TestTimeline.cpp - Events of one or several processes ----*- C++ -*-===//
//
// Ring buffer, the response to GET /timeline, merging and output formats.
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

const Endpoint TestAddress{"127.0.0.1", 1};
constexpr const char *Hostile = "<script>alert('x')</script>\"&\x1b[2J";

Event event(uint64_t Timestamp, std::string Process) {
  return {{Timestamp}, std::move(Process), "target-up", {}, {}, {}};
}

SourceResponse unreachableSource() {
  SourceResponse Response;
  Response.Origin.Address = TestAddress;
  Response.Origin.Failure =
      Error{ResultCode::PeerUnreachable, "no answer", {}, {}};
  return Response;
}

/// An entry and an agent with different clocks that exchange requests.
struct EntryAndAgent {
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
    return mergeResponses({parseResponse(TestAddress, Agent.toJson()).value(),
                           parseResponse(TestAddress, Entry.toJson()).value()});
  }
};

std::string kindsOf(const MergedTimeline &Merged) {
  std::string Text;
  for (const Event &Item : Merged.Events)
    Text += Item.Kind + " ";
  return Text;
}

} // namespace

TEST_GROUP(Timeline){};

TEST(Timeline, RingKeepsNewestEvents) {
  Ring Recent(3);
  for (uint64_t Timestamp : {1, 2, 3, 4, 5})
    Recent.push(event(Timestamp, "p"));
  auto Kept = Recent.after({});
  LONGS_EQUAL(3, Kept.size());
  LONGS_EQUAL(3, Kept.front().Timestamp.Value);
  LONGS_EQUAL(1, Recent.after({4}).size());
  LONGS_EQUAL(2, Recent.overwritten());
}

TEST(Timeline, RingSupportsConcurrentWritersAndReaders) {
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

TEST(Timeline, ResponsesRoundTripAndPage) {
  EntryAndAgent Processes;
  Processes.runRequest("r1");
  auto Parsed = parseResponse(TestAddress, Processes.Entry.toJson()).value();
  CHECK(Parsed.Origin.ProcessId == "entry-1" &&
        Parsed.Origin.ProcessKind == "entry");
  LONGS_EQUAL(2, Parsed.Events.size());
  CHECK(Parsed.Events[0].Fields.at(0) == (OwnedField{"zone", "b"}));
  auto Rest = parseResponse(TestAddress,
                            Processes.Entry.toJson(Parsed.Events[0].Timestamp));
  CHECK(Rest.value().Events == std::vector<Event>{Parsed.Events[1]});
  LONGS_EQUAL(1, parseResponse(TestAddress, Processes.Entry.toJson({}, 1))
                     .value()
                     .Events.size());
}

TEST(Timeline, RejectsInvalidResponses) {
  for (const char *Body :
       {"", "[]", "{}", "null", R"({"process":"p","events":[{}]})",
        R"({"process":"p","events":[{"stamp":5}]})",
        R"({"process":"p","events":[{"stamp":"x","process":"p"}]})"})
    CHECK_TEXT(!parseResponse(TestAddress, Body), Body);
}

TEST(Timeline, MergesInCausalOrderDespiteSkew) {
  // Guards against a timeline that shows the agent's work before the entry sent
  // it. Merging by wall time does so if the agent's clock is 400 ms behind.
  EntryAndAgent Processes;
  Processes.runRequest("r1");
  auto Merged = Processes.merged();
  STRCMP_EQUAL("attempt-sent work-handed-over request-answered ",
               kindsOf(Merged).c_str());
  for (const Event &Item : Merged.Events)
    CHECK(!precedesCause(Item));
}

TEST(Timeline, OrdersEqualStampsByProcessAndRemovesDuplicates) {
  SourceResponse First, Second;
  First.Events = {event(5, "b"), event(6, "b")};
  Second.Events = {event(5, "a"), event(6, "b")};
  auto Merged = mergeResponses({First, Second});
  CHECK(Merged.Events ==
        (std::vector<Event>{event(5, "a"), event(5, "b"), event(6, "b")}));
}

TEST(Timeline, FollowsRequestAcrossProcesses) {
  EntryAndAgent Processes;
  Processes.runRequest("r1");
  Processes.runRequest("r2");
  auto Merged = Processes.merged();
  LONGS_EQUAL(6, Merged.Events.size());
  followRequest(Merged, "r2");
  // The agent's event has another subject and is found through its cause.
  STRCMP_EQUAL("attempt-sent work-handed-over request-answered ",
               kindsOf(Merged).c_str());
  CHECK(Merged.Events[0].EventSubject.Name == "r2");
}

TEST(Timeline, AllFormatsShowMissingProcesses) {
  // Guards against an empty lane being mistaken for inactivity when a process
  // is unreachable while the timeline is collected.
  EntryAndAgent Processes;
  Processes.runRequest("r1");
  auto Merged = mergeResponses(
      {parseResponse(TestAddress, Processes.Entry.toJson()).value(),
       unreachableSource()});
  CHECK(Merged.isPartial());
  STRCMP_CONTAINS("127.0.0.1:1 gave no answer: no answer",
                  renderText(Merged).c_str());
  STRCMP_CONTAINS("Not all processes answered", renderHtml(Merged).c_str());
  auto Json = nlohmann::json::parse(renderJson(Merged));
  CHECK(Json["partial"] == true && Json["sources"][1]["error"]["code"] == 604);
  LONGS_EQUAL(2, Json["events"].size());
}

TEST(Timeline, EscapesHostileNames) {
  // Guards against unescaped text: a caller that sends markup or escape
  // sequences as its request id must not run a script in the page or control
  // the terminal.
  Timeline Process({Hostile, Hostile, Hostile, 8, wallNow});
  Process.record(kinds::RequestRefused, {SubjectType::Request, Hostile},
                 {{"why", Hostile}});
  auto Merged =
      mergeResponses({parseResponse(TestAddress, Process.toJson()).value(),
                      unreachableSource()});
  Merged.Sources[1].Failure->Message = Hostile;
  std::string Html = renderHtml(Merged);
  CHECK(Html.find("<script>alert") == std::string::npos);
  CHECK(Html.find('\x1b') == std::string::npos);
  STRCMP_CONTAINS("&lt;script&gt;alert(&#39;x&#39;)", Html.c_str());
  CHECK(renderText(Merged).find('\x1b') == std::string::npos);
}

TEST(Timeline, ShowsProcessesWithoutEvents) {
  Timeline Quiet({"e", "entry", "z", 8, wallNow});
  auto Merged =
      mergeResponses({parseResponse(TestAddress, Quiet.toJson()).value()});
  STRCMP_CONTAINS("0 events of 1 processes", renderHtml(Merged).c_str());
  STRCMP_CONTAINS("is entry e in z", renderText(Merged).c_str());
  LONGS_EQUAL(0, nlohmann::json::parse(renderJson(Merged))["events"].size());
}
