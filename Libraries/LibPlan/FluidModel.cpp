//===- FluidModel.cpp - Predicted value of a split of roles -----*- C++ -*-===//
//
// Fixed-step integration of two queues in a row.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/FluidModel.h"

#include <algorithm>

namespace figlift::plan {

namespace {

constexpr int Steps = 120;

struct Served {
  double Prefill;
  double Decode;
};

/// What \p Engines get done in \p Time seconds of the work that waits.
Served serve(const FluidSettings &Settings, const Split &Engines,
             const Backlog &Waiting, double Time) {
  const double Own = 1 - Settings.OtherWorkShare;
  const double Other = Settings.OtherWorkShare;
  const double PrefillTime =
      Time * (Engines.Prefill * Own + Engines.Decode * Other);
  const double DecodeTime =
      Time * (Engines.Decode * Own + Engines.Prefill * Other);
  const double FreeTime = Time * Engines.Mixed * Settings.MixedEfficiency;
  const double PrefillNeed =
      Waiting.PrefillTokens / Settings.PrefillTokensPerSecond;
  const double DecodeNeed =
      Waiting.DecodeTokens / Settings.DecodeTokensPerSecond;
  const double PrefillRest = std::max(0.0, PrefillNeed - PrefillTime);
  const double DecodeRest = std::max(0.0, DecodeNeed - DecodeTime);
  const double Rest = PrefillRest + DecodeRest;
  const double Granted = Rest > FreeTime && Rest > 0 ? FreeTime / Rest : 1.0;
  return {(std::min(PrefillNeed, PrefillTime) + PrefillRest * Granted) *
              Settings.PrefillTokensPerSecond,
          (std::min(DecodeNeed, DecodeTime) + DecodeRest * Granted) *
              Settings.DecodeTokensPerSecond};
}

} // namespace

unsigned &Split::count(Role Which) {
  if (Which == Role::Prefill)
    return Prefill;
  return Which == Role::Decode ? Decode : Mixed;
}

double predictedValue(const FluidSettings &Settings, const Scenario &Engines,
                      const Demand &Offered, Backlog Waiting,
                      std::chrono::milliseconds Horizon) {
  using Seconds = std::chrono::duration<double>;
  const double Step = Seconds(Horizon).count() / Steps;
  const double Patience = Seconds(Settings.Patience).count();
  const double Change = Seconds(Engines.Change).count();
  const double InPrefill = std::max(Offered.PrefillTokensPerSecond, 1e-9);
  const double DecodeEach = Offered.DecodeTokensPerSecond / InPrefill;
  double Value = 0;
  for (int I = 0; I < Steps; ++I) {
    const Split &Now = I * Step < Change ? Engines.Before : Engines.After;
    Waiting.PrefillTokens += InPrefill * Step;
    const Served Done = serve(Settings, Now, Waiting, Step);
    Waiting.PrefillTokens -= Done.Prefill;
    Waiting.DecodeTokens += Done.Prefill * DecodeEach - Done.Decode;
    // Work is useful once it is answered: a decoded token carries its part of
    // the prompt. Without any decode work, the prompt is all there is.
    Value += DecodeEach > 0 ? Done.Decode * (1 + 1 / DecodeEach) : Done.Prefill;
    const double Lost = std::min(1.0, Step / Patience) *
                        (Waiting.PrefillTokens + Waiting.DecodeTokens);
    Value -= Lost;
    // What has waited too long leaves.
    Waiting.PrefillTokens =
        std::min(Waiting.PrefillTokens, InPrefill * Patience);
    Waiting.DecodeTokens =
        std::min(Waiting.DecodeTokens,
                 std::max(Offered.DecodeTokensPerSecond, 1.0) * Patience);
  }
  return Value;
}

} // namespace figlift::plan
