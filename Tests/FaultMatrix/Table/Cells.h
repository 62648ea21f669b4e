//===- Cells.h - The fault matrix -------------------------------*- C++ -*-===//
//
// For each step of each machine and each fault, the test that proves the cell.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <array>
#include <span>
#include <string_view>

namespace figlift::test {

enum class Fault {
  Kill,
  /// Stopped for longer than any lease or heartbeat, then resumed.
  Pause,
  CutOneWay,
  CutBothWays,
  Delay,
  StoreDown,
  StoreSlow,
  /// A write takes effect and its answer is lost.
  StoreAnswerLost,
  StaleLoad,
  /// The engine or service dies.
  TargetCrash,
  OperatorRace,
  DuplicateDelivery,
};
inline constexpr size_t FaultCount = 12;
std::string_view name(Fault Which);

struct MatrixRow {
  std::string_view Machine;
  std::string_view Step;
  /// "Group.Name" of a test; empty: not run.
  std::array<std::string_view, FaultCount> Tests;
};

std::span<const MatrixRow> matrix();

} // namespace figlift::test
