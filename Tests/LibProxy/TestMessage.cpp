//===- TestMessage.cpp - Header lookup and forwarding ---------------------===//
//
// Lookup of header fields, and which fields are forwarded.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/Message.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::proxy;

TEST_GROUP(Message) { HeaderList Headers; };

TEST(Message, FindsFieldsCaseInsensitively) {
  Headers.add("Keep-Alive", "timeout=5");
  CHECK(Headers.find("keep-alive") == "timeout=5");
  CHECK(!Headers.has("Keep"));
}

TEST(Message, FindsTokensInCommaSeparatedLists) {
  Headers.add("Connection", "x , Close");
  CHECK(Headers.containsToken("connection", "close"));
  CHECK(!Headers.containsToken("connection", "clos"));
}

// Symptom: a caller can close the connection to a server or change its framing.
// Cause: hop-by-hop fields of the caller's connection were forwarded.
TEST(Message, ForwardsNoHopByHopFields) {
  Headers.add("Connection", "X-Private");
  Headers.add("X-Private", "1");
  Headers.add("Transfer-Encoding", "chunked");
  Headers.add("TE", "trailers");
  Headers.add("X-Kept", "1");
  const HeaderList Forwarded = endToEndHeaders(Headers);
  CHECK(Forwarded.has("X-Kept"));
  for (const char *Name :
       {"Connection", "X-Private", "Transfer-Encoding", "TE"})
    CHECK(!Forwarded.has(Name));
}
