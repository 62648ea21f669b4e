//===- EngineMessages.h - JSON of the engine's HTTP interface ---*- C++ -*-===//
//
// Pure translation between the engine's JSON and the types of Target.h.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTarget/Target.h"

#include <string_view>

namespace figlift::target {

std::string writeCompletion(const CompletionCall &Call);
std::string writeOrder(const OrderCall &Call);

/// What one event of a completion's stream says.
struct StreamDone {};
using StreamItem = std::variant<Token, CompletionEnd, StreamDone>;
Result<StreamItem> readStreamItem(std::string_view Data);

Result<EngineState> readState(std::string_view Body);
Result<EngineLoad> readLoad(std::string_view Body);
Result<std::vector<CacheEvent>> readCacheEvents(std::string_view Body);

/// The refusal of an order by its status and body.
Error readOrderRefusal(unsigned Status, std::string_view Body);

} // namespace figlift::target
