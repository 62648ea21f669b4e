//===- ConfigWriter.h - Applies a configuration change ----------*- C++ -*-===//
//
// State machine that applies an operator's change: it reads the rows, commits
// one transaction, and after a lost response reads the rows again before it
// reports an outcome.
//
//   Idle --Begin--> Reading --RowsRead--> Committing --Committed--> Done
//                      ^  \--ReadFailed--> Reading or Done  |
//                      \------- conflict, unknown ----------/
//
// Every transaction creates the operation row on the condition that it does not
// exist. An operation therefore takes effect at most once, regardless of how
// often and through which entries it is sent.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/ConfigRows.h"
#include "LibConfig/Delta.h"
#include "LibCore/Clock.h"
#include "LibPlatform/Platform.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figlift::config {

/// A record to be written or withdrawn.
struct Change {
  std::string Kind;
  std::string Name;
  /// The original text; unused for a withdrawal.
  std::string Text;
  bool Withdraw = false;
};

/// All changes take effect atomically.
struct ChangeRequest {
  std::string OperationId;
  std::vector<Change> Changes;
  /// Expected version of the record (0: must not exist). Allowed only with a
  /// single change.
  std::optional<uint64_t> IfVersion;
};

/// Digest of a request, not including its operation id.
std::string digestOf(const ChangeRequest &Request);

struct ChangeOutcome {
  /// Revision that contains the change.
  uint64_t Revision = 0;
  std::vector<ChangedRecord> Records;
  /// The change as a delta from the previous revision. Empty, with a Head of 0,
  /// if the operation had already been applied, because only its revision is
  /// known then.
  Delta Changes = {};
};

namespace writer {

struct Begin {};
/// The rows in the sequence of ReadRows::Keys.
struct RowsRead {
  std::vector<platform::Row> Rows;
};
struct ReadFailed {};
/// Result of the commit: Success, StoreConflict, StoreUnavailable,
/// StoreOutcomeUnknown or another error.
struct Committed {
  ResultCode Code = ResultCode::Success;
  std::string Message;
};
using Event = std::variant<Begin, RowsRead, ReadFailed, Committed>;

/// After the delay, reads these rows one after the other in this sequence.
struct ReadRows {
  std::vector<std::string> Keys;
  std::chrono::milliseconds Delay{0};
};
struct Commit {
  platform::Transaction Transaction;
};
/// The last action.
struct Finish {
  Result<ChangeOutcome> Outcome;
};
using Action = std::variant<ReadRows, Commit, Finish>;

} // namespace writer

struct WriterOptions {
  /// Reads after the first, for conflicts and lost responses combined.
  unsigned MaximumRetries = 8;
  std::chrono::milliseconds FirstDelay{10};
  std::chrono::milliseconds MaximumDelay{500};
  /// Number of change rows kept for processes that are behind. Each transaction
  /// removes older rows; a process that needs those reads all records.
  uint64_t ChangesKept = 1000;
};

class ConfigWriter {
public:
  enum class State { Idle, Reading, Committing, Done };

  explicit ConfigWriter(ChangeRequest Request, WriterOptions Options = {});

  std::vector<writer::Action> step(const writer::Event &Event, BootTime Now);

  bool done() const { return m_State == State::Done; }

private:
  using Actions = std::vector<writer::Action>;

  Actions on(const writer::Begin &);
  Actions on(const writer::RowsRead &Event);
  Actions on(const writer::ReadFailed &);
  Actions on(const writer::Committed &Event);

  Actions read(std::chrono::milliseconds Delay);
  Actions retryRead(Error ErrorIfExhausted);
  Actions finish(Result<ChangeOutcome> Outcome);
  Actions finishWithError(Error Cause);
  Result<void> checkVersions(const std::vector<StoredRecord> &Records);
  platform::Transaction transaction(const platform::Row &Head,
                                    uint64_t Revision,
                                    const std::vector<platform::Row> &Rows,
                                    const std::vector<StoredRecord> &Records);

  const ChangeRequest m_Request;
  const WriterOptions m_Options;
  const std::string m_Digest;
  State m_State = State::Idle;
  unsigned m_Retries = 0;
  /// Versions of the records at the first read. A different version at a later
  /// read means that another operator has changed the record.
  std::optional<std::vector<uint64_t>> m_FirstVersions;
  /// Outcome of the last commit if it takes effect.
  ChangeOutcome m_Proposed;
  /// Version of the head row that the last commit expected.
  uint64_t m_ExpectedHeadVersion = 0;
  /// A commit without a response may still take effect while the head row has
  /// this version and the operation row is absent.
  std::optional<uint64_t> m_UnresolvedHeadVersion;
};

} // namespace figlift::config
