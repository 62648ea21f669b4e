//===- Event.h - One timeline event -----------------------------*- C++ -*-===//
//
// An event has a kind, a hybrid clock stamp, a subject and an optional cause,
// the stamp of an earlier event. GET /timeline returns events as JSON, and
// figlift-timeline merges them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Field.h"
#include "LibCore/Result.h"
#include "LibTimeline/HybridClock.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figlift::timeline {

/// Name of an event. Only string literals are accepted, so the names are a
/// closed set in the source and never contain customer data.
class EventKind {
public:
  consteval EventKind(const char *Literal) : m_Name(Literal) {}
  constexpr std::string_view name() const { return m_Name; }

private:
  std::string_view m_Name;
};

/// Kinds recorded by more than one process. A process may define further
/// literals in the same style.
namespace kinds {
inline constexpr EventKind ProcessStarted = "process-started";
inline constexpr EventKind ProcessStopping = "process-stopping";
inline constexpr EventKind RequestAccepted = "request-accepted";
inline constexpr EventKind RequestRefused = "request-refused";
inline constexpr EventKind RequestAnswered = "request-answered";
inline constexpr EventKind RequestFailed = "request-failed";
inline constexpr EventKind RequestCancelled = "request-cancelled";
inline constexpr EventKind AttemptSent = "attempt-sent";
inline constexpr EventKind AttemptEnded = "attempt-ended";
inline constexpr EventKind AnswerResumed = "answer-resumed";
inline constexpr EventKind WorkHandedOver = "work-handed-over";
inline constexpr EventKind WorkFinished = "work-finished";
inline constexpr EventKind ClaimReplayed = "claim-replayed";
inline constexpr EventKind ClaimUnknown = "claim-unknown";
inline constexpr EventKind LeaseAcquired = "lease-acquired";
inline constexpr EventKind LeaseLost = "lease-lost";
inline constexpr EventKind OrderSent = "order-sent";
inline constexpr EventKind OrderReceived = "order-received";
inline constexpr EventKind OrderRefused = "order-refused";
inline constexpr EventKind OrderStarted = "order-started";
inline constexpr EventKind OrderDone = "order-done";
inline constexpr EventKind OrderAbandoned = "order-abandoned";
inline constexpr EventKind DrainStarted = "drain-started";
inline constexpr EventKind DrainFinished = "drain-finished";
inline constexpr EventKind DrainUndone = "drain-undone";
inline constexpr EventKind SlicesHandedOver = "slices-handed-over";
inline constexpr EventKind SlicesTaken = "slices-taken";
inline constexpr EventKind RevisionInForce = "revision-in-force";
inline constexpr EventKind RecordWritten = "record-written";
inline constexpr EventKind PeerUp = "peer-up";
inline constexpr EventKind PeerDown = "peer-down";
inline constexpr EventKind TargetUp = "target-up";
inline constexpr EventKind TargetDown = "target-down";
inline constexpr EventKind StoreUp = "store-up";
inline constexpr EventKind StoreDown = "store-down";
} // namespace kinds

enum class SubjectType { Process, Request, Target, Shard, Record, Slice };

std::string_view toString(SubjectType Type);

/// The object that an event concerns.
struct Subject {
  SubjectType Type = SubjectType::Process;
  /// Id or name. For a request, the request id, never the idempotency key.
  std::string Name;

  bool operator==(const Subject &) const = default;
};

using OwnedValue = std::variant<std::string, int64_t, uint64_t, double, bool,
                                std::chrono::nanoseconds>;

/// A Field that owns its text.
struct OwnedField {
  std::string Name;
  OwnedValue Value;

  bool operator==(const OwnedField &) const = default;
};

struct Event {
  Stamp Timestamp;
  std::string ProcessId;
  std::string Kind;
  Subject EventSubject;
  /// Stamp of the event that caused this one; none if unknown.
  Stamp Cause;
  std::vector<OwnedField> Fields;

  bool operator==(const Event &) const = default;
};

/// Causal order: by timestamp, then by process id.
bool isBefore(const Event &Left, const Event &Right);

/// {"stamp","process","kind","subject":{"type","name"},"cause"?,"fields":{}}.
/// Durations are written in milliseconds.
nlohmann::ordered_json toJson(const Event &Value);
/// Converts the value of one field; a list or an object becomes its JSON text.
OwnedValue valueFromJson(const nlohmann::ordered_json &Value);

/// Parses the output of toJson(); durations are returned as numbers. Unknown
/// members are ignored because processes of two versions run side by side
/// during a roll-out.
Result<Event> eventFromJson(const nlohmann::ordered_json &Value);

} // namespace figlift::timeline
