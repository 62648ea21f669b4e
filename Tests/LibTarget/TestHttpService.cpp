//===- TestHttpService.cpp - Tests of HttpService -------------------------===//
//
// Uses a server that fails at the points where a service may fail.
//
//===----------------------------------------------------------------------===//

#include <utility>

#include "LibPlatform/RawServer.h"

#include "LibTarget/HttpService.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::target;
using figlift::test::RawServer;
using figlift::test::Step;
using std::chrono::milliseconds;

TEST_GROUP(HttpService){static CallResult<ServiceReply> call(HttpService &
                                                                 Service,
                                                             bool Repeatable){
    auto Promise = std::make_shared<std::promise<CallResult<ServiceReply>>>();
ServiceRequest Request;
Request.Method = "POST";
Request.Path = "/slots/7";
Request.Body = "{}";
Request.Repeatable = Repeatable;
Request.Timeout = milliseconds(300);
Service.call(Request, [Promise](CallResult<ServiceReply> Reply) {
  Promise->set_value(std::move(Reply));
});
return Promise->get_future().get();
}
static void checkError(const CallResult<ServiceReply> &Reply,
                       Execution Executed) {
  CHECK_FALSE(Reply.has_value());
  CHECK_TRUE(Reply.error().Executed == Executed);
}
}
;

TEST(HttpService, SendsNonRepeatableCallsOnce) {
  // Guards against a call that runs twice: a call is sent on a pooled
  // connection, and the service runs it and dies before it answers. The client
  // library treats the close of a reused connection as proof that the request
  // was not processed, and resends it on a new connection.
  RawServer Server({{Step::Action::Respond},
                    {Step::Action::Respond},
                    {Step::Action::CloseConnection},
                    {Step::Action::Respond}});
  HttpService Service({"127.0.0.1", Server.port()});
  CHECK_TRUE(call(Service, true).has_value());
  CHECK_TRUE(call(Service, false).has_value());
  checkError(call(Service, false), Execution::MayHaveRun);
  CHECK_EQUAL(3u, Server.requests());
}

TEST(HttpService, TimeoutMayHaveRun) {
  // Guards against "not run" for a call that the service received: the service
  // reads the call and does not answer before the time-out, which must not be
  // treated as a failure to connect.
  RawServer Server({{Step::Action::NoResponse}});
  HttpService Service({"127.0.0.1", Server.port()});
  checkError(call(Service, false), Execution::MayHaveRun);
}

TEST(HttpService, RefusedConnectionDidNotRun) {
  const uint16_t Port = RawServer({}).port();
  HttpService Service({"127.0.0.1", Port});
  checkError(call(Service, false), Execution::NotRun);
}
