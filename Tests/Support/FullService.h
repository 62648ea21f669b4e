//===- FullService.h - Checks that a fleet recovered ------------*- C++ -*-===//
//
// A system that does not recover from a fault fails as much as one that
// responds incorrectly. Tests check here after each fault that all back ends
// are served again and that nothing is left behind: held answers, open calls,
// admissions, requests in flight, unfinished orders, orphaned slices.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include <chrono>
#include <string>

namespace figlift::test {

/// Value of a metric of the process at \p Address, summed over all labels; -1
/// if it is missing.
double metric(const std::string &Address, const std::string &Name);

/// Waits until \p TestedFleet serves all back ends through all entries and
/// holds no state of earlier requests. Returns an empty string if it does
/// within \p Limit, and otherwise a description of the remaining problem. No
/// other requests may be in flight.
std::string
fullServiceProblem(Fleet &TestedFleet,
                   std::chrono::milliseconds Limit = std::chrono::seconds(40));

} // namespace figlift::test
