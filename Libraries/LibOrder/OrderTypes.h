//===- OrderTypes.h - Orders, events and actions ----------------*- C++ -*-===//
//
// Types of the order machine: the changes that a planner may order, the events
// that the agent feeds into the machine, and the actions that it returns.
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
  Change RequestedChange;
  bool operator==(const Order &) const = default;
};

enum class IntentState { Intended, Done, Abandoned };

/// Value of the row order/<target>.
struct IntentRow {
  Order Intent;
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

/// State that the engine reports.
struct EngineState {
  /// Unique for each start of the engine.
  std::string Boot;
  std::string Role;
  std::vector<LoadedModel> Models;
  /// Order that the engine accepted last since its start; empty if none.
  std::string OrderId;
  EngineOrderState OrderState = EngineOrderState::None;
  bool operator==(const EngineState &) const = default;
};

/// Whether the engine is in the state that \p Requested asks for.
bool satisfies(const EngineState &State, const Change &Requested);

/// \name Events. Each action that calls the store or the engine is followed by
/// exactly one event with its result, within the timeout of the call.
/// @{
struct Tick {};
struct OrderReceived {
  /// Identifies the caller's stream; Reply carries the same value.
  uint64_t Token = 0;
  Order NewOrder;
};
/// Result of ReadIntentRow: both rows.
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
/// A version condition failed; nothing was written.
struct CommitConflicted {};
/// The response was lost; the write may have taken effect, or may still do so.
struct CommitOutcomeUnknown {};
/// The store was unavailable; nothing was written.
struct CommitFailed {};
/// The last request admitted before CloseAdmission has ended.
struct Drained {};
/// Requests were still running when the drain timeout expired.
struct DrainTimedOut {};
/// Result of ReadEngineState. In Idle the agent also passes on states that it
/// reads for other purposes, so that a restart of the engine is detected.
struct EngineStateRead {
  EngineState State;
};
struct EngineUnreachable {};
/// Results of SendToEngine.
struct EngineAccepted {};
/// The engine rejected the order permanently (stale fence, unknown model).
struct EngineRejected {};
/// The engine is executing another order and did not accept this one.
struct EngineBusy {};
/// The connection failed before any byte of the order was sent.
struct EngineNotReached {};
struct EngineOutcomeUnknown {};
/// @}

using Event =
    std::variant<Tick, OrderReceived, IntentRowRead, IntentRowReadFailed,
                 CommitSucceeded, CommitConflicted, CommitOutcomeUnknown,
                 CommitFailed, Drained, DrainTimedOut, EngineStateRead,
                 EngineUnreachable, EngineAccepted, EngineRejected, EngineBusy,
                 EngineNotReached, EngineOutcomeUnknown>;

/// Enumerators in the same sequence as the variant's alternatives.
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

inline EventKind kindOf(const Event &Event) {
  return static_cast<EventKind>(Event.index());
}

/// \name Actions.
/// @{

/// Reads order/<target> and the shard's lease row; IntentRowRead carries both.
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
/// Writes the final state of an order. During recovery, writes the row back
/// unchanged, or an order with an empty id if there is none. Conditioned on the
/// version of the order row only.
struct CommitCompletionRow {
  uint64_t ExpectedVersion = 0;
  IntentRow Row;
  bool operator==(const CommitCompletionRow &) const = default;
};
/// Rejects new requests as "not run"; Drained or DrainTimedOut follows.
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
  Order Payload;
  /// Fencing token for the engine: the version of the intent row. It grows with
  /// every order, also within one epoch, so that an engine that checks it
  /// rejects a late copy of an earlier order from the same planner too.
  uint64_t Fence = 0;
  bool operator==(const SendToEngine &) const = default;
};
/// Progress of an order, as reported to the planner.
enum class OrderProgress { Refused, Running, Done, Failed };
struct Reply {
  uint64_t Token = 0;
  ResultCode Code = ResultCode::Success;
  OrderProgress Progress = OrderProgress::Refused;
  uint64_t HighestEpoch = 0;
  bool operator==(const Reply &) const = default;
};
/// The engine's state after a change; the agent's next report to the planner
/// contains it.
struct ReportEngineState {
  EngineState State;
  /// False if the engine is not in the state of the last intent because it
  /// crashed or the order failed; the planner must then plan again.
  bool MatchesIntent = true;
  bool operator==(const ReportEngineState &) const = default;
};
/// @}

using Action = std::variant<ReadIntentRow, CommitIntentRow, CommitCompletionRow,
                            CloseAdmission, OpenAdmission, ReadEngineState,
                            SendToEngine, Reply, ReportEngineState>;

} // namespace figlift::order
