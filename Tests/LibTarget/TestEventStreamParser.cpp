//===- TestEventStreamParser.cpp - Server-sent events in pieces -----------===//
//
// Events must come out the same however the network cuts them.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/EventStreamParser.h"

#include <CppUTest/TestHarness.h>

using figlift::target::EventStreamParser;

TEST_GROUP(EventStreamParser){};

TEST(EventStreamParser, EveryCutGivesTheSameEvents) {
  // Symptom: a token of an answer is lost or doubled. Events: the engine's
  // event crosses the border of two reads. Cause: a parser that expects an
  // event, or a line end, within one read.
  const std::string Whole =
      ": comment\ndata: {\"a\":1}\n\ndata:x\r\ndata: y\r\n\r\nid: 3\n\n";
  for (size_t Cut = 0; Cut <= Whole.size(); ++Cut) {
    EventStreamParser Parser;
    auto Events = Parser.take(std::string_view(Whole).substr(0, Cut));
    for (auto &Event : Parser.take(std::string_view(Whole).substr(Cut)))
      Events.push_back(Event);
    LONGS_EQUAL(2, Events.size());
    STRCMP_EQUAL("{\"a\":1}", Events[0].c_str());
    STRCMP_EQUAL("x\ny", Events[1].c_str());
  }
}

TEST(EventStreamParser, EndlessLineOverflowsInsteadOfFillingMemory) {
  // Symptom: the agent's memory grows without bound. Events: an engine sends
  // bytes and never a line end. Cause: an unbounded line buffer.
  EventStreamParser Parser(64);
  for (int Round = 0; Round < 10; ++Round)
    Parser.take("0123456789");
  CHECK(Parser.overflowed());
}
