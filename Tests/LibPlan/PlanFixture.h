//===- PlanFixture.h - A shard for planner tests ----------------*- C++ -*-===//
//
// Builds snapshots and applies orders to them.
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
  Snapshot View;

  TargetState &add(const std::string &Id, Role EngineRole,
                   std::vector<ModelVersion> Models = {}) {
    TargetState State;
    State.Id = Id;
    State.CurrentRole = EngineRole;
    State.Live = State.Accepting = true;
    State.Models = std::move(Models);
    State.Load.PrefillTokensPerSecond =
        EngineRole == Role::Decode ? 2700 : 12000;
    State.Load.DecodeTokensPerSecond = EngineRole == Role::Prefill ? 330 : 1600;
    State.ReportedAt = Now;
    View.Targets.push_back(State);
    return View.Targets.back();
  }

  TargetState &target(const std::string &Id) {
    return *std::ranges::find(View.Targets, Id, &TargetState::Id);
  }

  std::vector<Action> tick(Planner &PlannerUnderTest,
                           milliseconds Later = seconds(1)) {
    Now += Later;
    for (TargetState &State : View.Targets)
      if (State.Live)
        State.ReportedAt = Now;
    return PlannerUnderTest.step(Tick{View}, Now);
  }

  /// Ends the order with success; the next report shows its effect.
  void carryOut(Planner &PlannerUnderTest, const TargetOrder &Order) {
    Now += seconds(3);
    TargetState &State = target(Order.Target);
    if (const auto *Change = std::get_if<SetRole>(&Order.RequestedChange))
      State.CurrentRole = Change->NewRole;
    if (const auto *Change = std::get_if<LoadModel>(&Order.RequestedChange))
      State.Models.push_back(Change->Model);
    if (const auto *Change = std::get_if<UnloadModel>(&Order.RequestedChange))
      std::erase(State.Models, Change->Model);
    PlannerUnderTest.step(OrderEnded{Order.Target, ResultCode::Success, {}},
                          Now);
  }

  void fail(Planner &PlannerUnderTest, const TargetOrder &Order,
            ResultCode Code) {
    Now += seconds(3);
    PlannerUnderTest.step(OrderEnded{Order.Target, Code, {}}, Now);
  }
};

} // namespace figlift::plan::test
