//===- VersionRecorder.h - Keeps software versions in the store -*- C++ -*-===//
//
// Reads the record of the software versions that each service has had, and
// writes it when a version comes or leaves. All gateways see the same changes:
// the first live one writes them, and few others check that it did, so that a
// change costs a few calls in a fleet of any size.
//
// Requests that resume a stream of unknown origin have the record read again.
// One read serves all that wait when it is sent.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "VersionRecordReader.h"

#include "LibDispatch/SharedReads.h"
#include "platform/StoreClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace figlift::gateway {

class VersionRecorder : public VersionRecordReader {
public:
  VersionRecorder(Context &Shared, slopes::StoreClient &Store);
  ~VersionRecorder() override { m_Shared.VersionRecords = nullptr; }
  VersionRecorder(const VersionRecorder &) = delete;
  VersionRecorder &operator=(const VersionRecorder &) = delete;

  /// Reads the record; later reads follow from tick().
  void start();
  /// Called several times a second. \p Before: live gateways before this one.
  void tick(size_t Before, size_t LiveGateways, BootTime Now);
  /// The store was restored from a copy: what was written may be lost.
  void storeRestored();
  void readAgain(std::function<void()> Done) override;

private:
  void read();
  void readIfWanted(BootTime Now);
  void readEnded(const Result<slopes::RowsRead> &Read, BootTime SentAt);
  void readForUnrecorded(BootTime Now);
  void recordsRead(const slopes::RowsRead &Read);
  void writeChanges(size_t Before, BootTime Now);
  void write(const std::string &Service, const dispatch::VersionRecord &Record);
  void restoreLastWrite();
  void callFailed(const Error &Reason);

  Context &m_Shared;
  slopes::StoreClient &m_Store;
  const BootTime m_StartedAt;
  /// Reads do not wait for a write, which a slow store delays for longer.
  bool m_ReadPending = false;
  bool m_WritePending = false;
  dispatch::SharedReads m_Reads;
  /// When the latest read was sent.
  BootTime m_ReadSentAt{};
  /// After a failed call.
  BootTime m_NextCall{};
  /// After a failed read.
  BootTime m_NextRead{};
  size_t m_LiveGateways = 1;
  /// Latest reading of the store's clock; empty before the first read.
  std::optional<dispatch::StoreClockReading> m_Clock;
  /// Versions of the rows in the store, by service.
  std::map<std::string, uint64_t> m_RowVersions;
  /// Since when the record lacks a change; empty if it lacks none.
  std::optional<BootTime> m_ChangedAt;
  BootTime m_ReadAt{};
  /// When to read the record again; empty while it has all listed versions.
  std::optional<BootTime> m_NextReread;
  /// Consecutive reads after which the record still lacked a version.
  unsigned m_Rereads = 0;
  /// Service whose record was written last, or could not be.
  std::string m_LastTried;
  /// Consecutive ones.
  unsigned m_FailedWrites = 0;
  uint64_t m_Writes = 0;
  struct AcknowledgedWrite {
    std::string Service;
    dispatch::VersionRecord Record;
    uint64_t RowVersion = 0;
    BootTime AcknowledgedAt{};
  };
  AcknowledgedWrite m_LastWrite;
};

} // namespace figlift::gateway
