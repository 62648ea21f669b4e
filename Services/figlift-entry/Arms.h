//===- Arms.h - Policies by their names in the settings ---------*- C++ -*-===//
//
// A measurement compares the deployed policy with baselines, and with itself
// with one mechanism off. The settings name the arm.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/RolePlanner.h"
#include "LibRoute/Policy.h"

#include <string_view>

namespace figlift::entry {

/// \p Name is one of settings::RoutingArms; any other is figlift's own.
route::Policy routingArm(std::string_view Name);
/// \p Name is one of settings::RoleArms; any other is figlift's own.
plan::PlanPolicy roleArm(std::string_view Name);

} // namespace figlift::entry
