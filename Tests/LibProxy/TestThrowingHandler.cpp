//===- TestThrowingHandler.cpp - Handlers that throw ----------------------===//
//
// A handler that throws must cost the one connection, whose end is reported
// once, and neither the loop nor other connections.
//
//===----------------------------------------------------------------------===//

#include "CallerConnectionFixture.h"

#include <stdexcept>

using namespace figlift;
using namespace figlift::proxy;

namespace {

class ThrowingRequest : public ActiveRequest {
public:
  void callerDisconnected() override {
    ++Disconnects;
    throw std::runtime_error("odd disconnect");
  }
  void callerWritable() override { throw std::runtime_error("odd write"); }
  int Disconnects = 0;
};

class ThrowingHandler : public RequestHandler {
public:
  std::shared_ptr<ActiveRequest>
  handle(Request Incoming, std::shared_ptr<CallerConnection> From) override {
    if (Incoming.Head.Target == "/odd")
      throw std::runtime_error("odd request");
    ResponseHead Head;
    Head.Status = 200;
    if (Incoming.Head.Target == "/stream") {
      From->beginStream(Head);
      return Active;
    }
    From->respond(Head, "ok");
    return nullptr;
  }
  ErrorResponse rejected(unsigned Status) override {
    return errorResponse(Status);
  }
  void closed(CallerConnection &) override { ++Closes; }
  std::shared_ptr<ThrowingRequest> Active = std::make_shared<ThrowingRequest>();
  int Closes = 0;
};

} // namespace

TEST_GROUP_BASE(ThrowingHandler, CallerConnectionFixture) {
  ThrowingHandler Throwing;

  void openThrowing() {
    // It stops when it has no work left.
    Loop.restart();
    Caller = tcp::socket(Loop);
    Caller.connect(Acceptor.local_endpoint());
    std::make_shared<CallerConnection>(Acceptor.accept(), Throwing)->start();
    Caller.non_blocking(true);
    Ended = false;
    Received.clear();
  }
};

// Failure: one request makes its handler throw, and the process ends with all
// other requests.
TEST(ThrowingHandler, EndsItsConnectionOnly) {
  openThrowing();
  send("GET /odd HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(ends());
  STRCMP_EQUAL("", Received.c_str());
  LONGS_EQUAL(1, Throwing.Closes);
  openThrowing();
  send("GET /plain HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(receives("ok"));
}

// Failure: a request throws as its caller can take more, and throws again when
// it is told of the end: the process ends, or keeps a pointer to a connection
// that is gone.
TEST(ThrowingHandler, ReportsTheEndOnce) {
  openThrowing();
  send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(ends());
  LONGS_EQUAL(1, Throwing.Active->Disconnects);
  LONGS_EQUAL(1, Throwing.Closes);
}
