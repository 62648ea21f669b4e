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

/// Engines of one role within a step: their time goes to one kind of work and
/// what is left of it to the other.
class EngineTime {
public:
  EngineTime(const Speeds &Own, double Time) : m_Own(Own), m_Left(Time) {}

  /// Time for all of \p Waiting.
  double needed(const Backlog &Waiting) const {
    return Waiting.PrefillTokens / m_Own.PrefillTokensPerSecond +
           Waiting.DecodeTokens / m_Own.DecodeTokensPerSecond;
  }
  void prefill(Backlog &Waiting) {
    take(Waiting.PrefillTokens, m_Own.PrefillTokensPerSecond);
  }
  void decode(Backlog &Waiting) {
    take(Waiting.DecodeTokens, m_Own.DecodeTokensPerSecond);
  }
  /// Both, in proportion to what waits.
  void both(Backlog &Waiting) {
    const double Needed = needed(Waiting);
    const double Part = Needed > m_Left ? m_Left / Needed : 1.0;
    m_Left = std::max(0.0, m_Left - Needed);
    Waiting.PrefillTokens *= 1 - Part;
    Waiting.DecodeTokens *= 1 - Part;
  }

private:
  void take(double &Tokens, double Speed) {
    const double Done = std::min(Tokens, m_Left * Speed);
    Tokens -= Done;
    m_Left -= Done / Speed;
  }

  Speeds m_Own;
  double m_Left;
};

/// What \p Engines get done in \p Time seconds of the work that waits: each
/// role its own work first, mixed engines the rest, then the leaning ones
/// help out.
Served serve(const FluidSettings &Settings, const Split &Engines,
             const Backlog &Waiting, double Time) {
  const RoleSpeeds &Speed = Settings.Engines;
  EngineTime Prefill(Speed.Prefill, Engines.Prefill * Time);
  EngineTime Decode(Speed.Decode, Engines.Decode * Time);
  EngineTime Mixed(Speed.Mixed, Engines.Mixed * Time);
  Backlog Left = Waiting;
  Prefill.prefill(Left);
  Decode.decode(Left);
  Mixed.both(Left);
  Prefill.decode(Left);
  Decode.prefill(Left);
  return {Waiting.PrefillTokens - Left.PrefillTokens,
          Waiting.DecodeTokens - Left.DecodeTokens};
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
      : m_Settings(Settings),
        m_PromptWeight(Settings.Engines.Mixed.DecodeTokensPerSecond /
                       Settings.Engines.Mixed.PrefillTokensPerSecond),
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

const Split &Scenario::at(Seconds Time) const {
  if (Time < Start)
    return First;
  return Time < Start + Change ? During : After;
}

const Demand &Forecast::at(Seconds Time) const {
  if (Time < Persists || PhaseLength.count() == 0)
    return Current;
  const auto Turn = static_cast<int>((Time - Persists) / Seconds(PhaseLength));
  return Turn % 2 == 0 ? Next : Current;
}

unsigned Split::count(Role Which) const {
  return const_cast<Split *>(this)->count(Which);
}

double predictedValue(const FluidSettings &Settings, const Scenario &Engines,
                      const Forecast &Expected, const Backlog &Waiting,
                      std::chrono::milliseconds Horizon) {
  const double Step = Seconds(Horizon).count() / Steps;
  Queues Work(Settings, Waiting, Expected.Current);
  double Value = 0;
  for (int I = 0; I < Steps; ++I) {
    const double Now = I * Step;
    Value +=
        Work.advance(Engines.at(Seconds(Now)), Expected.at(Seconds(Now)), Step);
  }
  return Value;
}

} // namespace figlift::plan
