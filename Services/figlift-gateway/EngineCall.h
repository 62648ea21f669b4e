//===- EngineCall.h - Calls to engines besides requests ---------*- C++ -*-===//
//
// One call with a whole answer, over the connections that requests use.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include <functional>
#include <string>
#include <string_view>

namespace figlift::gateway {

/// A status of 0 means that there was no answer.
using EngineAnswer =
    std::function<void(unsigned Status, const std::string &Body)>;

/// Calls one start of an engine; any other turns the call away. False when the
/// call could not be made; \p Done is not called then.
bool callEngine(Context &Shared, const std::string &TargetId,
                std::string_view Method, std::string_view Path,
                const std::string &Body, EngineAnswer Done);

} // namespace figlift::gateway
