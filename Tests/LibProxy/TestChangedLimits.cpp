//===- TestChangedLimits.cpp - Limits that change on open connections
//-----------===//
//
// The operator changes the limits on callers while connections are open.
//
//===----------------------------------------------------------------------===//

#include "CallerConnectionFixture.h"

using namespace figlift::proxy;

TEST_GROUP_BASE(ChangedLimits, CallerConnectionFixture){
    static std::string post(size_t BodyBytes, const std::string &Field = ""){
        return "POST / HTTP/1.1\r\nHost: h\r\n" + Field +
               "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
               std::string(BodyBytes, 'x');
}
/// Opens a connection and has a request answered on it.
void openAndServe() {
  open();
  send(post(1));
  CHECK(receives("ok"));
  Received.clear();
}
void change(const CallerLimits &Changed) {
  Limits = Changed;
  Opened->limitsChanged();
}
/// Whether the connection is still open after \p Time.
bool staysOpen(milliseconds Time) {
  Loop.run_for(Time);
  receive();
  return !Ended;
}
}
;

// Failure: the operator raises the limit on bodies, and proper requests on open
// connections are answered 413.
TEST(ChangedLimits, RaisedBodyIsServed) {
  Limits.Bounds.BodyBytes = 100;
  openAndServe();
  change({{16384, 10000}});
  send(post(5000));
  CHECK(receives("HTTP/1.1 200"));
}

TEST(ChangedLimits, LoweredBodyIsRejected) {
  openAndServe();
  change({{16384, 100}});
  send(post(5000));
  CHECK(receives("HTTP/1.1 413"));
}

// Failure: the same with the limit on heads, and 431.
TEST(ChangedLimits, RaisedHeadIsServed) {
  Limits.Bounds.HeadBytes = 200;
  openAndServe();
  change({{10000, 100}});
  send(post(1, "X-Long: " + std::string(1000, 'x') + "\r\n"));
  CHECK(receives("HTTP/1.1 200"));
}

TEST(ChangedLimits, LoweredHeadIsRejected) {
  openAndServe();
  change({{200, 100}});
  send(post(1, "X-Long: " + std::string(1000, 'x') + "\r\n"));
  CHECK(receives("HTTP/1.1 431"));
}

// Failure: a connection that was accepted before a configuration was read keeps
// limits that no operator has set, as its first request comes later.
TEST(ChangedLimits, HoldForTheFirstRequest) {
  Limits.Bounds.BodyBytes = 100;
  open();
  Loop.run_for(milliseconds(10));
  change({{16384, 10000}});
  send(post(5000));
  CHECK(receives("HTTP/1.1 200"));
}

// Failure: a request that is half read at the change is judged by one limit for
// its beginning and by another one for its rest.
TEST(ChangedLimits, RequestKeepsThoseOfItsBeginning) {
  Limits.Bounds.BodyBytes = 10000;
  openAndServe();
  const std::string Bytes = post(5000);
  send(Bytes.substr(0, 10));
  Loop.run_for(milliseconds(10));
  change({{16384, 100}});
  send(Bytes.substr(10));
  CHECK(receives("HTTP/1.1 200"));
  Received.clear();
  send(Bytes);
  CHECK(receives("HTTP/1.1 413"));
}

// Failure: a request that waits behind another one on its connection is judged
// by the limits of that one.
TEST(ChangedLimits, HoldForPipelinedRequests) {
  Limits.Bounds.BodyBytes = 100;
  Handler.RespondImmediately = false;
  open();
  send(post(1));
  CHECK(until([&] { return Handler.Requests.size() == 1; }));
  change({{16384, 10000}});
  send(post(5000));
  Loop.run_for(milliseconds(10));
  Handler.respond("ok");
  CHECK(until([&] { return Handler.Requests.size() == 2; }));
}

// Failure: callers keep connections for as long as the new configuration says,
// and find them closed.
TEST(ChangedLimits, RaisedIdleTimeoutHoldsForIdleConnections) {
  Limits.IdleTimeout = milliseconds(100);
  openAndServe();
  change({{}, milliseconds(3000), milliseconds(10000)});
  CHECK(staysOpen(milliseconds(300)));
  send(post(1));
  CHECK(receives("ok"));
}

// Failure: idle connections take memory and descriptors for longer than the
// operator allows.
TEST(ChangedLimits, LoweredIdleTimeoutHoldsForIdleConnections) {
  Limits.IdleTimeout = milliseconds(10000);
  const auto Begin = std::chrono::steady_clock::now();
  openAndServe();
  Loop.run_for(milliseconds(50));
  change({{}, milliseconds(3000), milliseconds(200)});
  CHECK(ends());
  CHECK(std::chrono::steady_clock::now() - Begin >= milliseconds(200));
}

// Failure: a slow head gets the time of an earlier configuration.
TEST(ChangedLimits, HeadTimeoutHoldsForTheNextRequest) {
  Limits.HeadTimeout = milliseconds(50);
  openAndServe();
  change({{}, milliseconds(2000), milliseconds(15000)});
  send("POST / HT");
  CHECK(staysOpen(milliseconds(200)));
  send("TP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  CHECK(receives("ok"));
  Received.clear();
  change({{}, milliseconds(50), milliseconds(15000)});
  send("POST / HT");
  CHECK(receives("HTTP/1.1 408"));
}
