//===- Window.h - Reporting windows of usage --------------------*- C++ -*-===//
//
// Usage is reported in windows of equal length that are counted from the start
// of 1970, in true time.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace figlift::usage {

/// Window k begins k times the window's length after the start of 1970.
using WindowNumber = uint64_t;
/// Requests that servers began to execute, by tenant.
using Counts = std::map<std::string, uint64_t>;

struct Report {
  WindowNumber Window = 0;
  Counts Requests;

  bool operator==(const Report &) const = default;
};

inline WindowNumber windowAt(WallTime Time, std::chrono::milliseconds Length) {
  return static_cast<WindowNumber>(Time.time_since_epoch() / Length);
}

inline WallTime endOf(WindowNumber Window, std::chrono::milliseconds Length) {
  return WallTime(Length * (Window + 1));
}

} // namespace figlift::usage
