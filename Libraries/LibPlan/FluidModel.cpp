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

namespace {

using Seconds = std::chrono::duration<double>;

double ratio(double Part, double Whole) { return Whole > 0 ? Part / Whole : 0; }

/// Two queues in a row. Each holds the work itself and what belongs to the
/// same requests in the other queue, so that a change of the mix does not
/// change requests that wait already.
class Queues {
public:
  Queues(const FluidSettings &Settings, const Backlog &Waiting,
         const Demand &Offered)
      : m_Settings(Settings), m_PromptWeight(Settings.DecodeTokensPerSecond /
                                             Settings.PrefillTokensPerSecond),
        m_Prefill(Waiting.PrefillTokens), m_Decode(Waiting.DecodeTokens),
        m_DecodeToCome(Waiting.PrefillTokens *
                       ratio(Offered.DecodeTokensPerSecond,
                             Offered.PrefillTokensPerSecond)),
        m_PromptsDone(Waiting.DecodeTokens *
                      ratio(Offered.PrefillTokensPerSecond,
                            Offered.DecodeTokensPerSecond)) {}

  /// Value of \p Time seconds.
  double advance(const Split &Engines, const Demand &Offered, double Time) {
    m_Prefill += Offered.PrefillTokensPerSecond * Time;
    m_DecodeToCome += Offered.DecodeTokensPerSecond * Time;
    const Served Done = serve(m_Settings, Engines, {m_Prefill, m_Decode}, Time);
    const double Answered = finishDecode(Done.Decode);
    finishPrefill(Done.Prefill);
    const double Patience = Seconds(m_Settings.Patience).count();
    const double Waited = m_Decode + m_Prefill * m_PromptWeight;
    leave(Offered, Patience);
    return Answered - Waited * std::min(1.0, Time / Patience);
  }

private:
  double finishDecode(double Tokens) {
    const double Part = ratio(Tokens, m_Decode);
    const double Prompts = m_PromptsDone * Part;
    m_Decode -= Tokens;
    m_PromptsDone -= Prompts;
    return Tokens + Prompts * m_PromptWeight;
  }

  void finishPrefill(double Tokens) {
    const double Part = ratio(Tokens, m_Prefill);
    const double Follows = m_DecodeToCome * Part;
    m_Prefill -= Tokens;
    m_DecodeToCome -= Follows;
    m_Decode += Follows;
    m_PromptsDone += Tokens;
  }

  /// What has waited for longer than anybody wants it.
  void leave(const Demand &Offered, double Patience) {
    const double Prefill = std::min(
        1.0, ratio(Offered.PrefillTokensPerSecond * Patience, m_Prefill));
    const double Decode = std::min(
        1.0, ratio(Offered.DecodeTokensPerSecond * Patience, m_Decode));
    m_Prefill *= Prefill;
    m_DecodeToCome *= Prefill;
    m_Decode *= Decode;
    m_PromptsDone *= Decode;
  }

  const FluidSettings &m_Settings;
  double m_PromptWeight;
  double m_Prefill;
  double m_Decode;
  /// Output tokens of the prompts that wait.
  double m_DecodeToCome;
  /// Prompt tokens of the answers that are being decoded.
  double m_PromptsDone;
};

} // namespace

double predictedValue(const FluidSettings &Settings, const Scenario &Engines,
                      const Forecast &Expected, const Backlog &Waiting,
                      std::chrono::milliseconds Horizon) {
  const double Step = Seconds(Horizon).count() / Steps;
  const double Change = Seconds(Engines.Change).count();
  const double Persists = Seconds(Expected.Persists).count();
  Queues Work(Settings, Waiting, Expected.Current);
  double Value = 0;
  for (int I = 0; I < Steps; ++I) {
    const double Now = I * Step;
    Value += Work.advance(Now < Change ? Engines.Before : Engines.After,
                          Now < Persists ? Expected.Current : Expected.Average,
                          Step);
  }
  return Value;
}

} // namespace figlift::plan
