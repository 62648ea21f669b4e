//===- UsageDuty.h - Reports usage, one process at a time -------*- C++ -*-===//
//
// Decides what the process that holds the duty's lease reports, and when. The
// receiver accepts one report for each window, for ever, so a report is written
// to the store before it is sent, and only what is written there is sent: a
// successor repeats it word for word. The state machine reads no clock and does
// no I/O.
//
// Records are kept in a few rows that are used in turn. A row is written only
// under the version at which it was read, so that of two processes that act as
// holders one finds the other's record.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibUsage/Window.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace figlift::usage {

/// The requests counted so far.
class UsageSource {
public:
  virtual ~UsageSource() = default;
  /// Whether no more counts of \p Window are expected.
  virtual bool isComplete(WindowNumber Window) const = 0;
  virtual Counts totals(WindowNumber Window) const = 0;
};

/// A row with a record, as read.
struct RecordRow {
  /// 0 if the row does not exist.
  uint64_t Version = 0;
  /// Empty if the row does not exist.
  std::optional<Report> Record;
};

/// \name Events. Every ReadRecord, WriteRecord and SendReport is answered by
/// exactly one event.
/// @{
struct Tick {};
struct RecordRead {
  RecordRow Row;
};
struct ReadFailed {};
struct RecordWritten {};
/// Nothing was written, or the response was lost: the row has to be read.
struct WriteFailed {};
enum class Reply {
  Accepted,
  /// The receiver refuses this report for good.
  Rejected,
  /// No response, or one that asks to try again.
  Failed,
};
struct ReportAnswered {
  WindowNumber Window = 0;
  Reply Answer = Reply::Failed;
};
/// The store was restored from a copy: records may be lost, and versions are
/// assigned again.
struct StoreRestored {};
/// @}
using Event = std::variant<Tick, RecordRead, ReadFailed, RecordWritten,
                           WriteFailed, ReportAnswered, StoreRestored>;

/// \name Actions.
/// @{
struct ReadRecord {
  size_t Row = 0;
  bool operator==(const ReadRecord &) const = default;
};
/// Writes row \p Row if it still has ExpectedVersion.
struct WriteRecord {
  size_t Row = 0;
  uint64_t ExpectedVersion = 0;
  Report Record;
  bool operator==(const WriteRecord &) const = default;
};
struct SendReport {
  Report Recorded;
  /// Fencing token.
  uint64_t Epoch = 0;
  bool operator==(const SendReport &) const = default;
};
/// The window was not reported in time; for the log.
struct MissedWindow {
  WindowNumber Window = 0;
  bool operator==(const MissedWindow &) const = default;
};
/// @}
using Action = std::variant<ReadRecord, WriteRecord, SendReport, MissedWindow>;

struct DutyOptions {
  std::chrono::milliseconds WindowLength{5000};
  /// A report is due this long after the end of its window.
  std::chrono::milliseconds DueAfter{10000};
};

/// When a step takes place.
struct Moment {
  BootTime Now{};
  /// True time, for the windows.
  WallTime Time{};
  /// The epoch while this process holds the lease of the duty.
  std::optional<uint64_t> Epoch;
};

class UsageDuty {
public:
  /// Number of rows with records.
  static constexpr size_t Rows = 4;

  UsageDuty(DutyOptions Options, const UsageSource &Source);

  std::vector<Action> step(const Event &Input, const Moment &At);

  /// All windows up to this one were reported, or are not reported any more.
  WindowNumber settledThrough() const { return m_Settled; }

  /// Passes every member that affects later steps to \p Put, for exhaustive
  /// explorations.
  template <typename Sink> void describe(Sink &&Put) const {
    const auto PutReport = [&](WindowNumber Window, const Counts &Requests) {
      Put(Window, Requests.size());
      for (const auto &[Tenant, Count] : Requests)
        Put(Tenant, Count);
    };
    Put(m_Phase, m_Epoch.value_or(0), m_Settled, m_NextTry, m_Row);
    Put(m_TakenAt);
    Put(m_CallEpoch.value_or(0), m_Records.size(), m_Sent.size());
    PutReport(m_Written.Window, m_Written.Requests);
    for (const auto &[Index, Row] : m_Records) {
      Put(Index, Row.Version, Row.Record.has_value());
      if (Row.Record)
        PutReport(Row.Record->Window, Row.Record->Requests);
    }
    for (const auto &[Window, Requests] : m_Sent)
      PutReport(Window, Requests);
    for (const auto &[Window, Accepted] : m_Accepted)
      Put(Window, Accepted);
  }

private:
  using Actions = std::vector<Action>;
  /// The call in progress.
  enum class Phase { Ready, Reading, Writing, Sending };

  void on(const Tick &, const Moment &At, Actions &Out);
  void on(const RecordRead &, const Moment &At, Actions &Out);
  void on(const ReadFailed &, const Moment &At, Actions &Out);
  void on(const RecordWritten &, const Moment &At, Actions &Out);
  void on(const WriteFailed &, const Moment &At, Actions &Out);
  void on(const ReportAnswered &, const Moment &At, Actions &Out);
  void on(const StoreRestored &, const Moment &At, Actions &Out);

  void work(const Moment &At, Actions &Out);
  /// Starts the next call for \p Window, and returns whether there is one.
  bool report(WindowNumber Window, const Moment &At, Actions &Out);
  /// Whether the counts of \p Window are reported as they are now.
  bool isClosed(WindowNumber Window, const Moment &At) const;
  void dropOverdue(const Moment &At, Actions &Out);
  void settle();
  bool isDone(WindowNumber Window) const { return m_Accepted.contains(Window); }
  void retryLater(const Moment &At);

  const DutyOptions m_Options;
  const UsageSource &m_Source;
  Phase m_Phase = Phase::Ready;
  /// Epoch under which m_Records were read.
  std::optional<uint64_t> m_Epoch;
  /// When m_Epoch changed last.
  BootTime m_TakenAt{};
  /// The rows that are known, by index.
  std::map<size_t, RecordRow> m_Records;
  /// While Reading or Writing, the index of the row.
  size_t m_Row = 0;
  /// Epoch in which the read or write in progress began; empty if the store
  /// has been restored since.
  std::optional<uint64_t> m_CallEpoch;
  /// While Writing, the record.
  Report m_Written;
  /// Reports that this process has sent. They are sent unchanged even if a
  /// restored store has lost their records.
  std::map<WindowNumber, Counts> m_Sent;
  /// Windows above m_Settled that need no report any more; the value says
  /// whether the receiver accepted one.
  std::map<WindowNumber, bool> m_Accepted;
  WindowNumber m_Settled = 0;
  BootTime m_NextTry{};
};

} // namespace figlift::usage
