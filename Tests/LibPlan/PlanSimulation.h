//===- PlanSimulation.h - Small simulation of a shard -----------*- C++ -*-===//
//
// Models engines that run prefill and decode according to their roles, one
// queue for each phase, role changes during which an engine does not serve for
// some seconds, and demand that alternates between two mixes. A step is 100 ms.
// It is not a cluster simulator.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/DemandEstimator.h"
#include "LibPlan/Planner.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace figlift::plan::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PlanSimulationSettings {
  unsigned Engines = 8;
  milliseconds ChangeDuration{5000};
  milliseconds Length{600000};
  /// Returns the demand at a time since the start.
  std::function<Demand(milliseconds)> Offered;
  record::BackEnd Spec;
};

struct PlanSimulationResult {
  unsigned Changes = 0;
  /// Fraction of the offered work that was answered within 10 s.
  double Answered = 0;
};

class PlanSimulation {
public:
  PlanSimulation(PlanPolicy Policy, PlanSimulationSettings Settings)
      : m_Settings(std::move(Settings)),
        m_Planner({std::move(Policy), {}, {}}) {
    for (unsigned I = 0; I < m_Settings.Engines; ++I)
      m_Engines.push_back({"vm-" + std::to_string(I),
                           I % 2 ? Role::Decode : Role::Prefill,
                           {},
                           {}});
  }

  PlanSimulationResult run() {
    constexpr milliseconds Step{100};
    for (milliseconds Now{0}; Now < m_Settings.Length; Now += Step) {
      advance(Now, Step);
      if (Now % seconds(1) == milliseconds(0))
        plan(Now);
    }
    m_Result.Answered = m_Answered / m_Offered;
    return m_Result;
  }

private:
  struct Engine {
    std::string Id;
    Role CurrentRole;
    /// The new role, while a change is in progress.
    std::optional<Role> NewRole;
    milliseconds ChangeEnd;
  };

  static Speeds speeds(Role EngineRole) {
    if (EngineRole == Role::Prefill)
      return {PrefillRate * 1.6, DecodeRate / 3};
    if (EngineRole == Role::Decode)
      return {PrefillRate / 3, DecodeRate * 1.6};
    return {PrefillRate, DecodeRate};
  }

  static BootTime toBootTime(milliseconds Now) {
    return BootTime(Now + seconds(1));
  }

  void advance(milliseconds Now, milliseconds Step) {
    const double Time = std::chrono::duration<double>(Step).count();
    const Demand Offered = m_Settings.Offered(Now);
    m_OfferedPrefill += Offered.PrefillTokensPerSecond * Time;
    m_OfferedDecode += Offered.DecodeTokensPerSecond * Time;
    m_Prefill += Offered.PrefillTokensPerSecond * Time;
    m_DecodeAfterPrefill += Offered.DecodeTokensPerSecond * Time;
    m_Offered += Offered.DecodeTokensPerSecond * Time / DecodeRate +
                 Offered.PrefillTokensPerSecond * Time / PrefillRate;
    double Prefilled = 0, Decoded = 0;
    for (Engine &Simulated : m_Engines) {
      if (Simulated.NewRole && Now >= Simulated.ChangeEnd)
        finish(Simulated, Now);
      if (!Simulated.NewRole)
        work(Simulated.CurrentRole, Time, Prefilled, Decoded);
    }
    account(Prefilled, Decoded);
    dropExpired(Offered);
  }

  /// Runs one engine: the work of its role first; a mixed engine divides its
  /// time.
  void work(Role EngineRole, double Time, double &Prefilled,
            double &Decoded) const {
    const Speeds EngineSpeeds = speeds(EngineRole);
    const auto Prefill = [&](double TimeFraction) {
      const double Tokens =
          std::min(m_Prefill - Prefilled,
                   Time * TimeFraction * EngineSpeeds.PrefillTokensPerSecond);
      Prefilled += Tokens;
      Time -= Tokens / EngineSpeeds.PrefillTokensPerSecond;
    };
    const auto Decode = [&] {
      const double Tokens = std::min(m_Decode - Decoded,
                                     Time * EngineSpeeds.DecodeTokensPerSecond);
      Decoded += Tokens;
      Time -= Tokens / EngineSpeeds.DecodeTokensPerSecond;
    };
    if (EngineRole != Role::Decode)
      Prefill(EngineRole == Role::Mixed ? 0.5 : 1.0);
    Decode();
    Prefill(1.0);
  }

