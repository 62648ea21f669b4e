//===- TestStreamOrigins.cpp - Where streams began, without a network -----===//
//
// Gateways that tell each other where their streams began, some of which stop,
// start or miss datagrams during a rollout.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StreamOrigins.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Service = "model";

StreamKey key(const std::string &AttemptId) {
  return StreamKey::of("", AttemptId);
}

} // namespace

TEST_GROUP(StreamOrigins) {
  BootTime Now{seconds(1000)};
  StreamOrigins First;
  StreamOrigins Second;

  void setup() override {
    start(First, {"v1", "v2"});
    start(Second, {"v1", "v2"});
  }
  /// As a gateway that has just started, in a fleet that starts as well.
  void start(StreamOrigins & Gateway, const std::set<std::string> &Versions,
             StreamOriginOptions Options = {}) {
    Gateway = StreamOrigins(Options);
    Gateway.versions().configure({{Service, milliseconds(0)}});
    VersionRecord Record;
    for (const std::string &Version : Versions)
      Record.Versions.push_back({Version, seconds(0), std::nullopt});
    Gateway.versions().applyRecords({{Service, Record}}, {{}, Now}, true);
    Gateway.versions().recordRecordsKnown(Now);
    Gateway.versions().replaceListed({{Service, Versions}}, Now);
  }
  void list(const std::set<std::string> &Versions) {
    for (StreamOrigins *Gateway : {&First, &Second})
      Gateway->versions().replaceListed({{Service, Versions}}, Now);
  }
  void begin(const std::string &AttemptId, const std::string &Version) {
    First.recordEvent(key(AttemptId), {Service, Version}, Now);
  }
  /// Sends what the first gateway has to tell to the second one.
  void tell() {
    for (const StreamOriginUpdate &Update : First.takeUpdates(Now))
      Second.applyUpdate(
          decodeStreamOrigins(encodeStreamOrigins(Update)).value(), Now);
  }
  OriginLookup find(const StreamOrigins &Gateway,
                    const std::string &AttemptId) {
    return Gateway.find(key(AttemptId), Service, BootTime{}, Now);
  }
  /// The version at which a stream may go on; empty if that is not known.
  std::string versionOf(const StreamOrigins &Gateway,
                        const std::string &AttemptId) {
    const OriginLookup Origin = find(Gateway, AttemptId);
    if (const auto *Known = std::get_if<KnownOrigin>(&Origin))
      return Known->Origin.SoftwareVersion;
    if (const auto *Only = std::get_if<OnlyVersion>(&Origin))
      return Only->SoftwareVersion;
    return {};
  }
};

// Failure: the gateway that began a stream is killed, and no other one knows
// its version.
TEST(StreamOrigins, OutliveTheirGateway) {
  begin("a", "v1");
  begin("b", "v2");
  tell();
  First = StreamOrigins();
  Now += seconds(20);
  STRCMP_EQUAL("v1", versionOf(Second, "a").c_str());
  STRCMP_EQUAL("v2", versionOf(Second, "b").c_str());
  STRCMP_EQUAL("", versionOf(Second, "c").c_str());
}

// Failure: a datagram is lost, or a gateway starts during a stream, and the
// stream cannot be resumed there.
TEST(StreamOrigins, OpenStreamsAreToldAgain) {
  begin("a", "v1");
  First.takeUpdates(Now);
  Now += milliseconds(1000);
  tell();
  STRCMP_EQUAL("v1", versionOf(Second, "a").c_str());
}

// Failure: gateways tell of each stream with every report.
TEST(StreamOrigins, AreToldSeldom) {
  begin("a", "v1");
  LONGS_EQUAL(1, First.takeUpdates(Now).size());
  Now += milliseconds(25);
  LONGS_EQUAL(0, First.takeUpdates(Now).size());
  First.recordEnd(key("a"));
  Now += milliseconds(1000);
  LONGS_EQUAL(0, First.takeUpdates(Now).size());
}

// Failure: a stream that breaks right after its beginning was never told of.
TEST(StreamOrigins, EndedStreamsAreToldOnce) {
  begin("a", "v1");
  First.recordEnd(key("a"));
  tell();
  STRCMP_EQUAL("v1", versionOf(Second, "a").c_str());
}

