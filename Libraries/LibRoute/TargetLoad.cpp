//===- TargetLoad.cpp - Load of one target ----------------------*- C++ -*-===//
//
// Names of roles, and sums over the service classes.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/TargetLoad.h"

#include <numeric>

namespace figlift::route {

std::string_view roleName(Role TargetRole) {
  switch (TargetRole) {
  case Role::Prefill:
    return "prefill";
  case Role::Decode:
    return "decode";
  case Role::Mixed:
    return "mixed";
  case Role::Service:
    return "service";
  }
  return "mixed";
}

Role roleFromName(std::string_view Name) {
  for (Role TargetRole : {Role::Prefill, Role::Decode, Role::Service})
    if (roleName(TargetRole) == Name)
      return TargetRole;
  return Role::Mixed;
}

uint64_t TargetLoad::prefillAhead(record::ServiceClass Class) const {
  const auto Count = static_cast<size_t>(Class) + 1;
  return std::accumulate(PrefillTokensWaiting.begin(),
                         PrefillTokensWaiting.begin() + Count, uint64_t{0});
}

uint64_t TargetLoad::prefillTotal() const {
  return prefillAhead(record::ServiceClass::Background);
}

} // namespace figlift::route
