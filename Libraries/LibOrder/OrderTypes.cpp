//===- OrderTypes.cpp - Orders, events and actions ------------------------===//
//
// See OrderTypes.h.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderTypes.h"

#include <algorithm>

namespace figlift::order {

namespace {

bool holds(const EngineState &State, const LoadedModel &Model) {
  return std::ranges::find(State.Models, Model) != State.Models.end();
}

struct SatisfiedBy {
  const EngineState &State;

  bool operator()(const SetRole &What) const { return State.Role == What.Role; }
  bool operator()(const LoadModel &What) const {
    return holds(State, {What.Model, What.Version, What.Adapter});
  }
  bool operator()(const UnloadModel &What) const {
    return !holds(State, {What.Model, What.Version, What.Adapter});
  }
};

} // namespace

bool satisfies(const EngineState &State, const Change &What) {
  return std::visit(SatisfiedBy{State}, What);
}

} // namespace figlift::order