  void account(double Prefilled, double Decoded) {
    const double FollowingDecode =
        m_Prefill > 0 ? m_DecodeAfterPrefill * Prefilled / m_Prefill : 0;
    const double PromptTokens =
        m_Decode > 0 ? m_PromptsInDecode * Decoded / m_Decode : 0;
    m_Prefill -= Prefilled;
    m_DecodeAfterPrefill -= FollowingDecode;
    m_Decode += FollowingDecode - Decoded;
    m_PromptsInDecode += Prefilled - PromptTokens;
    // Count engine time, so that both kinds of work have the same weight.
    m_Answered += Decoded / DecodeRate + PromptTokens / PrefillRate;
  }

  /// Drops work that has waited for more than 10 s.
  void dropExpired(const Demand &Offered) {
    const double PrefillBound = Offered.PrefillTokensPerSecond * 10;
    const double DecodeBound = Offered.DecodeTokensPerSecond * 10;
    if (m_Prefill > PrefillBound) {
      m_DecodeAfterPrefill *= PrefillBound / m_Prefill;
      m_Prefill = PrefillBound;
    }
    if (m_Decode > DecodeBound) {
      m_PromptsInDecode *= DecodeBound / m_Decode;
      m_Decode = DecodeBound;
    }
  }

  void finish(Engine &Simulated, milliseconds Now) {
    Simulated.CurrentRole = *Simulated.NewRole;
    Simulated.NewRole.reset();
    m_Planner.step(OrderEnded{Simulated.Id, ResultCode::Success, {}},
                   toBootTime(Now) - milliseconds(1));
  }

  void plan(milliseconds Now) {
    m_Estimator.observe("all", static_cast<uint64_t>(m_OfferedPrefill),
                        static_cast<uint64_t>(m_OfferedDecode),
                        toBootTime(Now));
    Snapshot View{m_Settings.Spec, {}, m_Estimator.demand(toBootTime(Now))};
    for (const Engine &Simulated : m_Engines) {
      TargetState State;
      State.Id = Simulated.Id;
      State.CurrentRole = Simulated.CurrentRole;
      State.Live = true;
      State.Accepting = !Simulated.NewRole;
      State.OrderInProgress = Simulated.NewRole.has_value();
      State.Load.PrefillTokensPerSecond =
          speeds(Simulated.CurrentRole).PrefillTokensPerSecond;
      State.Load.DecodeTokensPerSecond =
          speeds(Simulated.CurrentRole).DecodeTokensPerSecond;
      State.Load.PrefillTokensWaiting[1] =
          static_cast<uint64_t>(m_Prefill / m_Engines.size());
      State.Load.DecodeTokensWaiting =
          static_cast<uint64_t>(m_Decode / m_Engines.size());
      State.ReportedAt = toBootTime(Now);
      View.Targets.push_back(std::move(State));
    }
    for (const TargetOrder &Order :
         m_Planner.step(Tick{View}, toBootTime(Now))) {
      ++m_Result.Changes;
      const auto Found =
          std::ranges::find(m_Engines, Order.Target, &Engine::Id);
      Found->NewRole = std::get<SetRole>(Order.RequestedChange).NewRole;
      Found->ChangeEnd = Now + m_Settings.ChangeDuration;
    }
  }

  static constexpr double PrefillRate = 8000;
  static constexpr double DecodeRate = 1000;

  PlanSimulationSettings m_Settings;
  Planner m_Planner;
  DemandEstimator m_Estimator;
  std::vector<Engine> m_Engines;
  double m_Prefill = 0, m_Decode = 0;
  /// Output tokens of the waiting prompts, and prompt tokens of the requests in
  /// decode.
  double m_DecodeAfterPrefill = 0, m_PromptsInDecode = 0;
  double m_OfferedPrefill = 0, m_OfferedDecode = 0;
  double m_Answered = 0, m_Offered = 0;
  PlanSimulationResult m_Result;
};

/// Returns the demand that uses the fraction \p Load of the time of \p Engines,
/// and the fraction \p PrefillShare of that for prefill.
inline Demand mix(double Engines, double Load, double PrefillShare) {
  return {Engines * Load * PrefillShare * 8000,
          Engines * Load * (1 - PrefillShare) * 1000};
}

/// Returns a square wave between two shares of prefill.
inline std::function<Demand(milliseconds)> swing(double Engines, double Load,
                                                 double Low, double High,
                                                 milliseconds HalfPeriod) {
  return [=](milliseconds Now) {
    return mix(Engines, Load, (Now / HalfPeriod) % 2 ? High : Low);
  };
}

} // namespace figlift::plan::test
