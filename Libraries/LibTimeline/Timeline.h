//===- Timeline.h - Events of one process -----------------------*- C++ -*-===//
//
// What an entry or agent owns one of: its hybrid clock, its ring of recent
// events and the answer to GET /timeline.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTimeline/Event.h"
#include "LibTimeline/Ring.h"

#include <string>

namespace figlift::timeline {

struct TimelineOptions {
  std::string ProcessId;
  /// "entry" or "agent"; the lanes of the HTML page are grouped by it.
  std::string ProcessKind;
  std::string Zone;
  /// Events that are kept.
  size_t Capacity = 8192;
  HybridClock::WallClock Now = wallNow;
};

/// Members may be called from any thread.
class Timeline {
public:
  explicit Timeline(TimelineOptions Options);

  /// Records a local event and returns its stamp, to be named as the cause of
  /// what follows from it. Fields never hold prompts, bodies or keys.
  Stamp record(EventKind Kind, Subject About, FieldList Fields = {},
               Stamp Cause = {});

  /// Value for the `clock` field of a message about to be sent. A message that
  /// an event stands for carries the stamp of record() in its place, so that
  /// what it causes elsewhere can be followed back.
  uint64_t clockToSend() { return m_Clock.encode(); }
  /// Merges the `clock` field of a received message; returns the sender's
  /// stamp as a cause for record().
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
