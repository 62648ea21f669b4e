//===- TestOldKnowledge.cpp - Streams that begin by old knowledge ---------===//
//
// A gateway begins streams by what it knew of the record of versions, and
// another one resumes them by what the record says by then.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/VersionHistory.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Service = "model";
constexpr milliseconds RouteTimeout{15000};

} // namespace

TEST_GROUP(OldKnowledge) {
  BootTime Now{seconds(1000)};
  VersionHistory::Records Store;

  StoreClockReading readClock() const {
    return {StoreTime(std::chrono::floor<milliseconds>(Now.time_since_epoch())),
            Now};
  }
  void list(VersionHistory & Gateway, const std::set<std::string> &Versions) {
    Gateway.replaceListed({{Service, Versions}}, Now);
    Gateway.recordListKnown(Now);
  }
  VersionHistory start(const std::set<std::string> &Versions) {
    VersionHistory Gateway;
    Gateway.configure({{Service, RouteTimeout}});
    Gateway.applyRecords(Store, readClock(), true);
    list(Gateway, Versions);
    return Gateway;
  }
  void write(VersionHistory & Gateway) {
    const auto Changed = Gateway.unrecorded(readClock(), Now);
    for (const auto &[Name, Record] : Changed)
      Store[Name] = Record;
    Gateway.recordsWritten(Changed);
  }
  bool mayBeginAtV2(const VersionHistory &Gateway) const {
    return Gateway.mayBegin({Service, "v2"}, Now);
  }
  /// Whether a gateway that starts takes v1 for the only version.
  bool isResumedAtV1() {
    const auto Found = start({"v1"}).find(Service, BootTime{}, Now);
    const auto *Only = std::get_if<OnlyVersion>(&Found);
    return Only && Only->SoftwareVersion == "v1";
  }
};

// Failure: a gateway that has read that there is no record goes on beginning
// streams anywhere although another one has written it, as complete.
TEST(OldKnowledge, AbsentRecordThatWasReadBeforeDoesNotCount) {
  VersionHistory Writer = start({"v1"});
  VersionHistory OutOfStep = Writer;
  write(Writer);
  list(OutOfStep, {"v1", "v2"});
  const bool MayBegin = mayBeginAtV2(OutOfStep);
  // After a kill of all of them, with the servers of v2.
  CHECK_FALSE(MayBegin && isResumedAtV1());
}
