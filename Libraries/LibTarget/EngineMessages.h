//===- EngineMessages.h - JSON of the engine's HTTP interface ---*- C++ -*-===//
//
// Pure conversion between the engine's JSON and the types of Target.h.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTarget/Target.h"

#include <string_view>

namespace figlift::target {

std::string writeCompletion(const CompletionCall &Call);
std::string writeOrder(const OrderCall &Call);

/// Marks the end of a completion's stream, "[DONE]".
struct StreamDone {};
/// Content of one event of a completion's stream.
using StreamItem = std::variant<Token, CompletionEnd, StreamDone>;
Result<StreamItem> readStreamItem(std::string_view Data);

Result<EngineState> readState(std::string_view Body);
Result<EngineLoad> readLoad(std::string_view Body);
Result<std::vector<CacheEvent>> readCacheEvents(std::string_view Body);

/// Error of a refused order, from the status and the body of the response.
Error readOrderRefusal(unsigned Status, std::string_view Body);

} // namespace figlift::target
