//===- TestEngineCalls.cpp - Tests of control calls to engines ------------===//
//
// Examples of the platform, and malformed responses.
//
//===----------------------------------------------------------------------===//

#include "platform/EngineCalls.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::slopes;

TEST_GROUP(EngineCalls){};

TEST(EngineCalls, ReadsTheResponseToAPrefill) {
  const auto Decoded = decodePrefillResult(
      R"({"kvHandle":"3fa09c41b7d5","tokens":1460,"version":1})");
  STRCMP_EQUAL("3fa09c41b7d5", Decoded.value().Handle.c_str());
  LONGS_EQUAL(1460, Decoded.value().Tokens);
}

TEST(EngineCalls, NamesAMissingHandle) {
  STRCMP_EQUAL("kvHandle",
               decodePrefillResult(R"({"tokens":1})").error().Field.c_str());
  CHECK(!decodePrefillResult("<html>").has_value());
}

// Failure: a server runs what no caller sent.
// Cause: a handle with a line break becomes a part of the next engine's
// request, and its target of a call to release it.
TEST(EngineCalls, RefuseAHandleThatWouldEndItsField) {
  for (const char *Handle :
       {R"(a\r\nX-Evil: 1)", R"(a\n)", R"(a\u0000)", "a b"})
    CHECK(!decodePrefillResult(std::string(R"({"kvHandle":")") + Handle +
                               R"(","tokens":1})")
               .has_value());
}

TEST(EngineCalls, ReadsAReport) {
  const auto Decoded = decodeEngineReport(
      R"({"stage":"decode","models":[],"busy":true,"sequence":2,"queued":1})");
  CHECK(Decoded.value().CurrentStage == dispatch::Stage::Decode);
  CHECK(Decoded.value().Busy);
  LONGS_EQUAL(2, Decoded.value().AcceptedOrders);
  STRCMP_EQUAL("stage", decodeEngineReport("{}").error().Field.c_str());
}

TEST(EngineCalls, WritesAnOrder) {
  const auto Body = nlohmann::json::parse(
      encodeStageOrder({dispatch::Stage::Prefill, "node-7", 41, 2}));
  STRCMP_EQUAL("stage", Body["operation"].get<std::string>().c_str());
  STRCMP_EQUAL("prefill", Body["stage"].get<std::string>().c_str());
  LONGS_EQUAL(41, Body["fence"].get<int>());
  LONGS_EQUAL(2, Body["expected"].get<int>());
}

TEST(EngineCalls, DistinguishesRepliesToOrders) {
  CHECK(decodeOrderReply(202) == OrderReply::Accepted);
  CHECK(decodeOrderReply(200) == OrderReply::AlreadyInStage);
  for (const unsigned Status : {400U, 409U, 412U, 421U, 503U})
    CHECK(decodeOrderReply(Status) == OrderReply::Rejected);
}

TEST(EngineCalls, NamesTheTargetOfACall) {
  dispatch::Target Server;
  Server.Id = "i-1";
  Server.Address = {"10.0.0.1", 80};
  const std::string Text = targetedCallBytes("POST", "/v1/order", Server, "{}");
  CHECK(Text.find("X-Expect-Instance: i-1\r\n") != std::string::npos);
  CHECK(Text.find("Content-Length: 2\r\n") != std::string::npos);
}
