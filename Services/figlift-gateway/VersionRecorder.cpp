//===- VersionRecorder.cpp - Keeps software versions in the store ---------===//
//
// One read and one write at a time. A row for each service, written under the
// condition that it is the one that was read. Each service is written by
// itself: one whose row the store rejects does not hold up the others.
//
//===----------------------------------------------------------------------===//

#include "VersionRecorder.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

#include <algorithm>
#include <utility>

namespace figlift::gateway {

using dispatch::VersionHistory;
using std::chrono::milliseconds;

namespace {

/// Figlift's own table. The key of a row is the name of the service.
const std::string VersionTable = "figlift-software-versions";
/// This many live gateways write. The others would find it done.
constexpr size_t Writers = 3;
/// Each writer waits this much longer than the one before it.
constexpr milliseconds WriterTurnTime{2500};
/// By then a process that starts knows which gateways are before it.
constexpr milliseconds FirstWriteDelay{1000};
/// Delay after a failed call, plus a random part of up to the same length. It
/// doubles with each consecutive failure of a write, this many times: what the
/// store rejects for good must not keep it busy.
constexpr milliseconds RetryDelay{300};
constexpr unsigned MaximumDoublings = 5;
/// Delay until the record is read again because it lacks a listed version, plus
/// a random part of up to the same length. It doubles with each such read, this
/// many times.
constexpr milliseconds RereadDelay{300};
constexpr unsigned MaximumRereadDoublings = 2;
/// Between two reads for requests, and more for each live gateway. All of them
/// share the store's limit on reads, and after a kill of all each gets such
/// requests for seconds.
constexpr milliseconds SharedReadInterval{100};
constexpr milliseconds SharedReadIntervalPerGateway{2};

} // namespace

VersionRecorder::VersionRecorder(Context &Shared, slopes::StoreClient &Store)
    : m_Shared(Shared), m_Store(Store), m_StartedAt(BootClock::now()) {
  m_Shared.Metrics.registerCounter(
      "figlift_gateway_version_records_written_total",
      "Records of software versions written to the store",
      [this] { return double(m_Writes); });
  m_Shared.VersionRecords = this;
}

void VersionRecorder::start() { read(); }

void VersionRecorder::storeRestored() {
  m_Shared.Origins.versions().forgetRecords();
  m_RowVersions.clear();
  m_LastWrite = {};
  m_ReadAt = {};
  m_ChangedAt = BootClock::now();
}

void VersionRecorder::tick(size_t Before, size_t LiveGateways, BootTime Now) {
  m_LiveGateways = LiveGateways;
  readIfWanted(Now);
  if (m_ReadPending || m_WritePending || Now < m_NextCall)
    return;
  if (m_Shared.Origins.versions().needsRecords())
    return read();
  if (m_Clock)
    writeChanges(Before, Now);
}

void VersionRecorder::readAgain(std::function<void()> Done) {
  m_Reads.wait(std::move(Done));
  readIfWanted(BootClock::now());
}

void VersionRecorder::readIfWanted(BootTime Now) {
  if (!m_Reads.isWanted() || m_ReadPending)
    return;
  if (Now < m_NextRead) {
    for (const auto &Done : m_Reads.refuse())
      Done();
    return;
  }
  const milliseconds Interval =
      std::max(SharedReadInterval,
               SharedReadIntervalPerGateway * static_cast<int>(m_LiveGateways));
  if (Now - m_ReadSentAt >= Interval)
    read();
}

void VersionRecorder::read() {
  if (m_ReadPending)
    return;
  m_ReadPending = true;
  m_ReadSentAt = BootClock::now();
  m_Reads.begun();
  m_Store.readAll(
      VersionTable, "",
      [this, SentAt = m_ReadSentAt](const Result<slopes::RowsRead> &Read) {
        m_ReadPending = false;
        // Requests wait for the end of the read.
        if (!log::guarded("record of versions", {},
                          [&] { readEnded(Read, SentAt); }))
          log::guarded("record of versions", {}, [this] {
            callFailed({ResultCode::Internal,
                        "the record could not be applied",
                        {},
                        std::nullopt});
          });
        for (const auto &Done : m_Reads.ended())
          Done();
        readIfWanted(BootClock::now());
      });
}

void VersionRecorder::readEnded(const Result<slopes::RowsRead> &Read,
                                BootTime SentAt) {
  if (!Read || !Read.value().Clock) {
    callFailed(Read ? Error{ResultCode::InvalidInput, "the store has no clock",
                            "nowMs", std::nullopt}
                    : Read.error());
    m_NextRead = BootClock::now() + RetryDelay;
    return;
  }
  recordsRead(Read.value());
  if (SentAt < m_LastWrite.AcknowledgedAt)
    restoreLastWrite();
  m_Shared.Origins.versions().recordRecordsKnown(SentAt);
}

/// A row that cannot be decoded is no statement about its service. What is
/// known of the rows changes with the record as a whole: a write that is based
/// on newer rows than its content would undo what another gateway has written.
void VersionRecorder::recordsRead(const slopes::RowsRead &Read) {
  const dispatch::StoreClockReading Clock = *Read.Clock;
  std::map<std::string, uint64_t> RowVersions;
  VersionHistory::Records Records;
  for (const slopes::StoreRow &Row : Read.Rows) {
    RowVersions[Row.Key] = Row.Version.Number;
    // What a row holds that throws, or that cannot be decoded, is not known.
    Records[Row.Key].IsInvalid = true;
    log::guarded("record of versions", Row.Key, [&] {
      auto Record = dispatch::decodeVersionRecord(Row.Value);
      if (Record)
        Records[Row.Key] = std::move(Record.value());
      else
        log::logError(log::Level::Error, "software-versions-invalid",
                      Record.error());
    });
  }
  m_Shared.Origins.versions().applyRecords(Records, Clock,
                                           m_Shared.Settings.Fleet.Starts);
  m_Clock = Clock;
  m_ReadAt = Clock.Local;
  m_RowVersions = std::move(RowVersions);
  log::logEvent(log::Level::Info, "software-versions-read",
                {{"services", Records.size()}});
}

/// Streams may not begin at a version before this process knows that the record
/// has it.
void VersionRecorder::readForUnrecorded(BootTime Now) {
  if (!m_Shared.Origins.versions().hasUnrecorded(Now)) {
    m_NextReread.reset();
    m_Rereads = 0;
    return;
  }
  const auto Delay = std::chrono::duration_cast<BootClock::duration>(
      RereadDelay * (1U << std::min(m_Rereads, MaximumRereadDoublings)) *
      (1 + m_Shared.draw()));
  if (!m_NextReread) {
    m_NextReread = Now + Delay;
    log::logEvent(log::Level::Info, "software-version-unrecorded", {});
    return;
  }
  if (Now < *m_NextReread)
    return;
  ++m_Rereads;
  m_NextReread = Now + Delay;
  read();
}

void VersionRecorder::writeChanges(size_t Before, BootTime Now) {
  readForUnrecorded(Now);
  if (m_ReadPending)
    return;
  const auto Changed = m_Shared.Origins.versions().unrecorded(*m_Clock, Now);
  if (Changed.empty()) {
    m_ChangedAt.reset();
    return;
  }
  if (!m_ChangedAt)
    m_ChangedAt = Now;
  const bool IsTurn =
      Now - *m_ChangedAt >= WriterTurnTime * static_cast<int>(Before);
  if (Before >= Writers || !IsTurn || Now - m_StartedAt < FirstWriteDelay)
    return;
  // Another gateway may have written it, and the clocks drift apart.
  if (m_ReadAt < *m_ChangedAt)
    return read();
  // After the one that was tried last.
  auto Next = Changed.upper_bound(m_LastTried);
  if (Next == Changed.end())
    Next = Changed.begin();
  m_LastTried = Next->first;
  write(Next->first, Next->second);
}

void VersionRecorder::write(const std::string &Service,
                            const dispatch::VersionRecord &Record) {
  const auto Known = m_RowVersions.find(Service);
  slopes::RowTransaction Transaction;
  Transaction.Conditions.push_back(
      {VersionTable, "", Service,
       Known == m_RowVersions.end() ? 0 : Known->second});
  Transaction.Writes.push_back(
      {VersionTable, "", Service, dispatch::encodeVersionRecord(Record)});
  m_WritePending = true;
  m_Store.commit(Transaction, [this, Service,
                               Record](Result<dispatch::StoreVersion> Written) {
    m_WritePending = false;
    if (!Written) {
      callFailed(Written.error());
      ++m_FailedWrites;
      // Another gateway may have written, or this one without an answer.
      return read();
    }
    m_FailedWrites = 0;
    ++m_Writes;
    m_LastWrite = {Service, Record, Written.value().Number, BootClock::now()};
    restoreLastWrite();
    log::logEvent(log::Level::Info, "software-versions-written",
                  {{"service", Service}, {"versions", Record.Versions.size()}});
  });
}

/// Enters the last write into what is known. An answer that was sent before it
/// may have come after it, and lacks it.
void VersionRecorder::restoreLastWrite() {
  m_RowVersions[m_LastWrite.Service] = m_LastWrite.RowVersion;
  m_Shared.Origins.versions().recordsWritten(
      {{m_LastWrite.Service, m_LastWrite.Record}});
}

void VersionRecorder::callFailed(const Error &Reason) {
  const BootTime Now = BootClock::now();
  const milliseconds Delay =
      RetryDelay * (1U << std::min(m_FailedWrites, MaximumDoublings));
  m_NextCall = Now + std::chrono::duration_cast<BootClock::duration>(
                         Delay * (1 + m_Shared.draw()));
  if (m_Shared.Log.allows(LineKind::State, Now))
    log::logError(log::Level::Warning, "software-versions-unavailable", Reason);
}

} // namespace figlift::gateway
