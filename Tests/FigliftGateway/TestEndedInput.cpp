//===- TestEndedInput.cpp - Callers that end their input and wait ---------===//
//
// A caller that has ended its input may have left, or may wait for its answer.
// What may not be repeated is answered; all else ends, and its caller is told.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <array>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

namespace asio = boost::asio;

TEST_GROUP(EndedInputAtAGateway) {
  GatewayFixture Fixture;
  Listener *Server = nullptr;

  void setup() override {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    Server = &Fixture.addServer(
        "s1", "plain", [this](const proxy::Request &Request, const Caller &To) {
          const auto Timer = std::make_shared<asio::steady_timer>(
              Fixture.Loop, milliseconds(200));
          Timer->async_wait([Timer, Request, To](const auto &) {
            respondSigned(Request, To, 200, "done");
          });
        });
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets 1");
    }));
  }
  /// Sends a request, ends the input and returns what arrives.
  std::string answerTo(const std::string &Path) {
    asio::ip::tcp::socket Caller(Fixture.Loop);
    const Endpoint &To = Fixture.Settings.Listen.Callers;
    Caller.connect({asio::ip::make_address_v4(To.Address), To.Port});
    asio::write(Caller, asio::buffer("POST " + Path +
                                     "x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
                                     "a1\r\nContent-Length: 0\r\n\r\n"));
    Caller.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::string Answer;
    std::array<char, 4096> Buffer;
    bool HasEnded = false;
    std::function<void()> Read = [&] {
      Caller.async_read_some(asio::buffer(Buffer),
                             [&](const auto &Code, size_t Count) {
                               Answer.append(Buffer.data(), Count);
                               HasEnded = Code.failed();
                               if (!HasEnded)
                                 Read();
                             });
    };
    Read();
    CHECK(Fixture.waitUntil([&] { return HasEnded; }));
    return Answer;
  }
};

// Failure: a server has run a request, and its connection is closed without an
// answer, as its caller had ended its input.
TEST(EndedInputAtAGateway, WhatMayRunOnceIsAnswered) {
  // On a new connection it might not have been passed on yet.
  CHECK(contains(Fixture.request("POST", "/unsafe/x"), "HTTP/1.1 200"));
  const std::string Answer = answerTo("/unsafe/");
  CHECK(contains(Answer, "HTTP/1.1 200"));
  CHECK(contains(Answer, "done"));
  LONGS_EQUAL(2, Server->Requests.size());
}

// Failure: a server works on for a caller that has left, or the caller is not
// told that its request has ended.
TEST(EndedInputAtAGateway, WhatMayBeRepeatedEndsAndIsToldSo) {
  const std::string Answer = answerTo("/safe/");
  CHECK(contains(Answer, "HTTP/1.1 502") || contains(Answer, "HTTP/1.1 503"));
  CHECK(Fixture.waitUntil([&] {
    return Server->Requests.empty() || Server->DisconnectedCallers == 1;
  }));
}
