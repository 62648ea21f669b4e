//===- EngineCall.h - Control calls to engines ------------------*- C++ -*-===//
//
// A call with a buffered response, over the connection pools that requests use.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "ControlCall.h"

#include <string>
#include <string_view>

namespace figlift::gateway {

/// Calls one start of an engine; if the engine has restarted, it rejects the
/// call. Returns false if the call could not be sent; \p Done is not called
/// then.
bool callEngine(Context &Shared, const std::string &TargetId,
                std::string_view Method, std::string_view Path,
                const std::string &Body, CallCallback Done);

} // namespace figlift::gateway
