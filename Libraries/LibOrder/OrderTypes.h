//===- OrderTypes.h - Orders, events and actions ----------------*- C++ -*-===//
//
// Vocabulary of the order machine: what a planner may order, what the agent's
// shell tells the machine and what it is told to do.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/ResultCode.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figlift::order {

struct SetRole {
  std::string Role;
  bool operator==(const SetRole &) const = default;
};
struct LoadModel {
  std::string Model;
  std::string Version;
  /// Empty when the model is loaded without an adapter.
  std::string Adapter;
  bool operator==(const LoadModel &) const = default;
};
struct UnloadModel {
  std::string Model;
  std::string Version;
  std::string Adapter;
  bool operator==(const UnloadModel &) const = default;
};
using Change = std::variant<SetRole, LoadModel, UnloadModel>;

struct Order {
  std::string Id;
  /// Lease epoch of the planner that gave the order.
  uint64_t Epoch = 0;
  Change What;
  bool operator==(const Order &) const = default;
};

enum class IntentState { Intended, Done, Abandoned };

/// Value of the row order/<target>.
struct IntentRow {
  Order What;
  IntentState State = IntentState::Intended;
  bool operator==(const IntentRow &) const = default;
};

enum class EngineOrderState { None, Running, Done, Failed };

struct LoadedModel {
  std::string Model;
  std::string Version;
  std::string Adapter;
  auto operator<=>(const LoadedModel &) const = default;
};

/// What the engine says of itself.
struct EngineState {
  /// Differs after each start of the engine.
  std::string Boot;
  std::string Role;
  std::vector<LoadedModel> Models;
  /// Order that the engine took last since its start; empty when none.
  std::string OrderId;
  EngineOrderState OrderState = EngineOrderState::None;
  bool operator==(const EngineState &) const = default;
};

/// Whether the engine is in the state that \p What asks for.
bool satisfies(const EngineState &State, const Change &What);

/// \name Events. Each action that asks something of the store or the engine is
/// answered by exactly one event, within the timeout of the call.
/// @{
struct Tick {};
struct OrderReceived {
  /// Names the caller's stream; comes back in Reply.
  uint64_t Token = 0;
  Order What;
};
/// Answers ReadIntentRow with both rows.
struct IntentRowRead {
  /// 0 when the row is absent.
  uint64_t Version = 0;
  std::optional<IntentRow> Row;
  uint64_t LeaseVersion = 0;
  /// Epoch of the shard's lease row.
  uint64_t LeaseEpoch = 0;
  /// Whether the lease row names a holder; false once it was released.
  bool LeaseHeld = false;
};
struct IntentRowReadFailed {};
struct CommitSucceeded {};
/// A version differed; nothing was written.
struct CommitConflicted {};
/// The answer was lost; the write may have happened, or may still happen.
struct CommitOutcomeUnknown {};
/// The store was down; nothing was written.
struct CommitFailed {};
/// The last request admitted before CloseAdmission has ended.
struct Drained {};
/// The requests did not end within the drain's bound.
struct DrainTimedOut {};
/// Answers ReadEngineState. In Idle the shell may also pass on what it read for
/// other reasons, so that a restart of the engine is noticed.
struct EngineStateRead {
  EngineState State;
};
struct EngineUnreachable {};
/// Answers to SendToEngine.
struct EngineAccepted {};
/// The engine refused the order for good (stale fence, unknown model).
struct EngineRejected {};
/// The engine is at work on another order; it did not take this one.
struct EngineBusy {};
/// No byte of the order left the agent (connection refused).
struct EngineNotReached {};
struct EngineOutcomeUnknown {};
/// @}

using Event =
    std::variant<Tick, OrderReceived, IntentRowRead, IntentRowReadFailed,
                 CommitSucceeded, CommitConflicted, CommitOutcomeUnknown,
                 CommitFailed, Drained, DrainTimedOut, EngineStateRead,
                 EngineUnreachable, EngineAccepted, EngineRejected, EngineBusy,
                 EngineNotReached, EngineOutcomeUnknown>;

/// Enumerators in the order of the variant's alternatives.
enum class EventKind {
  Tick,
  OrderReceived,
  IntentRowRead,
  IntentRowReadFailed,
  CommitSucceeded,
  CommitConflicted,
  CommitOutcomeUnknown,
  CommitFailed,
  Drained,
  DrainTimedOut,
  EngineStateRead,
  EngineUnreachable,
  EngineAccepted,
  EngineRejected,
  EngineBusy,
  EngineNotReached,
  EngineOutcomeUnknown,
};

inline EventKind kindOf(const Event &What) {
  return static_cast<EventKind>(What.index());
}

/// \name Actions.
/// @{

/// Reads order/<target> and the shard's lease row; both in IntentRowRead.
struct ReadIntentRow {
  bool operator==(const ReadIntentRow &) const = default;
};
/// One transaction with conditions on both versions: the order takes effect
/// only while the lease row is still the one that was read.
struct CommitIntentRow {
  uint64_t ExpectedVersion = 0;
  uint64_t ExpectedLeaseVersion = 0;
  IntentRow Row;
  bool operator==(const CommitIntentRow &) const = default;
};
/// Writes the end of an order; at the start, the row anew as it was read (an
/// order with an empty id when there is none). Conditioned on the order row
/// alone.
struct CommitCompletionRow {
  uint64_t ExpectedVersion = 0;
  IntentRow Row;
  bool operator==(const CommitCompletionRow &) const = default;
};
/// Refuse new requests ("not run"); answered by Drained or DrainTimedOut.
struct CloseAdmission {
  bool operator==(const CloseAdmission &) const = default;
};
struct OpenAdmission {
  bool operator==(const OpenAdmission &) const = default;
};
struct ReadEngineState {
  bool operator==(const ReadEngineState &) const = default;
};
struct SendToEngine {
  Order What;
  /// Fencing number for the engine: the version of the intent row. It grows
  /// with every order, also under one epoch, so that an engine which checks
  /// it refuses a late copy of an earlier order of the same planner too.
  uint64_t Fence = 0;
  bool operator==(const SendToEngine &) const = default;
};
/// How far an order has come, for the planner.
enum class OrderProgress { Refused, Running, Done, Failed };
struct Reply {
  uint64_t Token = 0;
  ResultCode Code = ResultCode::Success;
  OrderProgress Progress = OrderProgress::Refused;
  uint64_t HighestEpoch = 0;
  bool operator==(const Reply &) const = default;
};
/// The engine's state is known again after a change; goes to the planner with
/// the agent's next report.
struct ReportEngineState {
  EngineState State;
  /// False when the engine is not in the state of the last intent: it crashed
  /// or the order failed, and the planner has to plan anew.
  bool MatchesIntent = true;
  bool operator==(const ReportEngineState &) const = default;
};
/// @}

using Action = std::variant<ReadIntentRow, CommitIntentRow, CommitCompletionRow,
                            CloseAdmission, OpenAdmission, ReadEngineState,
                            SendToEngine, Reply, ReportEngineState>;

} // namespace figlift::order
