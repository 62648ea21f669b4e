//===- PlanTrial.h - Small deterministic shard under a swing ----*- C++ -*-===//
//
// Engines that do prefill and decode by their roles, one queue of each kind,
// and role changes that take an engine away for seconds. Demand swings between
// two mixes. A step is 100 ms; no cluster simulator.
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

struct PlanTrialSettings {
  unsigned Engines = 8;
  milliseconds ChangeDuration{5000};
  milliseconds Length{600000};
  /// Demand at a time since the start.
  std::function<Demand(milliseconds)> Offered;
  record::BackEnd Spec;
};

struct PlanTrialResult {
  unsigned Changes = 0;
  /// Part of the offered work that was answered within ten seconds.
  double Answered = 0;
};

class PlanTrial {
public:
  PlanTrial(PlanPolicy Policy, PlanTrialSettings Settings)
      : m_Settings(std::move(Settings)),
        m_Planner({std::move(Policy), {}, {}}) {
    for (unsigned I = 0; I < m_Settings.Engines; ++I)
      m_Engines.push_back({"vm-" + std::to_string(I),
                           I % 2 ? Role::Decode : Role::Prefill,
                           {},
                           {}});
  }

  PlanTrialResult run() {
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
    Role Current;
    /// Set while it changes.
    std::optional<Role> Next;
    milliseconds Until;
  };

  static Speeds speeds(Role Which) {
    if (Which == Role::Prefill)
      return {PrefillRate * 1.6, DecodeRate / 3};
    if (Which == Role::Decode)
      return {PrefillRate / 3, DecodeRate * 1.6};
    return {PrefillRate, DecodeRate};
  }

  static BootTime boot(milliseconds Now) { return BootTime(Now + seconds(1)); }

  void advance(milliseconds Now, milliseconds Step) {
    const double Time = std::chrono::duration<double>(Step).count();
    const Demand In = m_Settings.Offered(Now);
    m_OfferedPrefill += In.PrefillTokensPerSecond * Time;
    m_OfferedDecode += In.DecodeTokensPerSecond * Time;
    m_Prefill += In.PrefillTokensPerSecond * Time;
    m_DecodeToCome += In.DecodeTokensPerSecond * Time;
    m_Offered += In.DecodeTokensPerSecond * Time / DecodeRate +
                 In.PrefillTokensPerSecond * Time / PrefillRate;
    double Prefilled = 0, Decoded = 0;
    for (Engine &One : m_Engines) {
      if (One.Next && Now >= One.Until)
        finish(One, Now);
      if (!One.Next)
        work(One.Current, Time, Prefilled, Decoded);
    }
    account(Prefilled, Decoded);
    leave(In);
  }

  /// One engine: its own kind of work first; a mixed one shares its time.
  void work(Role Which, double Time, double &Prefilled, double &Decoded) const {
    const Speeds Own = speeds(Which);
    const auto Prefill = [&](double Part) {
      const double Tokens = std::min(m_Prefill - Prefilled,
                                     Time * Part * Own.PrefillTokensPerSecond);
      Prefilled += Tokens;
      Time -= Tokens / Own.PrefillTokensPerSecond;
    };
    const auto Decode = [&] {
      const double Tokens =
          std::min(m_Decode - Decoded, Time * Own.DecodeTokensPerSecond);
      Decoded += Tokens;
      Time -= Tokens / Own.DecodeTokensPerSecond;
    };
    if (Which != Role::Decode)
      Prefill(Which == Role::Mixed ? 0.5 : 1.0);
    Decode();
    Prefill(1.0);
  }

  void account(double Prefilled, double Decoded) {
    const double Follows =
        m_Prefill > 0 ? m_DecodeToCome * Prefilled / m_Prefill : 0;
    const double Prompts =
        m_Decode > 0 ? m_PromptsDone * Decoded / m_Decode : 0;
    m_Prefill -= Prefilled;
    m_DecodeToCome -= Follows;
    m_Decode += Follows - Decoded;
    m_PromptsDone += Prefilled - Prompts;
    // In engine time, so that both kinds of work weigh alike.
    m_Answered += Decoded / DecodeRate + Prompts / PrefillRate;
  }

