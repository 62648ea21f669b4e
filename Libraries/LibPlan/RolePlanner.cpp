//===- RolePlanner.cpp - Planning of role changes ---------------*- C++ -*-===//
//
// Implements the three policies as a visitor.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/RolePlanner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace figlift::plan {

namespace {

constexpr std::array EngineRoles{Role::Prefill, Role::Decode, Role::Mixed};

struct RoleChange {
  const TargetState *Target;
  Role NewRole;
};

/// Returns a change of the engine with the least work to drain among those of
/// role \p From that can change to \p To.
std::optional<RoleChange> cheapestChange(const Fleet &Engines, Role From,
                                         Role To) {
  const TargetState *Best = nullptr;
  const auto Work = [](const TargetState &Target) {
    return std::tuple(Target.Load.DecodeTokensWaiting +
                          Target.Load.prefillTotal(),
                      std::string_view(Target.Id));
  };
  for (const TargetState *Target : Engines.serving())
    if (Target->CurrentRole == From && Engines.canChangeRole(*Target, To) &&
        (!Best || Work(*Target) < Work(*Best)))
      Best = Target;
  if (!Best)
    return std::nullopt;
  return RoleChange{Best, To};
}

TargetOrder orderFor(const RoleChange &Change, std::string Reason) {
  return {Change.Target->Id, SetRole{Change.NewRole}, std::move(Reason)};
}

RoleCounts sum(RoleCounts First, const RoleCounts &Second) {
  First.Prefill += Second.Prefill;
  First.Decode += Second.Decode;
  First.Mixed += Second.Mixed;
  return First;
}

Backlog backlog(const Fleet &Engines) {
  Backlog Sum;
  for (const TargetState *Target : Engines.serving()) {
    Sum.PrefillTokens += Target->Load.prefillTotal();
    Sum.DecodeTokens += Target->Load.DecodeTokensWaiting;
  }
  return Sum;
}

/// Returns a change that restores the minimum of engines for a kind of work
/// after engines were lost. It requires no predicted gain, because this work is
/// underserved or not served at all.
std::optional<TargetOrder> restoreMinimum(const Snapshot &View,
                                          const Fleet &Engines) {
  const record::RoleSplit &MinimumCounts = View.Spec.Roles;
  const RoleCounts Final =
      sum(Engines.roleCounts(), Engines.rolesAfterChange());
  const auto ChangeTo = [&](Role To) -> std::optional<TargetOrder> {
    for (const Role From : EngineRoles)
      if (const auto Change =
              From == To ? std::nullopt : cheapestChange(Engines, From, To))
        return orderFor(*Change, "too few engines for " +
                                     std::string(route::roleName(To)) +
                                     " work");
    return std::nullopt;
  };
  std::optional<TargetOrder> Order;
  if (Final.Prefill + Final.Mixed < std::max(1u, MinimumCounts.Prefill))
    Order = ChangeTo(Role::Prefill);
  if (!Order && Final.Decode + Final.Mixed < std::max(1u, MinimumCounts.Decode))
    Order = ChangeTo(Role::Decode);
  if (!Order && Final.Mixed < MinimumCounts.Mixed)
    Order = ChangeTo(Role::Mixed);
  return Order;
}

struct RoleChooser {
  const Snapshot &View;
  const Fleet &Engines;
  const PendingOrders &Orders;
  const LearnedState &Learned;
  BootTime Time;

  std::optional<TargetOrder> operator()(const StaticPlan &) const {
    return changeTowards({View.Spec.Roles.Prefill, View.Spec.Roles.Decode,
                          View.Spec.Roles.Mixed},
                         "the record's split");
  }

