//===- Timeline.h - Events of one process -----------------------*- C++ -*-===//
//
// Event log of one process: its hybrid clock, the ring buffer of recent events
// and the response to GET /timeline. Each entry and agent owns one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTimeline/Event.h"
#include "LibTimeline/Ring.h"

#include <string>

namespace figlift::timeline {

struct TimelineOptions {
  std::string ProcessId;
  /// "entry" or "agent"; the HTML page groups its lanes by it.
  std::string ProcessKind;
  std::string Zone;
  /// Number of events that are retained.
  size_t Capacity = 8192;
  HybridClock::WallClock Now = wallNow;
};

/// Thread-safe.
class Timeline {
public:
  explicit Timeline(TimelineOptions Options);

  /// Records a local event and returns its stamp, which later events name as
  /// their cause. Fields never contain prompts, bodies or keys.
  Stamp record(EventKind Kind, Subject EventSubject, FieldList Fields = {},
               Stamp Cause = {});

  /// Returns the value for the `clock` field of an outgoing message. A message
  /// with its own event carries the stamp returned by record() instead, so that
  /// the receiver's events can be traced back to it.
  uint64_t clockToSend() { return m_Clock.encode(); }
  /// Merges the `clock` field of a received message. Returns the sender's
  /// stamp, to be passed to record() as the cause.
  Stamp received(uint64_t Clock);

  /// Body of GET /timeline: {"process","kind","zone","now","overwritten",
  /// "events":[...]}, events after \p After, at most \p Limit of the oldest.
  std::string toJson(Stamp After = {}, size_t Limit = SIZE_MAX) const;

private:
  TimelineOptions m_Options;
  HybridClock m_Clock;
  Ring m_Ring;
};

} // namespace figlift::timeline
