//===- OrderTypes.cpp - Orders, events and actions ------------------------===//
//
// See OrderTypes.h.
//
//===----------------------------------------------------------------------===//

#include "LibOrder/OrderTypes.h"

#include <algorithm>

namespace figlift::order {

namespace {

bool hasLoaded(const EngineState &State, const LoadedModel &Model) {
  return std::ranges::find(State.Models, Model) != State.Models.end();
}

struct ChangeMatcher {
  const EngineState &State;

  bool operator()(const SetRole &Requested) const {
    return State.Role == Requested.Role;
  }
  bool operator()(const LoadModel &Requested) const {
    return hasLoaded(State,
                     {Requested.Model, Requested.Version, Requested.Adapter});
  }
  bool operator()(const UnloadModel &Requested) const {
    return !hasLoaded(State,
                      {Requested.Model, Requested.Version, Requested.Adapter});
  }
};

} // namespace

bool satisfies(const EngineState &State, const Change &Requested) {
  return std::visit(ChangeMatcher{State}, Requested);
}

} // namespace figlift::order
