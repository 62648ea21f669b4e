//===- Steps.h - Every step of every machine --------------------*- C++ -*-===//
//
// Lists the steps from the machines' own enumerations and variants, so that a
// step which is added there is missed here.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <string>
#include <vector>

namespace figlift::test {

/// A machine and its steps, in the order of its declaration.
struct MachineSteps {
  std::string Machine;
  std::vector<std::string> Steps;
};

std::vector<MachineSteps> allSteps();

} // namespace figlift::test
