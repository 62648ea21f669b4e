//===- PlanTypes.cpp - Inputs and orders of the planner ---------*- C++ -*-===//
//
// Text form of model versions.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/PlanTypes.h"

namespace figlift::plan {

std::string ModelVersion::toString() const {
  std::string Text = Name + "@" + Version;
  if (!Adapter.empty())
    Text += "+" + Adapter;
  return Text;
}

ModelVersion ModelVersion::parse(std::string_view Text) {
  ModelVersion Result;
  if (const size_t Plus = Text.find('+'); Plus != std::string_view::npos) {
    Result.Adapter = Text.substr(Plus + 1);
    Text = Text.substr(0, Plus);
  }
  const size_t At = Text.find('@');
  Result.Name = Text.substr(0, At);
  if (At != std::string_view::npos)
    Result.Version = Text.substr(At + 1);
  return Result;
}

} // namespace figlift::plan
