//===- VersionHistoryFixture.h - A gateway and its record -------*- C++ -*-===//
//
// One gateway with its history of versions, and the store that keeps the
// record, in simulated time and without a network.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/VersionHistory.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace figlift::dispatch {

class VersionHistoryFixture : public Utest {
protected:
  const std::string Service = "model";
  /// The longest time for which the route lets a caller wait.
  static constexpr std::chrono::milliseconds RouteTimeout{15000};

  BootTime Now{std::chrono::seconds(1000)};
  /// Of the store's clock to this machine's.
  std::chrono::seconds StoreOffset{0};
  /// Of the store.
  uint64_t Era = 0;
  VersionHistory Gateway;
  VersionHistory::Records Store;

  void setup() override { start({"v1"}, true); }
  StoreClockReading readClock() const {
    return {StoreTime(std::chrono::floor<std::chrono::milliseconds>(
                Now.time_since_epoch() + StoreOffset)),
            Now, Era};
  }
  void read(bool FleetStarts = false) {
    Gateway.applyRecords(Store, readClock(), FleetStarts);
  }
  void list(const std::set<std::string> &Versions) {
    Gateway.replaceListed({{Service, Versions}}, Now);
    Gateway.recordListKnown(Now);
  }
  void configure(std::chrono::milliseconds Timeout) {
    Gateway.configure({{Service, Timeout}});
  }
  /// As a gateway that has just started, and has read the store.
  void start(const std::set<std::string> &Versions, bool FleetStarts = false) {
    Gateway = VersionHistory();
    configure(RouteTimeout);
    read(FleetStarts);
    list(Versions);
    write();
  }
  /// Returns the number of records written.
  size_t write() {
    const auto Changed = Gateway.unrecorded(readClock(), Now);
    for (const auto &[Name, Record] : Changed)
      Store[Name] = decodeVersionRecord(encodeVersionRecord(Record)).value();
    Gateway.recordsWritten(Changed);
    return Changed.size();
  }
  void pass(std::chrono::milliseconds Time) {
    for (const BootTime End = Now + Time; Now < End;) {
      Now += std::min<BootClock::duration>(std::chrono::milliseconds(500),
                                           End - Now);
      Gateway.recordListKnown(Now);
    }
  }
  bool mayBegin(const std::string &Version) const {
    return Gateway.mayBegin({Service, Version}, Now);
  }
  /// The only version, or why it is not known, of a stream that broke off
  /// before what is known was read.
  std::string find() { return find(BootTime{}); }
  std::string find(BootTime ResumedAt) {
    const auto Found = Gateway.find(Service, ResumedAt, Now);
    if (const auto *Only = std::get_if<OnlyVersion>(&Found))
      return Only->SoftwareVersion;
    return std::string(describe(std::get<UnknownOrigin>(Found).Reason));
  }
  void checkFound(const std::string &Expected) {
    STRCMP_EQUAL(Expected.c_str(), find().c_str());
  }
  void checkSeveral() { checkFound("several versions"); }
};

} // namespace figlift::dispatch
