//===- VersionHistory.h - Versions at which streams may have begun *- C++ -*-=//
//
// Tracks, for each service, the software versions at which streams may have
// begun that clients can still resume. If there is exactly one, a stream of
// unknown origin began at that version; otherwise it must not be resumed.
//
// A process that has just started sees only the servers that are listed now. A
// record in the store therefore keeps the versions that have left. It is read
// at the start and again after a gap in the list of servers, during which a
// version may have come and gone.
//
// A stream may begin only at a version that the record has. Otherwise it would
// be visible before anything that outlives the gateways knows its version: if
// all of them were killed, it would go on at the only version that is known.
// That a service has no record is no exception: another gateway may write one,
// as complete, while this one begins streams.
//
// A stream of unknown origin is resumed only by a record that was read after
// its client came back. What a gateway knew before, however shortly, may lack a
// version at which another gateway has begun streams meanwhile.
//
// The class reads no clock: times are passed in with the events.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/StreamOriginUpdate.h"
#include "LibDispatch/VersionRecord.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace figlift::dispatch {

/// Why it is not known at which version a stream began.
enum class UnknownOriginReason {
  /// The record in the store has not been read since this process started, or
  /// since it lost sight of the list of servers.
  RecordNotRead,
  /// The record was read before the client came back.
  OldRecord,
  /// The service has no record.
  NoRecord,
  /// The record does not reach back to when the stream may have begun.
  RecordTooShort,
  NoVersion,
  SeveralVersions,
};
std::string_view describe(UnknownOriginReason Reason);

/// The service has had this version only.
struct OnlyVersion {
  std::string SoftwareVersion;
};
struct UnknownOrigin {
  UnknownOriginReason Reason = UnknownOriginReason::NoVersion;
};

struct VersionHistoryOptions {
  /// Upper limit of the time for which a stream may be taken up.
  std::chrono::seconds Retention{120};
  /// A version may have come and gone between two lists that are this far
  /// apart.
  std::chrono::milliseconds MaximumListAge{3000};
  /// Streams may begin at a version for this long after its last server has
  /// left the list: until every gateway has read that.
  std::chrono::milliseconds DiscoveryTime{4000};
  /// Deadlines of clients count in steps of this, so that few different ones
  /// change the record.
  std::chrono::milliseconds DeadlineStep{5000};
  /// The record is written again if a version counts for this much longer than
  /// it says.
  std::chrono::seconds RecordedTimeStep{10};
  /// Bytes of names in one record; a row of the store has 64 KiB. Two versions
  /// are enough to answer "unknown".
  size_t MaximumRecordedBytes = 16 << 10;
};

class VersionHistory {
public:
  using VersionsByService = std::map<std::string, std::set<std::string>>;
  using TakeUpTimes = std::map<std::string, std::chrono::milliseconds>;
  using Records = std::map<std::string, VersionRecord>;

  explicit VersionHistory(VersionHistoryOptions Options = {})
      : m_Options(Options) {}

  /// Sets the versions of all servers that are listed, also of those that are
  /// about to leave.
  void replaceListed(const VersionsByService &Listed, BootTime Now);
  /// The list of servers is known to have been current at \p ListedAt.
  void recordListKnown(BootTime ListedAt);
  /// Sets for how long streams may be taken up by the configuration, for each
  /// service whose streams may be. Only these services are recorded.
  void configure(TakeUpTimes ByService);
  /// A stream has begun whose client waits for \p Deadline.
  void recordStream(const StreamOrigin &Origin,
                    std::chrono::milliseconds Deadline);
  /// A peer has streams of this version.
  void recordTold(const StreamOrigin &Origin, BootTime Now);
  /// A gateway has sent no report since \p Since. If it is partitioned, its
  /// list of servers is old: it may begin streams at versions that have left,
  /// and its updates about these streams are lost.
  void recordSilence(BootTime Since, BootTime Now);

