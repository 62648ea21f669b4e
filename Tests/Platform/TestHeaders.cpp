//===- TestHeaders.cpp - Tests of header fields ---------------------------===//
//
// Examples of the platform, malformed fields, and fields that only the system
// may set.
//
//===----------------------------------------------------------------------===//

#include "platform/Headers.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::slopes;
using std::chrono::milliseconds;

TEST_GROUP(Headers) {
  proxy::HeaderList Fields;

  void rejects(const char *Name, const char *Value) {
    Fields.add(Name, Value);
    const auto Decoded = decodeCallerFields(Fields);
    CHECK(!Decoded.has_value());
    STRCMP_EQUAL(Name, Decoded.error().Field.c_str());
  }
};

TEST(Headers, ReadsARequestWithAPrompt) {
  Fields.add("X-Attempt-Id", "9c41d07be2a35f68");
  Fields.add("X-Deadline-Ms", "2000");
  Fields.add("X-Token-Count", "1460,80");
  Fields.add("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  const auto Decoded = decodeCallerFields(Fields);
  CHECK(Decoded.has_value());
  CHECK(Decoded.value().Deadline == milliseconds(2000));
  LONGS_EQUAL(1460, Decoded.value().Prompt->Tokens);
  LONGS_EQUAL(80, Decoded.value().Prompt->MaximumOutput);
  LONGS_EQUAL(3, Decoded.value().Prompt->Parts.size());
  CHECK(Decoded.value().Prompt->subject() == 0x91bd3f06);
}

TEST(Headers, ReadsARequestWithoutFields) {
  const auto Decoded = decodeCallerFields(Fields);
  CHECK(Decoded.has_value());
  CHECK(!Decoded.value().Prompt && !Decoded.value().Deadline);
}

TEST(Headers, NamesAMalformedTokenCount) { rejects("X-Token-Count", "1460"); }
TEST(Headers, NamesAMalformedDeadline) { rejects("X-Deadline-Ms", "soon"); }
TEST(Headers, NamesANegativeDeadline) { rejects("X-Deadline-Ms", "-5"); }
TEST(Headers, NamesMalformedParts) {
  Fields.add("X-Token-Count", "10,1");
  rejects("X-Prompt-Prefix", "zz:800");
}

// If such fields were forwarded, a caller could make an execution use the KV
// cache of another request, or occupy memory of an engine.
TEST(Headers, ForwardsNoFieldThatOnlyTheSystemMaySet) {
  for (const char *Name :
       {"X-Kv-Source", "X-Kv-Hold", "X-Pin-Ms", "X-Kv-Backup", "X-Stage",
        "X-Expect-Instance", "X-Request-Priority", "Kv-Fetch"})
    Fields.add(Name, "1");
  Fields.add("X-Model", "m");
  Fields.add("X-Other", "kept");
  const auto Forwarded = forwardedFields(Fields);
  LONGS_EQUAL(2, std::distance(Forwarded.begin(), Forwarded.end()));
}

TEST(Headers, ReadsTheCredential) {
  LONGS_EQUAL(0, decodeCallerFields(Fields).value().Credential.Fields);
  Fields.add("x-credential", " key ");
  STRCMP_EQUAL("key",
               decodeCallerFields(Fields).value().Credential.Key.c_str());
  Fields.add("X-Credential", "other");
  LONGS_EQUAL(2, decodeCallerFields(Fields).value().Credential.Fields);
}

// If the key were forwarded, any server could impersonate its tenant.
TEST(Headers, ForwardsNeitherCredentialsNorTheTenantOfTheCaller) {
  Fields.add("Connection", "X-Tenant, X-Credential, close");
  Fields.add("x-credential", "key");
  Fields.add("X-Credential", "key");
  Fields.add("x-tenant", "somebody");
  auto Forwarded = forwardedFields(Fields);
  CHECK(!Forwarded.has("X-Credential") && !Forwarded.has("X-Tenant"));
  SendFields Send;
  Send.Tenant = "a";
  applySendFields(Forwarded, Send);
  CHECK(Forwarded.find("X-Tenant") == "a");
}

TEST(Headers, ReplacesTheCallersDeadline) {
  Fields.add("x-deadline-ms", "2000");
  SendFields Send;
  Send.TimeLeft = milliseconds(1500);
  Send.ExpectedTarget = "i-1";
  Send.Source = KvSource{"10.0.0.1:80", "abc"};
  applySendFields(Fields, Send);
  CHECK(Fields.find("X-Deadline-Ms") == "1500");
  CHECK(Fields.find("X-Expect-Instance") == "i-1");
  CHECK(Fields.find("X-Kv-Source") == "10.0.0.1:80/abc");
  CHECK(!Fields.has("X-Stage"));
}

TEST(Headers, ReadsServerFields) {
  proxy::ResponseHead Head;
  Head.Status = 503;
  Head.Headers.add("X-Not-Executed", "1");
  CHECK(decodeServerFields(Head).NotExecuted);
  CHECK(!decodeServerFields(Head).Signed);
  Head = {};
  Head.Status = 421;
  CHECK(decodeServerFields(Head).NotExecuted);
  CHECK(decodeServerFields(Head).Misdirected);
  Head.Status = 500;
  CHECK(!decodeServerFields(Head).NotExecuted);
}

TEST(Headers, ReadsTheLimitOfAServer) {
  proxy::ResponseHead Head;
  CHECK(!decodeServerFields(Head).Limit);
  Head.Headers.add("Server-Limit", "26.7");
  DOUBLES_EQUAL(26.7, *decodeServerFields(Head).Limit, 0);
  Head.Headers.add("server-limit", "30");
  CHECK(!decodeServerFields(Head).Limit);
  CHECK(decodeServerFields(Head).LimitInvalid);
  for (const char *Text : {"-1", "", "many", "inf", "nan", "1e99", "5/s"}) {
    Head.Headers.remove("Server-Limit");
    Head.Headers.add("Server-Limit", Text);
    CHECK(!decodeServerFields(Head).Limit);
    CHECK(decodeServerFields(Head).LimitInvalid);
  }
}

namespace {
ServerNotices noticesOf(unsigned Status, const std::string &Name,
                        const std::string &Value) {
  proxy::ResponseHead Head;
  Head.Status = Status;
  Head.Headers.add(Name, Value);
  return decodeServerNotices(Head);
}
} // namespace

TEST(Headers, ReadsForHowLongAServerWantsNoRequests) {
  CHECK(noticesOf(503, "Retry-After", "3").Backoff == milliseconds(3000));
  CHECK(noticesOf(503, "retry-after", " 0.2504 ").Backoff == milliseconds(251));
  CHECK(noticesOf(429, "Retry-After", "0").Backoff == milliseconds(0));
  // Other statuses do not reject load.
  CHECK(!noticesOf(200, "Retry-After", "3").Backoff);
  CHECK(!noticesOf(500, "Retry-After", "3").Backoff);
}

TEST(Headers, TakesTheLongestOfSeveralTimes) {
  proxy::ResponseHead Head;
  Head.Status = 503;
  for (const char *Text : {"1", "2.5", "soon", "2"})
    Head.Headers.add("Retry-After", Text);
  CHECK(decodeServerNotices(Head).Backoff == milliseconds(2500));
  LONGS_EQUAL(1, decodeServerNotices(Head).Invalid.size());
}

TEST(Headers, IgnoresTimesThatNoServerMeans) {
  for (const char *Text : {"-1", "", "soon", "inf", "nan", "1e99", "3 s",
                           "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    const ServerNotices Notices = noticesOf(503, "Retry-After", Text);
    CHECK(!Notices.Backoff);
    CHECK(Notices.Invalid == std::vector<std::string_view>{"Retry-After"});
  }
}

TEST(Headers, ReadsThatAServerShutsDown) {
  CHECK(noticesOf(200, "Server-Leaving", "1").ShuttingDown);
  CHECK(noticesOf(503, "server-leaving", " 1 ").ShuttingDown);
  CHECK(!noticesOf(200, "Server-Leaving", "0").ShuttingDown);
  CHECK(noticesOf(200, "Server-Leaving", "0").Invalid.empty());
  CHECK(!noticesOf(200, "Server-Leaving", "soon").ShuttingDown);
  LONGS_EQUAL(1, noticesOf(200, "Server-Leaving", "soon").Invalid.size());
}

// Failure: servers send a new field, which is ignored without a log line.
TEST(Headers, NamesFieldsThatNothingReads) {
  CHECK(noticesOf(200, "Server-Mood", "calm").Unknown ==
        std::vector<std::string>{"Server-Mood"});
  for (const char *Known :
       {"X-Attempt-Id", "X-Response-Signature", "X-Not-Executed", "Retry-After",
        "Server-Limit", "Server-Leaving", "X-Instance-Id", "X-Weight-Versions",
        "content-type", "Connection", "Keep-Alive"})
    CHECK(noticesOf(200, Known, "1").Unknown.empty());
}

TEST(Headers, WritesFractionsOfASecond) {
  addRetryAfter(Fields, milliseconds(250));
  CHECK(Fields.find("Retry-After") == "0.250");
}

// Failure: a request that names two beginnings of its stream is served as
// either.
TEST(Headers, ReadsOneBeginningOfAStream) {
  proxy::HeaderList Fields;
  CHECK(!slopes::decodeCallerFields(Fields).value().Resumes);
  Fields.add("resumes", " a1 ");
  STRCMP_EQUAL("a1",
               slopes::decodeCallerFields(Fields).value().Resumes->c_str());
  CHECK(slopes::forwardedFields(Fields).has("Resumes"));
  Fields.add("Resumes", "a1");
  CHECK(!slopes::decodeCallerFields(Fields));
  Fields.remove("Resumes");
  Fields.add("Resumes", "");
  CHECK(!slopes::decodeCallerFields(Fields));
}
