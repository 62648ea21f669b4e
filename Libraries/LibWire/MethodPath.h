//===- MethodPath.h - Methods as paths on the wire --------------*- C++ -*-===//
//
// Maps methods to the :path of their streams and back.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Wire.h"

#include <optional>

namespace figlift::wire {

/// For example "/figlift.v1/Run".
std::string_view methodPath(Method StreamMethod);
/// Whether streams of this method carry callers' requests.
bool carriesRequest(Method StreamMethod);
/// Nothing for a path that this version does not support.
std::optional<Method> methodFromPath(std::string_view Path);

} // namespace figlift::wire
