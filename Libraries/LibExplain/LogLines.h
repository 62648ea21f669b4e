//===- LogLines.h - Reads the log lines of gateways -------------*- C++ -*-===//
//
// Parses the JSON log lines of processes (docs/LOGS.md) into timeline events,
// so that one page can show the logs of several processes.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTimeline/Event.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace figlift::explain {

struct LogLines {
  std::vector<timeline::Event> Events;
  /// Lines without an event; a log may also contain lines of other programs.
  uint64_t UnparsedLines = 0;

  /// Adds the lines of \p Text. Ignores everything before a line's first brace:
  /// log collectors insert their own time and host name there.
  void add(std::string_view Text);
  /// Sorts by time; the sort is stable, so lines of one process keep their
  /// order.
  void sort();
};

} // namespace figlift::explain