  std::optional<TargetOrder> operator()(const ThresholdPlan &) const {
    const RoleSpeeds Speed = Learned.Speeds.speeds();
    const double Prefill = View.Offered.PrefillTokensPerSecond /
                           Speed.Prefill.PrefillTokensPerSecond;
    const double Decode =
        View.Offered.DecodeTokensPerSecond / Speed.Decode.DecodeTokensPerSecond;
    if (Prefill + Decode <= 0)
      return std::nullopt;
    const unsigned Total =
        sum(Engines.roleCounts(), Engines.rolesAfterChange()).total();
    const auto ForPrefill = static_cast<unsigned>(
        std::lround(Total * Prefill / (Prefill + Decode)));
    return changeTowards({ForPrefill, Total - ForPrefill, 0},
                         "the offered ratio");
  }

  std::optional<TargetOrder> operator()(const FigliftPlan &Settings) const {
    const FluidSettings Model{Learned.Speeds.speeds(), Settings.MaximumWait};
    const record::PlannerWeights &Weights = View.Spec.Weights;
    const double Seconds =
        std::chrono::duration<double>(Weights.Horizon).count();
    const Forecast ExpectedDemand =
        Settings.LearnsPersistence
            ? Learned.Mix.forecast(View.Offered, Weights.Horizon, Time)
            : Forecast{View.Offered, View.Offered, Weights.Horizon,
                       Weights.Horizon};
    const RoleCounts Now = Engines.roleCounts();
    const RoleCounts Final = sum(Now, Engines.rolesAfterChange());
    const auto Value = [&](const Scenario &Candidate) {
      return predictedValue(Model, Candidate, ExpectedDemand, backlog(Engines),
                            Weights.Horizon);
    };
    const auto Duration = Orders.roleChangeDuration();
    const double Current = Value({Now, Now, Final, {}, Duration});
    double BestGain = 0;
    std::optional<RoleChange> Best;
    for (const Role From : EngineRoles)
      for (const Role To : EngineRoles) {
        const auto Candidate =
            From == To ? std::nullopt : cheapestChange(Engines, From, To);
        if (!Candidate)
          continue;
        Scenario Changed{Now, Now, Final, {}, Duration};
        --Changed.DuringChange.count(From);
        --Changed.AfterChange.count(From);
        ++Changed.AfterChange.count(To);
        const double ImmediateValue = Value(Changed);
        // Skip a change that is worth more in the next period than now.
        Changed.ChangeStart = ExpectedDemand.CurrentDuration;
        if (ExpectedDemand.CurrentDuration < Weights.Horizon &&
            Value(Changed) > ImmediateValue)
          continue;
        const double Gain = (ImmediateValue - Current) / Seconds;
        if (Gain <= BestGain)
          continue;
        BestGain = Gain;
        Best = Candidate;
      }
    if (!Best || BestGain * Weights.Goodput <= Weights.RoleChangeCost)
      return std::nullopt;
    return orderFor(*Best, "gains " + std::to_string(std::lround(BestGain)) +
                               " useful tokens/s over the horizon");
  }

private:
  /// Returns one change that brings the engines closer to \p TargetCounts.
  std::optional<TargetOrder> changeTowards(RoleCounts TargetCounts,
                                           const char *Reason) const {
    RoleCounts Final = sum(Engines.roleCounts(), Engines.rolesAfterChange());
    for (const Role To : EngineRoles)
      for (const Role From : EngineRoles) {
        if (From == To || Final.count(To) >= TargetCounts.count(To) ||
            Final.count(From) <= TargetCounts.count(From))
          continue;
        if (const auto Change = cheapestChange(Engines, From, To))
          return orderFor(*Change, Reason);
      }
    return std::nullopt;
  }
};

} // namespace

std::optional<TargetOrder> planRole(const PlanPolicy &Policy,
                                    const Snapshot &View, const Fleet &Engines,
                                    const PendingOrders &Orders,
                                    const LearnedState &Learned, BootTime Now) {
  if (auto Order = restoreMinimum(View, Engines))
    return Order;
  return std::visit(RoleChooser{View, Engines, Orders, Learned, Now}, Policy);
}

} // namespace figlift::plan
