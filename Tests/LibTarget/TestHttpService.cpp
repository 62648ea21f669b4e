//===- TestHttpService.cpp - Calls to a plain service ---------------------===//
//
// Against a server that breaks off where a service would.
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

TEST_GROUP(HttpService){
    static CallResult<ServiceReply> call(HttpService & Service,
                                         bool Repeatable){
        auto Ended = std::make_shared<std::promise<CallResult<ServiceReply>>>();
ServiceRequest Request;
Request.Method = "POST";
Request.Path = "/slots/7";
Request.Body = "{}";
Request.Repeatable = Repeatable;
Request.Timeout = milliseconds(300);
Service.call(Request, [Ended](CallResult<ServiceReply> Reply) {
  Ended->set_value(std::move(Reply));
});
return Ended->get_future().get();
}
static void checkError(const CallResult<ServiceReply> &Reply,
                       Execution Executed) {
  CHECK_FALSE(Reply.has_value());
  CHECK_TRUE(Reply.error().Executed == Executed);
}
}
;

TEST(HttpService, SendsWorkThatMayNotBeRepeatedOnce) {
  // Symptom: a slot is held twice by one call.
  // Sequence: an earlier call leaves a pooled connection; the next call goes
  // out; the service runs it and dies before it answers; the client library
  // sends the same request again on a new connection.
  // Cause: the library takes a close on a reused connection for proof that
  // the request was not processed.
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

TEST(HttpService, SilenceMayHaveRun) {
  // Symptom: "not run" is said of a call that the service took.
  // Sequence: the service reads the call and says nothing until the timeout.
  // Cause: a timeout is taken for a connection that never came into being.
  RawServer Server({{Step::Action::NoResponse}});
  HttpService Service({"127.0.0.1", Server.port()});
  checkError(call(Service, false), Execution::MayHaveRun);
}

TEST(HttpService, RefusedConnectionDidNotRun) {
  const uint16_t Port = RawServer({}).port();
  HttpService Service({"127.0.0.1", Port});
  checkError(call(Service, false), Execution::NotRun);
}
