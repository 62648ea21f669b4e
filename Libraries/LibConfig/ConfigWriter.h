//===- ConfigWriter.h - One change of the configuration ---------*- C++ -*-===//
//
// The state machine that applies an operator's change: read, commit one
// transaction, and after a lost answer read back before anything is said.
//
//   Idle --Begin--> Reading --RowsRead--> Committing --Committed--> Done
//                      ^  \--ReadFailed--> Reading or Done  |
//                      \------- conflict, unknown ----------/
//
// Safety rests on the operation row: every transaction creates it and demands
// that it is absent, so however often and through whichever entry the same
// operation is sent, it takes effect at most once.
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

/// One record to be written or withdrawn.
struct Change {
  std::string Kind;
  std::string Name;
  /// The original text; not used when withdrawing.
  std::string Text;
  bool Withdraw = false;
};

/// All changes take effect together, or none.
struct ChangeRequest {
  std::string OperationId;
  std::vector<Change> Changes;
  /// The record must have this version (0: must not exist). Only with a single
  /// change.
  std::optional<uint64_t> IfVersion;
};

/// Digest of a request without its operation id.
std::string digestOf(const ChangeRequest &Request);

struct ChangeOutcome {
  /// The change is in force where this revision is.
  uint64_t Revision = 0;
  std::vector<ChangedRecord> Records;
  /// The change itself, for those who were at the revision before. Empty, with
  /// a Head of 0, for an operation that was found done: what it changed is
  /// known by its revision only.
  Delta Changes = {};
};

namespace writer {

struct Begin {};
/// In the order of ReadRows::Keys.
struct RowsRead {
  std::vector<platform::Row> Rows;
};
struct ReadFailed {};
/// How the commit ended: Success, StoreConflict, StoreUnavailable,
/// StoreOutcomeUnknown or another failure.
struct Committed {
  ResultCode Code = ResultCode::Success;
  std::string Message;
};
using Event = std::variant<Begin, RowsRead, ReadFailed, Committed>;

/// Read these rows one after the other, in this order, after the delay.
struct ReadRows {
  std::vector<std::string> Keys;
  std::chrono::milliseconds Delay{0};
};
struct Commit {
  platform::Transaction What;
};
/// The last action.
struct Finish {
  Result<ChangeOutcome> Outcome;
};
using Action = std::variant<ReadRows, Commit, Finish>;

} // namespace writer

struct WriterOptions {
  /// Reads after the first, for conflicts and lost answers together.
  unsigned MaximumRetries = 8;
  std::chrono::milliseconds FirstDelay{10};
  std::chrono::milliseconds MaximumDelay{500};
  /// Change rows kept for those who are behind; older ones are removed by the
  /// transaction that goes beyond, and who needs them reads everything.
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
  Actions readAgain(Error WhenSpent);
  Actions finish(Result<ChangeOutcome> Outcome);
  Actions finishBecause(Error Why);
  Result<void> check(const std::vector<Entry> &Found);
  platform::Transaction transaction(const platform::Row &Head,
                                    uint64_t Revision,
                                    const std::vector<platform::Row> &Rows,
                                    const std::vector<Entry> &Found);

  const ChangeRequest m_Request;
  const WriterOptions m_Options;
  const std::string m_Digest;
  State m_State = State::Idle;
  unsigned m_Retries = 0;
  /// Versions of the records as first read. Another version later means that
  /// another operator changed the record meanwhile.
  std::optional<std::vector<uint64_t>> m_FirstVersions;
  /// What the last commit will have done when it takes effect.
  ChangeOutcome m_Proposed;
  /// Version of the head row that the last commit demanded.
  uint64_t m_DemandedHead = 0;
  /// A commit without answer may still take effect while the head row has this
  /// version and the operation row is absent.
  std::optional<uint64_t> m_PendingHead;
};

} // namespace figlift::config
