//===- MethodPath.cpp - Methods as paths on the wire ----------------------===//
//
// The version is in the path, so that a later one can be served beside it.
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

std::string_view pathOf(Method What) { return Paths[size_t(What)]; }

bool carriesRequest(Method What) {
  return What == Method::Run || What == Method::Resume;
}

std::optional<Method> methodOf(std::string_view Path) {
  const auto *Found = std::find(Paths.begin(), Paths.end(), Path);
  if (Found == Paths.end())
    return std::nullopt;
  return Method(Found - Paths.begin());
}

} // namespace figlift::wire
