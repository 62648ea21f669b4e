//===- ChangeRunner.h - Executes a configuration change ---------*- C++ -*-===//
//
// Drives a ConfigWriter: performs its reads and commits at the table, one after
// the other, on the calling thread.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/ConfigWriter.h"

#include <chrono>
#include <functional>

namespace figlift::config {

/// Blocks until the change has an outcome. Must not be called on a thread that
/// runs the table's callbacks. Errors: RecordVersionConflict, RecordNotFound,
/// KeyReusedForOtherRequest, StoreUnavailable and StoreConflict (nothing was
/// written), StoreOutcomeUnknown (retry with the same operation id).
/// \p Pause sleeps for the given time; tests pass a function that returns at
/// once.
Result<ChangeOutcome>
applyChange(platform::Table &Table, ChangeRequest Request,
            WriterOptions Options,
            const std::function<void(std::chrono::milliseconds)> &Pause);

} // namespace figlift::config
