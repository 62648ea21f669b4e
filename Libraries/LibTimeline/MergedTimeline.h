//===- MergedTimeline.h - Events of many processes --------------*- C++ -*-===//
//
// Merges the GET /timeline responses of several processes in causal order. A
// process that cannot be reached is kept as a source with an error, so that its
// missing events are not mistaken for inactivity.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"
#include "LibTimeline/Event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::timeline {

/// A process that was queried.
struct Source {
  Endpoint Address;
  /// Set if there is no valid response.
  std::optional<Error> Failure;
  std::string ProcessId;
  /// "entry" or "agent".
  std::string ProcessKind;
  std::string Zone;
  /// Number of older events that the process had already overwritten.
  uint64_t Overwritten = 0;
};

struct SourceResponse {
  Source Origin;
  std::vector<Event> Events;
};

/// Parses the body of a GET /timeline response; fails with InvalidInput.
Result<SourceResponse> parseResponse(const Endpoint &Address,
                                     std::string_view Body);

struct MergedTimeline {
  std::vector<Source> Sources;
  /// Sorted by isBefore() and without duplicates, even if a process was queried
  /// at two addresses.
  std::vector<Event> Events;

  /// Whether the events of at least one source are missing.
  bool isPartial() const;
};

MergedTimeline mergeResponses(std::vector<SourceResponse> Responses);

/// Keeps only the events of one request: those that name it as their subject or
/// in a field, and, transitively, those caused by a kept event.
void followRequest(MergedTimeline &Merged, std::string_view RequestId);

/// Whether the event is stamped before its own cause, which happens when the
/// clock skew exceeds MaximumClockSkew.
bool precedesCause(const Event &Item);

/// "08:15:02.250", UTC.
std::string timeOfDay(Stamp Timestamp);

/// Converts the value of a field to text.
std::string toString(const OwnedValue &Value);

/// Output formats.
std::string renderText(const MergedTimeline &Merged);
std::string renderJson(const MergedTimeline &Merged);
/// A self-contained HTML page.
std::string renderHtml(const MergedTimeline &Merged);

} // namespace figlift::timeline
