//===- TestEventRelay.cpp - Forwards complete events of a stream ----------===//
//
// Covers events divided at any byte, servers that stop within an event, and
// streams that are resumed.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EventRelay.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(EventRelay) { EventRelay Relay; };

TEST(EventRelay, ForwardsEventsUnchanged) {
  const std::string Text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  std::string Output;
  for (const char Byte : Text)
    Output += Relay.feed({&Byte, 1});
  STRCMP_EQUAL(Text.c_str(), Output.c_str());
  LONGS_EQUAL(2, *Relay.lastEvent());
}

// Guards against: the first server stops within event 2, its incomplete event
// is forwarded, and a second server resumes after event 1; the caller gets a
// mixture of both.
TEST(EventRelay, DropsIncompleteEvent) {
  STRCMP_EQUAL("id: 1\ndata: a\n\n",
               Relay.feed("id: 1\ndata: a\n\nid: 2\nda").c_str());
  Relay.restart();
  STRCMP_EQUAL("id: 2\ndata: b\n\n", Relay.feed("id: 2\ndata: b\n\n").c_str());
}

// Guards against: the second server starts the stream from the beginning, and
// the caller gets events twice.
TEST(EventRelay, DropsDuplicateEvents) {
  Relay.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  Relay.restart();
  STRCMP_EQUAL("id: 3\n\n", Relay.feed("id: 2\ndata: b\n\nid: 3\n\n").c_str());
}

TEST(EventRelay, ResumesAfterLastEvent) {
  Relay = EventRelay(7);
  STRCMP_EQUAL("id: 8\n\n", Relay.feed("id: 7\n\nid: 8\n\n").c_str());
}

TEST(EventRelay, AcceptsCarriageReturns) {
  STRCMP_EQUAL("id: 1\r\n\r\n", Relay.feed("id: 1\r\n\r\n").c_str());
}

// Failure: the bytes after the last whole event reach the caller as the end of
// its stream.
TEST(EventRelay, KeepsBytesAfterLastEvent) {
  Relay.feed("id: 1\n\ntail");
  CHECK(Relay.end() == StreamEnd::InsideEvent);
  LONGS_EQUAL(4, Relay.incompleteBytes());
}

// Failure: events of a server that mixes line ends are held back, or divided.
TEST(EventRelay, AcceptsMixedLineEnds) {
  for (const std::string Event :
       {"id: 1\n\n", "id: 1\r\n\r\n", "id: 1\r\r", "id: 1\n\r\n", "id: 1\r\n\n",
        "id: 1\r\n\r", "id: 1\ndata: a\rdata: b\r\n\n"}) {
    const std::string Text = Event + "id: 2\n\n";
    Relay = EventRelay();
    std::string Output;
    for (const char Byte : Text)
      Output += Relay.feed({&Byte, 1});
    STRCMP_EQUAL(Text.c_str(), Output.c_str());
    LONGS_EQUAL(2, Relay.events());
    CHECK(Relay.end() == StreamEnd::AfterEvent);
  }
}

// Failure: the line feed of the last CR LF comes in a packet of its own, and
// the caller gets an event without it.
TEST(EventRelay, WaitsForTheEndOfABlankLine) {
  STRCMP_EQUAL("", Relay.feed("id: 1\r\n\r").c_str());
  STRCMP_EQUAL("id: 1\r\n\r\n", Relay.feed("\n").c_str());
}

// Failure: events of a server that ends lines with CR wait for the next event.
TEST(EventRelay, CarriageReturnsAloneEndEvents) {
  STRCMP_EQUAL("id: 1\r\r", Relay.feed("id: 1\r\r").c_str());
  CHECK(Relay.end() == StreamEnd::AfterEvent);
}

TEST(EventRelay, ReadsTheIdAfterAByteOrderMark) {
  Relay.feed("\xEF\xBB\xBFid: 1\n\n");
  LONGS_EQUAL(1, *Relay.lastEvent());
}

TEST(EventRelay, CommentsAreNoEvents) {
  STRCMP_EQUAL(": wait\n\n", Relay.feed(": wait\n\n").c_str());
  CHECK(Relay.end() == StreamEnd::WithoutEvent);
  Relay.feed("data: a\n\n");
  CHECK(Relay.end() == StreamEnd::AfterEvent);
  Relay.restart();
  CHECK(Relay.end() == StreamEnd::WithoutEvent);
}
