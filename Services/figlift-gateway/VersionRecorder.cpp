//===- VersionRecorder.cpp - Keeps software versions in the store ---------===//
//
// One call at a time. A row for each service, written under the condition that
// it is the one that was read. Each service is written by itself: one whose row
// the store rejects does not hold up the others.
//
//===----------------------------------------------------------------------===//

#include "VersionRecorder.h"

#include "LibLog/HandledMessage.h"
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
constexpr unsigned MaximumRereadDoublings = 3;

} // namespace

VersionRecorder::VersionRecorder(Context &Shared, slopes::StoreClient &Store)
    : m_Shared(Shared), m_Store(Store), m_StartedAt(BootClock::now()) {
  m_Shared.Metrics.registerCounter(
      "figlift_gateway_version_records_written_total",
      "Records of software versions written to the store",
      [this] { return double(m_Writes); });
}

void VersionRecorder::start() { read(); }

void VersionRecorder::storeRestored() {
  m_Shared.Origins.versions().forgetRecords();
  m_RowVersions.clear();
  m_ReadAt = {};
  m_ChangedAt = BootClock::now();
}

void VersionRecorder::tick(size_t Before, BootTime Now) {
  if (m_CallPending || Now < m_NextCall)
    return;
  if (m_Shared.Origins.versions().needsRecords())
    return read();
  if (m_Clock)
    writeChanges(Before, Now);
}

void VersionRecorder::read() {
  m_CallPending = true;
  m_Store.readAll(VersionTable, "", [this](Result<slopes::RowsRead> Read) {
    m_CallPending = false;
    if (!Read)
      return callFailed(Read.error());
    if (!Read.value().Clock)
      return callFailed({ResultCode::InvalidInput, "the store has no clock",
                         "nowMs", std::nullopt});
    recordsRead(Read.value());
  });
}

/// A row that cannot be decoded is no statement about its service.
void VersionRecorder::recordsRead(const slopes::RowsRead &Read) {
  m_Clock = Read.Clock;
  m_ReadAt = m_Clock->Local;
  m_RowVersions.clear();
  VersionHistory::Records Records;
  for (const slopes::StoreRow &Row : Read.Rows) {
    const log::HandledMessage Scope("record of versions", Row.Key);
    m_RowVersions[Row.Key] = Row.Version.Number;
    auto Record = dispatch::decodeVersionRecord(Row.Value);
    if (!Record) {
      log::logError(log::Level::Error, "software-versions-invalid",
                    Record.error());
      // All that is known is what this process sees from now on.
      Records[Row.Key].CompleteSince = m_Clock->Store;
      continue;
    }
    Records[Row.Key] = std::move(Record.value());
  }
  m_Shared.Origins.versions().applyRecords(Records, *m_Clock,
                                           m_Shared.Settings.Fleet.Starts);
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
  if (m_CallPending)
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
  m_CallPending = true;
  m_Store.commit(Transaction, [this, Service,
                               Record](Result<dispatch::StoreVersion> Written) {
    m_CallPending = false;
    if (!Written) {
      callFailed(Written.error());
      ++m_FailedWrites;
      // Another gateway may have written, or this one without an answer.
      return read();
    }
    m_FailedWrites = 0;
    ++m_Writes;
    m_RowVersions[Service] = Written.value().Number;
    m_Shared.Origins.versions().recordsWritten({{Service, Record}});
    log::logEvent(log::Level::Info, "software-versions-written",
                  {{"service", Service}, {"versions", Record.Versions.size()}});
  });
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
