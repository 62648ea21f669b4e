//===- RolePlanner.cpp - Which engine should change its role ----*- C++ -*-===//
//
// The three arms as a visitor.
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

struct Move {
  const TargetState *Target;
  Role NewRole;
};

/// The engine of \p From with the least work to drain, if one may change.
std::optional<Move> cheapestMove(const Fleet &Engines, Role From, Role To) {
  const TargetState *Best = nullptr;
  const auto Work = [](const TargetState &Target) {
    return std::tuple(Target.Load.DecodeTokensWaiting +
                          Target.Load.prefillTotal(),
                      std::string_view(Target.Id));
  };
  for (const TargetState *Target : Engines.serving())
    if (Target->CurrentRole == From && Engines.mayBecome(*Target, To) &&
        (!Best || Work(*Target) < Work(*Best)))
      Best = Target;
  if (!Best)
    return std::nullopt;
  return Move{Best, To};
}

GiveOrder order(const Move &Which, std::string Reason) {
  return {Which.Target->Id, SetRole{Which.NewRole}, std::move(Reason)};
}

Split sum(Split First, const Split &Second) {
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

/// A change that brings a kind of work up to its minimum, after engines were
/// lost. It needs no gain: some work is served badly or not at all.
std::optional<GiveOrder> repairMinimum(const Snapshot &Seen,
                                       const Fleet &Engines) {
  const record::RoleSplit &Minimum = Seen.Spec.Roles;
  const Split Final = sum(Engines.split(), Engines.returning());
  const auto MoveTo = [&](Role To) -> std::optional<GiveOrder> {
    for (const Role From : EngineRoles)
      if (const auto Which =
              From == To ? std::nullopt : cheapestMove(Engines, From, To))
        return order(*Which, "too few engines for " +
                                 std::string(route::roleName(To)) + " work");
    return std::nullopt;
  };
  std::optional<GiveOrder> Repair;
  if (Final.Prefill + Final.Mixed < std::max(1u, Minimum.Prefill))
    Repair = MoveTo(Role::Prefill);
  if (!Repair && Final.Decode + Final.Mixed < std::max(1u, Minimum.Decode))
    Repair = MoveTo(Role::Decode);
  if (!Repair && Final.Mixed < Minimum.Mixed)
    Repair = MoveTo(Role::Mixed);
  return Repair;
}

struct RoleChooser {
  const Snapshot &Seen;
  const Fleet &Engines;
  const OrdersUnderWay &Orders;
  const Knowledge &Known;
  BootTime Time;

  std::optional<GiveOrder> operator()(const StaticPlan &) const {
    return towards({Seen.Spec.Roles.Prefill, Seen.Spec.Roles.Decode,
                    Seen.Spec.Roles.Mixed},
                   "the record's split");
  }

  std::optional<GiveOrder> operator()(const ThresholdPlan &) const {
    const RoleSpeeds Speed = Known.Speeds.speeds();
    const double Prefill = Seen.Offered.PrefillTokensPerSecond /
                           Speed.Prefill.PrefillTokensPerSecond;
    const double Decode =
        Seen.Offered.DecodeTokensPerSecond / Speed.Decode.DecodeTokensPerSecond;
    if (Prefill + Decode <= 0)
      return std::nullopt;
    const unsigned Total = sum(Engines.split(), Engines.returning()).total();
    const auto ForPrefill = static_cast<unsigned>(
        std::lround(Total * Prefill / (Prefill + Decode)));
    return towards({ForPrefill, Total - ForPrefill, 0}, "the offered ratio");
  }

  std::optional<GiveOrder> operator()(const FigliftPlan &Settings) const {
    const FluidSettings Model{Known.Speeds.speeds(), Settings.Patience};
    const record::PlannerWeights &Weights = Seen.Spec.Weights;
    const double Seconds =
        std::chrono::duration<double>(Weights.Horizon).count();
    const Forecast Expected =
        Settings.LearnsPersistence
            ? Known.Mix.forecast(Seen.Offered, Weights.Horizon, Time)
            : Forecast{Seen.Offered, Seen.Offered, Weights.Horizon,
                       Weights.Horizon};
    const Split Now = Engines.split();
    const Split Final = sum(Now, Engines.returning());
    const auto Value = [&](const Scenario &Which) {
      return predictedValue(Model, Which, Expected, backlog(Engines),
                            Weights.Horizon);
    };
    const auto Duration = Orders.roleChangeDuration();
    const double Current = Value({Now, Now, Final, {}, Duration});
    double BestGain = 0;
    std::optional<Move> Best;
    for (const Role From : EngineRoles)
      for (const Role To : EngineRoles) {
        const auto Candidate =
            From == To ? std::nullopt : cheapestMove(Engines, From, To);
        if (!Candidate)
          continue;
        Scenario Changed{Now, Now, Final, {}, Duration};
        --Changed.During.count(From);
        --Changed.After.count(From);
        ++Changed.After.count(To);
        const double AtOnce = Value(Changed);
        // A change that the next phase wants is not made in this one.
        Changed.Start = Expected.Persists;
        if (Expected.Persists < Weights.Horizon && Value(Changed) > AtOnce)
          continue;
        const double Gain = (AtOnce - Current) / Seconds;
        if (Gain <= BestGain)
          continue;
        BestGain = Gain;
        Best = Candidate;
      }
    if (!Best || BestGain * Weights.Goodput <= Weights.RoleChangeCost)
      return std::nullopt;
    return order(*Best, "gains " + std::to_string(std::lround(BestGain)) +
                            " useful tokens/s over the horizon");
  }

private:
  /// One change that brings the engines nearer to \p Wanted.
  std::optional<GiveOrder> towards(Split Wanted, const char *Reason) const {
    Split Final = sum(Engines.split(), Engines.returning());
    for (const Role To : EngineRoles)
      for (const Role From : EngineRoles) {
        if (From == To || Final.count(To) >= Wanted.count(To) ||
            Final.count(From) <= Wanted.count(From))
          continue;
        if (const auto Which = cheapestMove(Engines, From, To))
          return order(*Which, Reason);
      }
    return std::nullopt;
  }
};

} // namespace

std::optional<GiveOrder> planRole(const PlanPolicy &Policy,
                                  const Snapshot &Seen, const Fleet &Engines,
                                  const OrdersUnderWay &Orders,
                                  const Knowledge &Known, BootTime Now) {
  if (auto Repair = repairMinimum(Seen, Engines))
    return Repair;
  return std::visit(RoleChooser{Seen, Engines, Orders, Known, Now}, Policy);
}

} // namespace figlift::plan
