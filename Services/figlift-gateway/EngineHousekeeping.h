//===- EngineHousekeeping.h - Auxiliary tasks around requests ---*- C++ -*-===//
//
// Releases KV cache that will not be fetched, and records how requests ended.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibDispatch/SendHistory.h"

#include <optional>
#include <string>
#include <string_view>

namespace figlift::gateway {

/// Asks \p Engine to drop a KV cache that it holds for a fetch that will not
/// come; until then it occupies memory that other prompts need. The response
/// is ignored: if the call is lost, the engine's own expiry frees the cache
/// later.
void releaseKvCache(Context &Shared, const std::string &Engine,
                    const std::string &Handle);

/// Records the metrics of a request that has ended.
void recordRequestEnd(Context &Shared, const dispatch::Route &Route,
                      std::string_view Outcome,
                      dispatch::Milliseconds FirstByte);

/// Counts an answer that promises "not run". \p Basis: empty if there is none,
/// which must not happen.
void recordRefusal(Context &Shared, std::optional<dispatch::NotRunBasis> Basis);

/// Counts a failure of a server whose status promises "not run" although the
/// response does not state it.
void recordUnprovenRejection(Context &Shared, unsigned Status);

} // namespace figlift::gateway
