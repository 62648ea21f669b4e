//===- MethodPath.h - Methods as paths on the wire --------------*- C++ -*-===//
//
// The table of the methods and the :path of their streams.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Wire.h"

#include <optional>

namespace figlift::wire {

/// "/figlift.v1/Run" and so on.
std::string_view pathOf(Method What);
/// Whether streams of this method carry requests of callers.
bool carriesRequest(Method What);
/// Nothing for a path that this version does not know.
std::optional<Method> methodOf(std::string_view Path);

} // namespace figlift::wire
