//===- TestEventRelay.cpp - Forwards whole events of a stream -------------===//
//
// Events cut at any byte, servers that stop within one, and second runs.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EventRelay.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(EventRelay) { EventRelay Relay; };

TEST(EventRelay, ForwardsEventsUnchangedHoweverTheyAreCut) {
  const std::string Text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  std::string Out;
  for (const char Byte : Text)
    Out += Relay.feed({&Byte, 1});
  STRCMP_EQUAL(Text.c_str(), Out.c_str());
  LONGS_EQUAL(2, *Relay.lastEvent());
}

// Symptom: a caller's stream has a piece that is neither server's.
// Sequence: the first server stops within event 2, a second goes on after
// event 1. Cause: the beginning of the broken event had been forwarded.
TEST(EventRelay, DropsTheBeginningOfABrokenEvent) {
  STRCMP_EQUAL("id: 1\ndata: a\n\n",
               Relay.feed("id: 1\ndata: a\n\nid: 2\nda").c_str());
  Relay.restart();
  STRCMP_EQUAL("id: 2\ndata: b\n\n", Relay.feed("id: 2\ndata: b\n\n").c_str());
}

// Symptom: a piece comes twice. Sequence: the second server begins anew.
TEST(EventRelay, DropsEventsThatTheCallerHas) {
  Relay.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  Relay.restart();
  STRCMP_EQUAL("id: 3\n\n", Relay.feed("id: 2\ndata: b\n\nid: 3\n\n").c_str());
}

TEST(EventRelay, GoesOnAfterTheCallersLastEvent) {
  Relay = EventRelay(7);
  STRCMP_EQUAL("id: 8\n\n", Relay.feed("id: 7\n\nid: 8\n\n").c_str());
}

TEST(EventRelay, KnowsReturnsAndLineFeeds) {
  STRCMP_EQUAL("id: 1\r\n\r\n", Relay.feed("id: 1\r\n\r\n").c_str());
}

TEST(EventRelay, GivesTheRestOfAWholeStream) {
  Relay.feed("id: 1\n\ntail");
  STRCMP_EQUAL("tail", Relay.finish().c_str());
}
