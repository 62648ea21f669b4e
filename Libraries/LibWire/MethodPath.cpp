//===- MethodPath.cpp - Methods as paths on the wire ----------------------===//
//
// The path contains the protocol version, so that a later version can be served
// beside it.
//
//===----------------------------------------------------------------------===//

#include "LibWire/MethodPath.h"

#include <algorithm>
#include <array>

namespace figlift::wire {

namespace {
/// In the order of the enumerators.
constexpr std::array<std::string_view, 7> Paths = {
    "/figlift.v1/Run",          "/figlift.v1/Resume", "/figlift.v1/Order",
    "/figlift.v1/Sync",         "/figlift.v1/Drain",  "/figlift.v1/Handover",
    "/figlift.v1/Configuration"};
} // namespace

std::string_view methodPath(Method StreamMethod) {
  return Paths[size_t(StreamMethod)];
}

bool carriesRequest(Method StreamMethod) {
  return StreamMethod == Method::Run || StreamMethod == Method::Resume;
}

std::optional<Method> methodFromPath(std::string_view Path) {
  const auto *Position = std::find(Paths.begin(), Paths.end(), Path);
  if (Position == Paths.end())
    return std::nullopt;
  return Method(Position - Paths.begin());
}

} // namespace figlift::wire
