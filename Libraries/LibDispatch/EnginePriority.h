//===- EnginePriority.h - Scheduling priorities of engines ------*- C++ -*-===//
//
// The range of the scheduling priorities that engines know.
//
//===----------------------------------------------------------------------===//

#pragma once

namespace figlift::dispatch {

/// The least urgent priority; the most urgent one is 0.
inline constexpr unsigned LeastUrgentPriority = 9;
/// Engines use it for requests without a priority.
inline constexpr unsigned DefaultEnginePriority = 5;

} // namespace figlift::dispatch
