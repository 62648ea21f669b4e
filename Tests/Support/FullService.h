//===- FullService.h - Whether a fleet is back to full service --*- C++ -*-===//
//
// A system that stays wedged after a fault has failed as much as one that gave
// a wrong answer. After each fault a test asks here whether everything is
// served again and whether anything was left behind: held answers, open calls,
// admissions, requests in flight, half-done orders, orphaned slices.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include <chrono>
#include <string>

namespace figlift::test {

/// Value of an unlabelled metric of the process at \p Address; the sum over
/// all labels when it has some; -1 when it is missing.
double metric(const std::string &Address, const std::string &Name);

/// Waits until \p Of serves every back end through every entry and holds
/// nothing of earlier requests. Empty when it does within \p Limit, otherwise
/// what was missing at the end. No other request may be under way.
std::string
fullServiceProblem(Fleet &Of,
                   std::chrono::milliseconds Limit = std::chrono::seconds(40));

} // namespace figlift::test
