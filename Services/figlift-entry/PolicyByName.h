//===- PolicyByName.h - Policies named in the settings ----------*- C++ -*-===//
//
// Benchmarks compare the production policy with baseline policies and with
// variants that have one mechanism disabled. The settings select one by name.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/RolePlanner.h"
#include "LibRoute/Policy.h"

#include <string_view>

namespace figlift::entry {

/// \p Name is one of settings::RoutingPolicies. Unknown names select the
/// production policy.
route::Policy routingPolicyByName(std::string_view Name);
/// \p Name is one of settings::RolePolicies. Unknown names select the
/// production policy.
plan::PlanPolicy rolePolicyByName(std::string_view Name);

} // namespace figlift::entry
