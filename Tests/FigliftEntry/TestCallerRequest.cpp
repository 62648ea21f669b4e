//===- TestCallerRequest.cpp - Parsing of callers' requests ---------------===//
//
// Accepted and rejected requests, and the effects of configuration records.
//
//===----------------------------------------------------------------------===//

#include "EntryFixtures.h"

#include "figlift-entry/CallerRequest.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::entry;

TEST_GROUP(CallerRequest) {
  config::SnapshotPointer Records = test::testConfiguration();
  ReadContext Context{*Records, std::chrono::seconds(30), "fresh"};

  http::Request completion(const std::string &Body) {
    http::Request Request;
    Request.Method = "POST";
    Request.Path = "/v1/completions";
    Request.Body = Body;
    return Request;
  }
  Result<CallerRequest> read(const std::string &Body) {
    return readCompletion(completion(Body), CompletionApi::Text, Context);
  }
  http::Request service(const std::string &Method, const std::string &Path) {
    http::Request Request;
    Request.Method = Method;
    Request.Path = Path;
    Request.RawPath = Path;
    return Request;
  }
  ResultCode codeOf(const Result<CallerRequest> &Read) {
    return Read ? ResultCode::Success : Read.error().Code;
  }
};

TEST(CallerRequest, FindsModelsByEachOfTheirNames) {
  for (const char *Model : {"desk", "desk@1", "lm-desk/desk", "lm-desk"}) {
    const auto Read =
        read(std::string(R"({"prompt":"p","model":")") + Model + "\"}");
    CHECK_TRUE_TEXT(Read.has_value(), Model);
    STRCMP_EQUAL("lm-desk", Read.value().BackEnd.c_str());
  }
  CHECK(ResultCode::UnknownModel ==
        codeOf(read(R"({"prompt":"p","model":"other"})")));
  CHECK(ResultCode::UnknownBackEnd ==
        codeOf(read(R"({"prompt":"p","model":"other/desk"})")));
}

TEST(CallerRequest, RejectsUnsupportedFieldsByName) {
  const auto Many = read(R"({"prompt":"p","model":"desk","n":2})");
  STRCMP_EQUAL("n", Many.error().Field.c_str());
  const auto Zero = read(R"({"prompt":"p","model":"desk","max_tokens":0})");
  STRCMP_EQUAL("max_tokens", Zero.error().Field.c_str());
  const auto NoPrompt = read(R"({"model":"desk"})");
  STRCMP_EQUAL("prompt", NoPrompt.error().Field.c_str());
  CHECK(ResultCode::InvalidInput == codeOf(read("[1")));
}

TEST(CallerRequest, NeverUsesTheCallersIdAsRequestId) {
  // Guards against a caller that receives another caller's answer. This happens
  // when two callers send the same X-Request-Id and it is used as a unique id:
  // agents hold answers by request id and resume one for the other.
  http::Request Request = completion(R"({"prompt":"p","model":"desk"})");
  Request.Headers["x-request-id"] = "mine";
  const auto Read = readCompletion(Request, CompletionApi::Text, Context);
  STRCMP_EQUAL("mine", Read.value().CallerId.c_str());
  STRCMP_EQUAL("fresh", Read.value().RequestId.c_str());
}

TEST(CallerRequest, RejectsDeadlineWithoutUnitAndUnknownWorkspace) {
  http::Request Request = completion(R"({"prompt":"p","model":"desk"})");
  Request.Headers["x-figlift-deadline"] = "2s";
  const auto Read = readCompletion(Request, CompletionApi::Text, Context);
  CHECK(std::chrono::seconds(2) == Read.value().Deadline);
  Request.Headers["x-figlift-deadline"] = "2";
  CHECK(ResultCode::InvalidInput ==
        codeOf(readCompletion(Request, CompletionApi::Text, Context)));
  Request.Headers["x-figlift-deadline"] = "2s";
  Request.Headers["x-figlift-workspace"] = "nobody";
  CHECK(ResultCode::InvalidInput ==
        codeOf(readCompletion(Request, CompletionApi::Text, Context)));
}

TEST(CallerRequest, AppliesRepeatabilityAndClassFromRecords) {
  http::Request Reservation =
      service("POST", "/v1/services/booking-core/slots/7");
  Reservation.Headers["idempotency-key"] = "key";
  Reservation.RawQuery = "a=%20b";
  const auto Read = readServiceCall(Reservation, Context);
  CHECK_FALSE(Read.value().Repeatable);
  CHECK_TRUE(Read.value().keyed());
  STRCMP_EQUAL("/slots/7?a=%20b",
               std::get<ServiceWork>(Read.value().Work).Path.c_str());

  const auto Query = readServiceCall(
      service("GET", "/v1/services/booking-core/slots/7"), Context);
  CHECK_TRUE(Query.value().Repeatable);
  const auto Similar = readServiceCall(
      service("POST", "/v1/services/booking-core/slotsman"), Context);
  CHECK_TRUE(Similar.value().Repeatable);
  const auto Waiver = readServiceCall(
      service("GET", "/v1/services/booking-core/waivers/3"), Context);
  CHECK(record::ServiceClass::Immediate == Waiver.value().Class);
}

TEST(CallerRequest, RejectsAmbiguousPaths) {
  // Guards against a reservation that is made twice after a lost connection.
  // This happens when entry and service interpret a path differently: the path
  // "/x/../slots/7" looks repeatable and is retried, but the service resolves
  // it to "/slots/7".
  for (const char *Path :
       {"/x/../slots/7", "//slots/7", "/./slots/7", "/slots/..", "/a%2fb",
        "/slots;x/7", "/slots\n/7", "/slots\x7f"}) {
    http::Request Request =
        service("POST", std::string("/v1/services/booking-core") + Path);
    CHECK_TRUE_TEXT(ResultCode::InvalidInput ==
                        codeOf(readServiceCall(Request, Context)),
                    Path);
  }
  http::Request Escaped = service("POST", "/v1/services/booking-core/slots/7");
  Escaped.RawPath = "/v1/%73ervices/booking-core/slots/7";
  CHECK(ResultCode::InvalidInput == codeOf(readServiceCall(Escaped, Context)));
}
