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

TEST(EventRelay, ReturnsBytesAfterLastEvent) {
  Relay.feed("id: 1\n\ntail");
  STRCMP_EQUAL("tail", Relay.finish().c_str());
}
