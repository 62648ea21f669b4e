//===- TestHeaders.cpp - Header fields of the platform --------------------===//
//
// The platform's examples, malformed ones, and fields that only the system may
// set.
//
//===----------------------------------------------------------------------===//

#include "platform/Headers.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::slopes;
using std::chrono::milliseconds;

TEST_GROUP(Headers) {
  proxy::HeaderList Fields;

  void refuses(const char *Name, const char *Value) {
    Fields.add(Name, Value);
    const auto Read = decodeCallerFields(Fields);
    CHECK(!Read.has_value());
    STRCMP_EQUAL(Name, Read.error().Field.c_str());
  }
};

TEST(Headers, ReadsARequestWithAPrompt) {
  Fields.add("X-Attempt-Id", "9c41d07be2a35f68");
  Fields.add("X-Deadline-Ms", "2000");
  Fields.add("X-Token-Count", "1460,80");
  Fields.add("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  const auto Read = decodeCallerFields(Fields);
  CHECK(Read.has_value());
  CHECK(Read.value().Deadline == milliseconds(2000));
  LONGS_EQUAL(1460, Read.value().Prompt->Tokens);
  LONGS_EQUAL(80, Read.value().Prompt->MaximumOutput);
  LONGS_EQUAL(3, Read.value().Prompt->Parts.size());
  CHECK(Read.value().Prompt->subject() == 0x91bd3f06);
}

TEST(Headers, ReadsARequestWithoutAny) {
  const auto Read = decodeCallerFields(Fields);
  CHECK(Read.has_value());
  CHECK(!Read.value().Prompt && !Read.value().Deadline);
}

TEST(Headers, NamesAMalformedTokenCount) { refuses("X-Token-Count", "1460"); }
TEST(Headers, NamesAMalformedDeadline) { refuses("X-Deadline-Ms", "soon"); }
TEST(Headers, NamesANegativeDeadline) { refuses("X-Deadline-Ms", "-5"); }
TEST(Headers, NamesMalformedParts) {
  Fields.add("X-Token-Count", "10,1");
  refuses("X-Prompt-Prefix", "zz:800");
}

// Symptom: a run goes on from the KV cache of another request, or memory of an
// engine is held at a caller's word. Cause: such fields were forwarded.
TEST(Headers, ForwardsNoFieldThatOnlyTheSystemMaySet) {
  for (const char *Name :
       {"X-Kv-Source", "X-Kv-Hold", "X-Pin-Ms", "X-Kv-Backup", "X-Stage",
        "X-Expect-Instance", "X-Request-Priority", "Kv-Fetch"})
    Fields.add(Name, "1");
  Fields.add("X-Model", "m");
  Fields.add("X-Other", "kept");
  const auto Kept = forwardedFields(Fields);
  LONGS_EQUAL(2, std::distance(Kept.begin(), Kept.end()));
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

TEST(Headers, ReadsWhatAServerSays) {
  proxy::ResponseHead Head;
  Head.Status = 503;
  Head.Headers.add("X-Not-Executed", "1");
  CHECK(decodeServerFields(Head).NotRun);
  CHECK(!decodeServerFields(Head).Signed);
  Head = {};
  Head.Status = 421;
  CHECK(decodeServerFields(Head).NotRun);
  CHECK(decodeServerFields(Head).OtherServer);
  Head.Status = 500;
  CHECK(!decodeServerFields(Head).NotRun);
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

TEST(Headers, WritesFractionsOfASecond) {
  addRetryAfter(Fields, milliseconds(250));
  CHECK(Fields.find("Retry-After") == "0.250");
}
