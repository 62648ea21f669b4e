//===- TestUnexpectedExceptions.cpp - Messages that make a gateway throw --===//
//
// An unexpected exception ends the processing of one message only: the gateway
// and its other requests go on. The log sink throws the exceptions, because
// nearly every handler writes to the log.
//
//===----------------------------------------------------------------------===//

#include "StandInPlatform.h"

#include "LibDispatch/DatagramSeal.h"
#include "LibLog/Log.h"

#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;

TEST_GROUP(UnexpectedExceptions) {
  GatewayFixture Fixture;
  std::mutex Mutex;
  std::string Dropped;
  /// A line with both texts makes the log throw.
  std::string Event;
  std::string Detail;
  std::atomic<int> Thrown = 0;
  size_t LongestThrown = 0;

  void setup() override {
    // The log must not be configured while a gateway writes to it.
    Fixture.killGateway();
    log::Options Throwing;
    Throwing.Sink = [this](std::string_view Line) { onLine(Line); };
    log::configure(Throwing);
    Fixture.startGateway();
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    Fixture.addServer("s1", "plain", respondWith("one"));
    CHECK(Fixture.waitUntil([&] { return hasTargets(1); }));
  }
  void teardown() override {
    Fixture.killGateway();
    log::Options Quiet;
    Quiet.Threshold = log::Level::Off;
    log::configure(Quiet);
  }
  void onLine(std::string_view Line) {
    const std::lock_guard Lock(Mutex);
    if (Line.find("\"message-dropped\"") != std::string_view::npos) {
      Dropped += Line;
      Dropped += '\n';
    } else if (!Event.empty() && Line.find(Event) != std::string_view::npos &&
               Line.find(Detail) != std::string_view::npos) {
      ++Thrown;
      LongestThrown = std::max(LongestThrown, Line.size());
      throw std::runtime_error("odd line");
    }
  }
  void throwAt(const std::string &NewEvent, const std::string &NewDetail) {
    const std::lock_guard Lock(Mutex);
    Event = NewEvent;
    Detail = NewDetail;
  }
  std::string dropped() {
    const std::lock_guard Lock(Mutex);
    return Dropped;
  }
  bool hasTargets(int Count) {
    return contains(Fixture.metrics(),
                    "figlift_gateway_targets " + std::to_string(Count) + "\n");
  }
  bool isServed(const std::string &Method, const std::string &Path) {
    return contains(Fixture.request(Method, Path), "HTTP/1.1 200");
  }
};

// Failure: one entry of the list of servers makes a gateway throw, and it ends
// with all that it has accepted, or stops following the list.
TEST(UnexpectedExceptions, ListIsFollowedPastAnEntryThatThrows) {
  throwAt("target-came", "\"odd\"");
  Fixture.addServer("odd", "plain", respondWith("odd"));
  CHECK(Fixture.waitUntil([&] { return Thrown > 0; }));
  Fixture.addServer("late", "plain", respondWith("late"));
  CHECK(Fixture.waitUntil([&] { return hasTargets(3); }));
  Fixture.setServerState("s1", "draining");
  Fixture.setServerState("odd", "draining");
  CHECK(Fixture.waitUntil(
      [&] { return contains(Fixture.request("GET", "/safe/x"), "late"); }));
  // What follows a line that throws is done: the server takes requests.
  Fixture.setServerState("odd", "ready");
  Fixture.setServerState("late", "draining");
  CHECK(Fixture.waitUntil(
      [&] { return contains(Fixture.request("GET", "/safe/x"), "odd"); }));
  CHECK(contains(dropped(), "\"reason\":\"odd line\""));
  CHECK(contains(Fixture.metrics(), "figlift_gateway_messages_dropped_total"));
  CHECK(!contains(Fixture.metrics(),
                  "figlift_gateway_messages_dropped_total 0\n"));
}

// Failure: a configuration makes a gateway throw, and no later one comes into
// force there.
TEST(UnexpectedExceptions, NextConfigurationComesIntoForce) {
  throwAt("configuration-in-force", "\"version\":2,");
  Fixture.configure(2);
  CHECK(Fixture.waitUntil([&] { return Thrown > 0; }));
  Fixture.configure(3);
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(),
                    "figlift_gateway_configuration_version 3\n");
  }));
  CHECK(isServed("GET", "/safe/x"));
}

// Failure: a request makes a gateway throw before it is sent, and its caller is
// not told that it has not run.
TEST(UnexpectedExceptions, RequestThatThrowsBeforeItIsSentIsRefused) {
  throwAt("request-taken", "");
  const std::string Answer = Fixture.request("POST", "/unsafe/x");
  CHECK(Thrown > 0);
  CHECK(contains(Answer, "HTTP/1.1 503"));
  CHECK(contains(Answer, "Retry-After"));
  throwAt("", "");
  CHECK(isServed("POST", "/unsafe/x"));
}

// Failure: a request makes a gateway throw after it has been sent, and counts
// as not run; or the request never ends.
TEST(UnexpectedExceptions, RequestThatThrowsAfterItWasSentIsNotCalledNotRun) {
  throwAt("request-sent", "");
  const std::string Answer = Fixture.request("POST", "/unsafe/x");
  CHECK(Thrown > 0);
  CHECK(contains(Answer, "HTTP/1.1 504") || contains(Answer, "HTTP/1.1 502"));
  throwAt("", "");
  CHECK(isServed("POST", "/unsafe/x"));
}

// Failure: the bookkeeping at the end of a request throws, and its caller loses
// the answer.
TEST(UnexpectedExceptions, AnswerArrivesThoughItsRecordThrows) {
  throwAt("request-ended", "");
  CHECK(isServed("POST", "/unsafe/x"));
  CHECK(Thrown > 0);
}

// Failure: a gateway that has thrown in a tick does not stop on SIGTERM.
TEST(UnexpectedExceptions, GatewayStopsAsEver) {
  throwAt("stopping", "");
  Fixture.sendTermination();
  CHECK(Fixture.waitUntil([&] { return Thrown > 0; }));
  CHECK(Fixture.waitUntil([&] { return Fixture.hasStopped(); }));
}

// Failure: an odd row of the list of gateways keeps the rows after it from
// being applied, and its value of up to 64 KiB is logged at each read.
TEST(UnexpectedExceptions, AnOddGatewayIsOneRowOfTheList) {
  using boost::asio::ip::udp;
  udp::socket Peer(Fixture.Loop,
                   {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
  Fixture.killGateway();
  Event = "peer-row-invalid";
  Detail = "a-odd";
  Fixture.Store.put("figlift-gateways", "#secret",
                    dispatch::DatagramSeal::newSecret());
  Fixture.Store.put("figlift-gateways", "a-odd", std::string(60'000, 'x'));
  Fixture.Store.put("figlift-gateways", "b",
                    "127.0.0.1:" +
                        std::to_string(Peer.local_endpoint().port()));
  Fixture.startGateway();
  CHECK(Fixture.waitUntil([&] { return Peer.available() > 0; }));
  const std::lock_guard Lock(Mutex);
  CHECK(Thrown > 0);
  CHECK(LongestThrown < 1000);
}