// Failure: streams of unknown origin are refused although their service has
// servers of a single version.
TEST(StreamOrigins, OnlyVersionIsTakenForUnknownStreams) {
  start(First, {"v1"});
  STRCMP_EQUAL("v1", versionOf(First, "elsewhere").c_str());
  CHECK(std::holds_alternative<OnlyVersion>(
      First.find(std::nullopt, Service, Now, Now)));
}

// Failure: after a rollout, streams of the old version go on at the new one.
TEST(StreamOrigins, VersionThatLeftCountsWhileItsStreamsMayReturn) {
  list({"v2"});
  Now += seconds(30);
  STRCMP_EQUAL("", versionOf(First, "elsewhere").c_str());
  Now += seconds(100);
  list({"v2"});
  STRCMP_EQUAL("v2", versionOf(First, "elsewhere").c_str());
}

// Failure: a version is taken back, and the list names it as the only one for
// streams of the other.
TEST(StreamOrigins, VersionThatIsTakenBackCounts) {
  list({"v1"});
  Now += seconds(10);
  list({"v1", "v2"});
  Now += seconds(10);
  list({"v1"});
  STRCMP_EQUAL("", versionOf(First, "elsewhere").c_str());
}

// Failure: a gateway whose knowledge is older than the break of a stream, be it
// by a moment, takes the only version that it knows for the only one.
TEST(StreamOrigins, OldRecordNamesNoOnlyVersion) {
  start(First, {"v1"});
  Now += milliseconds(1);
  const OriginLookup Found = First.find(key("elsewhere"), Service, Now, Now);
  CHECK(std::get<UnknownOrigin>(Found).Reason ==
        UnknownOriginReason::OldRecord);
}

// Failure: a gateway that has just started does not know a version that a peer
// has streams of.
TEST(StreamOrigins, PeersTellOfVersionsThatHaveLeft) {
  begin("a", "v1");
  start(Second, {"v2"});
  tell();
  STRCMP_EQUAL("", versionOf(Second, "elsewhere").c_str());
}

// Failure: another client moves a stream to another version by using its name.
TEST(StreamOrigins, FirstOriginStays) {
  begin("a", "v1");
  begin("a", "v2");
  STRCMP_EQUAL("v1", versionOf(First, "a").c_str());
  CHECK(StreamKey::of("t1", "a") != StreamKey::of("t2", "a"));
  CHECK(StreamKey::of("t", "1a") != StreamKey::of("t1", "a"));
}

// Failure: clients fill the memory with streams.
TEST(StreamOrigins, ForgetsTheOldestBeyondItsSize) {
  start(First, {"v1", "v2"}, {.MaximumStreams = 100});
  for (int I = 0; I < 1000; ++I) {
    Now += milliseconds(1);
    begin(std::to_string(I), "v1");
  }
  LONGS_EQUAL(100, First.size());
  STRCMP_EQUAL("", versionOf(First, "0").c_str());
  STRCMP_EQUAL("v1", versionOf(First, "999").c_str());
}

TEST(StreamOrigins, AreForgottenAfterALongTime) {
  begin("a", "v1");
  First.recordEnd(key("a"));
  First.takeUpdates(Now);
  Now += seconds(121);
  STRCMP_EQUAL("", versionOf(First, "a").c_str());
  begin("b", "v1");
  LONGS_EQUAL(1, First.size());
}

// Failure: a datagram of many streams exceeds a packet and is lost with any
// fragment.
TEST(StreamOrigins, UpdatesFitIntoOnePacket) {
  for (int I = 0; I < 500; ++I)
    begin(std::to_string(I), "v1");
  size_t Streams = 0;
  for (const StreamOriginUpdate &Update : First.takeUpdates(Now)) {
    CHECK(encodeStreamOrigins(Update).size() < 1400);
    Streams += Update.Streams.size();
  }
  LONGS_EQUAL(500, Streams);
}

TEST(StreamOrigins, InvalidUpdatesAreRejected) {
  const std::string Valid =
      encodeStreamOrigins({{Service, "v1"}, {key("a"), key("b")}});
  for (size_t Size = 0; Size < Valid.size(); ++Size)
    CHECK(!decodeStreamOrigins(Valid.substr(0, Size)));
  CHECK(!decodeStreamOrigins("text"));
}
