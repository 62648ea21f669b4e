//===- TestCallerMemory.cpp - Memory for requests of all callers ----------===//
//
// Requests that share a bounded memory.
//
//===----------------------------------------------------------------------===//

#include "CallerConnectionFixture.h"

using namespace figlift::proxy;

TEST_GROUP_BASE(CallerMemory, CallerConnectionFixture){};

// Failure: callers that begin large requests and do not end them use up the
// memory, each within its own limit.
TEST(CallerMemory, RequestsTogetherAreBounded) {
  open();
  figlift::MemoryShare Others(&Handler.Memory);
  Others.set(Handler.Memory.maximum());
  send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n" +
       std::string(200000, 'x'));
  CHECK(receives("HTTP/1.1 503"));
  CHECK(ends());
  LONGS_EQUAL(0, Handler.Requests.size());
  Caller.close();
  CHECK(until([&] { return Handler.Closed; }));
  Opened.reset();
  Others.set(0);
  LONGS_EQUAL(0, Handler.Memory.used());
}

// Failure: large requests use up the memory, and small ones are refused.
TEST(CallerMemory, SmallRequestsAreServedWithoutMemory) {
  open();
  figlift::MemoryShare Others(&Handler.Memory);
  Others.set(Handler.Memory.maximum() * 2);
  send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
  CHECK(receives("HTTP/1.1 200"));
}

// Failure: what a request has held is never given back, and after a while all
// are refused.
TEST(CallerMemory, GivesBackTheMemoryOfARequest) {
  Limits.Bounds.BodyBytes = 1 << 20;
  open();
  for (int I = 0; I < 5; ++I) {
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 800000\r\n\r\n" +
         std::string(800000, 'x'));
    CHECK(receives("HTTP/1.1 200"));
    Received.clear();
  }
  LONGS_EQUAL(0, Handler.Memory.used());
}

// Guards against: idle connections keep the memory of their last large answer.
TEST(CallerMemory, GivesBackTheMemoryOfAnAnswer) {
  open();
  Handler.RespondImmediately = false;
  send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(until([&] { return Handler.Requests.size() == 1; }));
  const std::string Body(800000, 'x');
  Handler.respond(Body);
  CHECK(Handler.Memory.used() > 700000);
  CHECK(receives(Body));
  CHECK(until([&] { return Handler.Memory.used() == 0; }));
  LONGS_EQUAL(0, Opened->unsentBytes());
}