  /// \name The record in the store.
  /// @{
  bool needsRecords() const { return !m_RecordsKnown; }
  /// The records that are known hold all that was written before this.
  BootTime recordsCurrentAt() const { return m_RecordsCurrentAt; }
  /// \p FleetStarts: the fleet starts for the first time, so that a service
  /// without a record has had no streams.
  void applyRecords(const Records &Read, const StoreClockReading &Clock,
                    bool FleetStarts);
  /// The records that were applied last hold all that was written before
  /// \p CurrentAt.
  void recordRecordsKnown(BootTime CurrentAt) {
    m_RecordsCurrentAt = std::max(m_RecordsCurrentAt, CurrentAt);
  }
  /// What the record in the store does not tell yet. Forgets what need not be
  /// kept any more.
  Records unrecorded(const StoreClockReading &Clock, BootTime Now);
  void recordsWritten(const Records &Written);
  /// A peer has written a record with this version.
  void recordToldRecorded(const StreamOrigin &Origin);
  /// The store may have lost what was written.
  void forgetRecords();
  /// Versions that this process has written to the record since the last call.
  std::vector<StreamOrigin> takeNewlyRecorded() {
    return std::exchange(m_NewlyRecorded, {});
  }
  /// Whether streams that clients may take up may begin at this version.
  bool mayBegin(const StreamOrigin &Origin, BootTime Now) const;
  /// Whether there is a listed version at which they may not begin.
  bool hasUnrecorded(const std::string &Service, BootTime Now) const;
  bool hasUnrecorded(BootTime Now) const;
  /// @}

  /// The version of a stream that broke off before \p ResumedAt.
  std::variant<OnlyVersion, UnknownOrigin>
  find(const std::string &Service, BootTime ResumedAt, BootTime Now) const;

private:
  struct Version {
    /// Empty while the version is listed; otherwise no stream that began at it
    /// may be taken up after this.
    std::optional<BootTime> Until;
    /// The longest that a stream of this version may be taken up.
    std::chrono::milliseconds TakeUpTime{0};
    /// A peer has told that the record has the version.
    bool IsToldRecorded = false;
  };
  struct ServiceHistory {
    std::map<std::string, Version> Versions;
    /// All versions at which streams began since then are in Versions, unless
    /// their time is over. Empty if no record of the service was read.
    std::optional<BootTime> CompleteSince;
    /// The record in the store; empty if there is none, or if it is not known.
    std::optional<VersionRecord> Recorded;
  };

  /// 0 if the configuration has no such service.
  std::chrono::milliseconds configuredTime(const std::string &Service) const;
  std::chrono::milliseconds takeUpTime(const std::string &Service,
                                       const Version &Entry) const;
  std::chrono::milliseconds takeUpTime(const std::string &Service,
                                       const ServiceHistory &History) const;
  BootTime lastTakeUp(const std::string &Service, const Version &Entry,
                      BootTime BegunBefore) const;
  BootTime completeSince(const ServiceHistory &History) const;
  void applyRecord(const std::string &Service, const VersionRecord &Read,
                   const StoreClockReading &Clock, bool HasMissedChanges);
  VersionRecord makeRecord(const ServiceHistory &History,
                           const StoreClockReading &Clock) const;
  bool isRecorded(const ServiceHistory &History) const;
  std::optional<UnknownOriginReason>
  lackingRecord(const std::string &Service, const ServiceHistory &History,
                BootTime ResumedAt) const;
  bool mayBegin(const std::string &Service, const ServiceHistory &History,
                const std::string &Name, BootTime Now) const;
  bool isTimeRecorded(const RecordedVersion &Recorded,
                      const Version &Entry) const;
  void cut(VersionRecord &Record) const;
  void forgetExpired(BootTime Now);

  VersionHistoryOptions m_Options;
  std::map<std::string, ServiceHistory> m_Services;
  TakeUpTimes m_TakeUpTimes;
  std::vector<StreamOrigin> m_NewlyRecorded;
  /// To convert the times of a record; empty before the first read.
  std::optional<StoreClockReading> m_Clock;
  BootTime m_ListedAt{};
  BootTime m_RecordsCurrentAt{};
  bool m_RecordsKnown = false;
  bool m_HasReadRecords = false;
  /// CompleteSince of services without a record.
  BootTime m_CompleteSince = BootTime::max();
};

} // namespace figlift::dispatch
