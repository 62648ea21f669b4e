//===- TestMessage.cpp - Heads of messages --------------------------------===//
//
// Field lookup and which fields are forwarded.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/Message.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::proxy;

TEST_GROUP(Message) { HeaderList Headers; };

TEST(Message, FindsFieldsWithoutRegardToCase) {
  Headers.add("Keep-Alive", "timeout=5");
  CHECK(Headers.find("keep-alive") == "timeout=5");
  CHECK(!Headers.has("Keep"));
}

TEST(Message, FindsTokensInLists) {
  Headers.add("Connection", "x , Close");
  CHECK(Headers.lists("connection", "close"));
  CHECK(!Headers.lists("connection", "clos"));
}

// Symptom: a server's connection ends, or changes its framing, at a caller's
// word. Cause: fields of the caller's connection were forwarded.
TEST(Message, ForwardsNoFieldOfOneConnection) {
  Headers.add("Connection", "X-Private");
  Headers.add("X-Private", "1");
  Headers.add("Transfer-Encoding", "chunked");
  Headers.add("TE", "trailers");
  Headers.add("X-Kept", "1");
  const HeaderList Kept = endToEndHeaders(Headers);
  CHECK(Kept.has("X-Kept"));
  for (const char *Name :
       {"Connection", "X-Private", "Transfer-Encoding", "TE"})
    CHECK(!Kept.has(Name));
}
