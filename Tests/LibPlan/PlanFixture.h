//===- PlanFixture.h - A shard for planner tests ----------------*- C++ -*-===//
//
// Builds snapshots and carries out orders on them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/Planner.h"

#include <algorithm>
#include <string>
#include <vector>

namespace figlift::plan::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PlanFixture {
  BootTime Now{seconds(1000)};
  Snapshot Seen;

  TargetState &add(const std::string &Id, Role Which,
                   std::vector<ModelVersion> Models = {}) {
    TargetState State;
    State.Id = Id;
    State.CurrentRole = Which;
    State.Live = State.Accepting = true;
    State.Models = std::move(Models);
    State.Load.PrefillTokensPerSecond = Which == Role::Decode ? 2700 : 12000;
    State.Load.DecodeTokensPerSecond = Which == Role::Prefill ? 330 : 1600;
    State.ReportedAt = Now;
    Seen.Targets.push_back(State);
    return Seen.Targets.back();
  }

  TargetState &target(const std::string &Id) {
    return *std::ranges::find(Seen.Targets, Id, &TargetState::Id);
  }

  std::vector<Action> tick(Planner &Under, milliseconds Later = seconds(1)) {
    Now += Later;
    for (TargetState &State : Seen.Targets)
      if (State.Live)
        State.ReportedAt = Now;
    return Under.step(Tick{Seen}, Now);
  }

  /// The order ends well, and the next report shows its effect.
  void carryOut(Planner &Under, const GiveOrder &Order) {
    Now += seconds(3);
    TargetState &State = target(Order.Target);
    if (const auto *Change = std::get_if<SetRole>(&Order.What))
      State.CurrentRole = Change->NewRole;
    if (const auto *Change = std::get_if<LoadModel>(&Order.What))
      State.Models.push_back(Change->Model);
    if (const auto *Change = std::get_if<UnloadModel>(&Order.What))
      std::erase(State.Models, Change->Model);
    Under.step(OrderEnded{Order.Target, ResultCode::Success, {}}, Now);
  }

  void fail(Planner &Under, const GiveOrder &Order, ResultCode Code) {
    Now += seconds(3);
    Under.step(OrderEnded{Order.Target, Code, {}}, Now);
  }
};

} // namespace figlift::plan::test
