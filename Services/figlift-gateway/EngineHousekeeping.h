//===- EngineHousekeeping.h - Small duties beside requests ------*- C++ -*-===//
//
// Frees KV cache that no run will fetch, and counts how requests ended.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include <string>
#include <string_view>

namespace figlift::gateway {

/// Asks \p Engine to drop a KV cache that it keeps for a fetch that will not
/// come; until then it takes the memory of other prompts. Nobody waits for the
/// answer: a lost call costs what the engine's own expiry costs.
void releaseKvCache(Context &Shared, const std::string &Engine,
                    const std::string &Handle);

/// Metrics of a request that has ended.
void noteRequestEnd(Context &Shared, const dispatch::Route &Which,
                    std::string_view Outcome, dispatch::Milliseconds First);

} // namespace figlift::gateway
