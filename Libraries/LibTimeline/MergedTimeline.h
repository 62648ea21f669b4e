//===- MergedTimeline.h - Events of many processes --------------*- C++ -*-===//
//
// Puts the answers of several processes to GET /timeline into one causal
// order. A process that could not be asked stays visible as a source with an
// error: its events are missing, which a reader must not take for silence.
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

/// A process that was asked.
struct Source {
  Endpoint Address;
  /// Why there is no answer.
  std::optional<Error> Failure;
  std::string ProcessId;
  /// "entry" or "agent".
  std::string ProcessKind;
  std::string Zone;
  /// Events that the process no longer had.
  uint64_t Overwritten = 0;
};

struct SourceAnswer {
  Source From;
  std::vector<Event> Events;
};

/// Reads the body of GET /timeline; fails with InvalidInput.
Result<SourceAnswer> parseAnswer(const Endpoint &Address,
                                 std::string_view Body);

struct MergedTimeline {
  std::vector<Source> Sources;
  /// In the order of isBefore(); no event stands twice, even if a process was
  /// asked at two addresses.
  std::vector<Event> Events;

  bool isPartial() const;
};

MergedTimeline mergeAnswers(std::vector<SourceAnswer> Answers);

/// Keeps the events about one request: those that name it as their subject or
/// in a field, and those that an event already kept has caused.
void followRequest(MergedTimeline &Whole, std::string_view RequestId);

/// Whether a clock that ran ahead put this event before its own cause; see
/// MaximumAhead.
bool precedesItsCause(const Event &Which);

/// "08:15:02.250", UTC.
std::string timeOfDay(Stamp When);

/// Value of a field as text.
std::string toString(const OwnedValue &Value);

/// Forms of the output.
std::string renderText(const MergedTimeline &Whole);
std::string renderJson(const MergedTimeline &Whole);
/// One page without references to anything outside of it.
std::string renderHtml(const MergedTimeline &Whole);

} // namespace figlift::timeline
