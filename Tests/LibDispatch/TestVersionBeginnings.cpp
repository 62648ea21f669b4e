//===- TestVersionBeginnings.cpp - Versions at which streams may begin ----===//
//
// Streams begin only at versions that outlive the gateways, because the store
// has a record of them.
//
//===----------------------------------------------------------------------===//

#include "VersionHistoryFixture.h"

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP_BASE(VersionBeginnings, VersionHistoryFixture){};

// Failure: streams begin at a version of which a gateway that starts after a
// kill of all would not know.
TEST(VersionBeginnings, StreamsBeginAtVersionsOnRecordOnly) {
  CHECK(mayBegin("v1"));
  list({"v1", "v2"});
  CHECK(mayBegin("v1"));
  CHECK_FALSE(mayBegin("v2"));
  CHECK(Gateway.hasUnrecorded(Service, Now));
  write();
  CHECK(mayBegin("v2"));
  CHECK_FALSE(Gateway.hasUnrecorded(Service, Now));
}

// Failure: a version leaves and comes back, and its streams outlive the time
// that the record gives it.
TEST(VersionBeginnings, VersionThatCameBackIsRecordedAgain) {
  list({"v1", "v2"});
  write();
  list({"v1"});
  write();
  pass(seconds(10));
  list({"v1", "v2"});
  CHECK_FALSE(mayBegin("v2"));
  write();
  CHECK(mayBegin("v2"));
}

// Failure: streams begin at a version before anything that outlives the
// gateways knows it, because the service has no record yet.
TEST(VersionBeginnings, NoStreamBeginsWithoutARecord) {
  Gateway = VersionHistory();
  Store.clear();
  configure(RouteTimeout);
  list({"v1"});
  CHECK_FALSE(mayBegin("v1"));
  read(true);
  CHECK_FALSE(mayBegin("v1"));
  CHECK(Gateway.hasUnrecorded(Service, Now));
  write();
  CHECK(mayBegin("v1"));
}

// Failure: a gateway that has read that there is no record goes on beginning
// streams anywhere although another one has written it, as complete.
TEST(VersionBeginnings, AbsentRecordThatWasReadBeforeDoesNotCount) {
  Gateway = VersionHistory();
  Store.clear();
  configure(RouteTimeout);
  read(true);
  list({"v1"});
  VersionHistory OutOfStep = Gateway;
  write();
  OutOfStep.replaceListed({{Service, {"v1", "v2"}}}, Now);
  OutOfStep.recordListKnown(Now);
  const bool MayBegin = OutOfStep.mayBegin({Service, "v2"}, Now);
  // After a kill of all of them, with the servers of v2.
  start({"v1"});
  CHECK_FALSE(MayBegin && find() == "v1");
}

// Failure: the store comes back from a copy without a version, and its streams
// go on beginning.
TEST(VersionBeginnings, RecordLostByTheStoreDoesNotCount) {
  list({"v1", "v2"});
  write();
  Gateway.forgetRecords();
  CHECK_FALSE(mayBegin("v1"));
  CHECK_FALSE(mayBegin("v2"));
  write();
  CHECK(mayBegin("v1"));
  CHECK(mayBegin("v2"));
}

// Failure: gateways that do not write get no streams of a new version for long.
TEST(VersionBeginnings, RecordThatAPeerToldOfCounts) {
  list({"v1", "v2"});
  Gateway.recordTold({Service, "v2"}, Now);
  CHECK_FALSE(mayBegin("v2"));
  Gateway.recordToldRecorded({Service, "v2"});
  CHECK(mayBegin("v2"));
  Gateway.forgetRecords();
  CHECK_FALSE(mayBegin("v2"));
}

// Failure: peers are told of a version before it is on record, or never.
TEST(VersionBeginnings, PeersAreToldOfWhatWasWritten) {
  Gateway.takeNewlyRecorded();
  list({"v1", "v2"});
  CHECK(Gateway.takeNewlyRecorded().empty());
  write();
  LONGS_EQUAL(2, Gateway.takeNewlyRecorded().size());
}

// Failure: an answer of the store that is older than what a peer told makes
// streams begin anywhere again.
TEST(VersionBeginnings, OlderReadDoesNotUndoAToldRecord) {
  Gateway = VersionHistory();
  Store.clear();
  configure(RouteTimeout);
  read(true);
  list({"v1"});
  Gateway.recordTold({Service, "v1"}, Now);
  Gateway.recordToldRecorded({Service, "v1"});
  list({"v1", "v2"});
  CHECK_FALSE(mayBegin("v2"));
  // Sent before the peer wrote.
  read();
  CHECK_FALSE(mayBegin("v2"));
}

// Failure: a version that left and came back while a gateway was cut off gets
// streams there by the record of before.
TEST(VersionBeginnings, NoStreamBeginsAfterAGapBeforeTheRecordIsRead) {
  list({"v1", "v2"});
  write();
  VersionHistory CutOff = Gateway;
  list({"v1"});
  write();
  pass(seconds(25));
  CutOff.replaceListed({{Service, {"v1", "v2"}}}, Now);
  CutOff.recordListKnown(Now);
  CHECK(CutOff.needsRecords());
  const bool MayBegin = CutOff.mayBegin({Service, "v2"}, Now);
  start({"v1"});
  CHECK_FALSE(MayBegin && find() == "v1");
}
