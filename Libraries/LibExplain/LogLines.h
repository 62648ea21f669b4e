//===- LogLines.h - Reads the log lines of gateways -------------*- C++ -*-===//
//
// Turns the JSON lines that processes write (docs/LOGS.md) into events of the
// time line, so that one page can show what several processes said.
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
  /// Lines that hold no event; a log may have lines of others in it.
  uint64_t Unread = 0;

  /// Adds the lines of \p Text. What stands before a line's first brace is
  /// left out: collectors put their own time and machine there.
  void add(std::string_view Text);
  /// Sorts by time; lines of one process keep their order.
  void sort();
};

} // namespace figlift::explain
