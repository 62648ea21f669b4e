//===- TestEventStreamParser.cpp - Tests of EventStreamParser -------------===//
//
// The parsed events must not depend on how the body is divided into chunks.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/EventStreamParser.h"

#include <CppUTest/TestHarness.h>

using figlift::target::EventStreamParser;

TEST_GROUP(EventStreamParser){};

TEST(EventStreamParser, EventsDoNotDependOnChunkBoundaries) {
  // Guards against lost or duplicate tokens when an event or a line end of the
  // engine's stream is divided between two reads.
  const std::string Stream =
      ": comment\ndata: {\"a\":1}\n\ndata:x\r\ndata: y\r\n\r\nid: 3\n\n";
  for (size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
    EventStreamParser Parser;
    auto Events = Parser.parse(std::string_view(Stream).substr(0, Cut));
    for (auto &Event : Parser.parse(std::string_view(Stream).substr(Cut)))
      Events.push_back(Event);
    LONGS_EQUAL(2, Events.size());
    STRCMP_EQUAL("{\"a\":1}", Events[0].c_str());
    STRCMP_EQUAL("x\ny", Events[1].c_str());
  }
}

TEST(EventStreamParser, EndlessLineOverflowsInsteadOfFillingMemory) {
  // Guards against unbounded memory use when an engine sends data without a
  // line end.
  EventStreamParser Parser(64);
  for (int Round = 0; Round < 10; ++Round)
    Parser.parse("0123456789");
  CHECK(Parser.overflowed());
}
