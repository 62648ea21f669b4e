//===- ChangeRunner.h - Carries a change out --------------------*- C++ -*-===//
//
// The shell around ConfigWriter: reads and commits at the table, one step
// after the other, on the calling thread.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/ConfigWriter.h"

#include <chrono>
#include <functional>

namespace figlift::config {

/// Blocks until the change has an outcome; not on a thread that the table's
/// callbacks need. Errors: RecordVersionConflict, RecordNotFound,
/// KeyReusedForOtherRequest, StoreUnavailable and StoreConflict (nothing was
/// written), StoreOutcomeUnknown (send the same operation again).
/// \p Pause waits for the time; tests pass one that does not.
Result<ChangeOutcome>
applyChange(platform::Table &Table, ChangeRequest Request,
            WriterOptions Options,
            const std::function<void(std::chrono::milliseconds)> &Pause);

} // namespace figlift::config