  /// Callers leave after ten seconds.
  void leave(const Demand &In) {
    const double PrefillBound = In.PrefillTokensPerSecond * 10;
    const double DecodeBound = In.DecodeTokensPerSecond * 10;
    if (m_Prefill > PrefillBound) {
      m_DecodeToCome *= PrefillBound / m_Prefill;
      m_Prefill = PrefillBound;
    }
    if (m_Decode > DecodeBound) {
      m_PromptsDone *= DecodeBound / m_Decode;
      m_Decode = DecodeBound;
    }
  }

  void finish(Engine &One, milliseconds Now) {
    One.Current = *One.Next;
    One.Next.reset();
    m_Planner.step(OrderEnded{One.Id, ResultCode::Success, {}},
                   boot(Now) - milliseconds(1));
  }

  void plan(milliseconds Now) {
    m_Estimator.observe("all", static_cast<uint64_t>(m_OfferedPrefill),
                        static_cast<uint64_t>(m_OfferedDecode), boot(Now));
    Snapshot Seen{m_Settings.Spec, {}, m_Estimator.demand(boot(Now))};
    for (const Engine &One : m_Engines) {
      TargetState State;
      State.Id = One.Id;
      State.CurrentRole = One.Current;
      State.Live = true;
      State.Accepting = !One.Next;
      State.OrderInProgress = One.Next.has_value();
      State.Load.PrefillTokensPerSecond =
          speeds(One.Current).PrefillTokensPerSecond;
      State.Load.DecodeTokensPerSecond =
          speeds(One.Current).DecodeTokensPerSecond;
      State.Load.PrefillTokensWaiting[1] =
          static_cast<uint64_t>(m_Prefill / m_Engines.size());
      State.Load.DecodeTokensWaiting =
          static_cast<uint64_t>(m_Decode / m_Engines.size());
      State.ReportedAt = boot(Now);
      Seen.Targets.push_back(std::move(State));
    }
    for (const GiveOrder &Order : m_Planner.step(Tick{Seen}, boot(Now))) {
      ++m_Result.Changes;
      const auto Found =
          std::ranges::find(m_Engines, Order.Target, &Engine::Id);
      Found->Next = std::get<SetRole>(Order.What).NewRole;
      Found->Until = Now + m_Settings.ChangeDuration;
    }
  }

  static constexpr double PrefillRate = 8000;
  static constexpr double DecodeRate = 1000;

  PlanTrialSettings m_Settings;
  Planner m_Planner;
  DemandEstimator m_Estimator;
  std::vector<Engine> m_Engines;
  double m_Prefill = 0, m_Decode = 0;
  /// Output of the prompts that wait, and prompts of the answers in progress.
  double m_DecodeToCome = 0, m_PromptsDone = 0;
  double m_OfferedPrefill = 0, m_OfferedDecode = 0;
  double m_Answered = 0, m_Offered = 0;
  PlanTrialResult m_Result;
};

/// Demand that fills \p Load of \p Engines, a part \p PrefillShare of their
/// time with prefill.
inline Demand mix(double Engines, double Load, double PrefillShare) {
  return {Engines * Load * PrefillShare * 8000,
          Engines * Load * (1 - PrefillShare) * 1000};
}

/// Square wave between two shares of prefill.
inline std::function<Demand(milliseconds)> swing(double Engines, double Load,
                                                 double Low, double High,
                                                 milliseconds HalfPeriod) {
  return [=](milliseconds Now) {
    return mix(Engines, Load, (Now / HalfPeriod) % 2 ? High : Low);
  };
}

} // namespace figlift::plan::test
