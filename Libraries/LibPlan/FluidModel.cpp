//===- FluidModel.cpp - Predicted value of a role assignment ----*- C++ -*-===//
//
// Fixed-step integration of two queues in series.
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

/// Time of the engines of one role within a step, which is spent on one kind of
/// work first and the rest on the other.
class EngineTime {
public:
  EngineTime(const Speeds &EngineSpeeds, double Time)
      : m_Speeds(EngineSpeeds), m_Remaining(Time) {}

  /// Time needed for all of \p Waiting.
  double needed(const Backlog &Waiting) const {
    return Waiting.PrefillTokens / m_Speeds.PrefillTokensPerSecond +
           Waiting.DecodeTokens / m_Speeds.DecodeTokensPerSecond;
  }
  void prefill(Backlog &Waiting) {
    consume(Waiting.PrefillTokens, m_Speeds.PrefillTokensPerSecond);
  }
  void decode(Backlog &Waiting) {
    consume(Waiting.DecodeTokens, m_Speeds.DecodeTokensPerSecond);
  }
  /// Spends the time on both kinds of work, in proportion to their backlogs.
  void serveBoth(Backlog &Waiting) {
    const double Needed = needed(Waiting);
    const double Part = Needed > m_Remaining ? m_Remaining / Needed : 1.0;
    m_Remaining = std::max(0.0, m_Remaining - Needed);
    Waiting.PrefillTokens *= 1 - Part;
    Waiting.DecodeTokens *= 1 - Part;
  }

private:
  void consume(double &Tokens, double Speed) {
    const double Completed = std::min(Tokens, m_Remaining * Speed);
    Tokens -= Completed;
    m_Remaining -= Completed / Speed;
  }

  Speeds m_Speeds;
  double m_Remaining;
};

/// Returns the work that \p Engines complete in \p Time seconds. Prefill and
/// decode engines do the work of their role first, then mixed engines do the
/// rest, and finally prefill and decode engines do the remaining other work.
Served serve(const FluidSettings &Settings, const RoleCounts &Engines,
             const Backlog &Waiting, double Time) {
  const RoleSpeeds &Speed = Settings.Engines;
  EngineTime Prefill(Speed.Prefill, Engines.Prefill * Time);
  EngineTime Decode(Speed.Decode, Engines.Decode * Time);
  EngineTime Mixed(Speed.Mixed, Engines.Mixed * Time);
  Backlog Remaining = Waiting;
  Prefill.prefill(Remaining);
  Decode.decode(Remaining);
  Mixed.serveBoth(Remaining);
  Prefill.decode(Remaining);
  Decode.prefill(Remaining);
  return {Waiting.PrefillTokens - Remaining.PrefillTokens,
          Waiting.DecodeTokens - Remaining.DecodeTokens};
}

} // namespace

unsigned &RoleCounts::count(Role EngineRole) {
  if (EngineRole == Role::Prefill)
    return Prefill;
  return EngineRole == Role::Decode ? Decode : Mixed;
}

namespace {

using Seconds = std::chrono::duration<double>;

double ratio(double Part, double Total) { return Total > 0 ? Part / Total : 0; }

/// Two queues in series. Each tracks its own work and the work of the same
/// requests in the other stage, so that a change of the mix of prefill and
/// decode does not affect requests that already wait.
class Queues {
public:
  Queues(const FluidSettings &Settings, const Backlog &Waiting,
         const Demand &Offered)
      : m_Settings(Settings),
        m_PromptWeight(Settings.Engines.Mixed.DecodeTokensPerSecond /
                       Settings.Engines.Mixed.PrefillTokensPerSecond),
        m_Prefill(Waiting.PrefillTokens), m_Decode(Waiting.DecodeTokens),
        m_DecodeAfterPrefill(Waiting.PrefillTokens *
                             ratio(Offered.DecodeTokensPerSecond,
                                   Offered.PrefillTokensPerSecond)),
        m_PromptsInDecode(Waiting.DecodeTokens *
                          ratio(Offered.PrefillTokensPerSecond,
                                Offered.DecodeTokensPerSecond)) {}

  /// Simulates \p Time seconds and returns their value.
  double advance(const RoleCounts &Engines, const Demand &Offered,
                 double Time) {
    m_Prefill += Offered.PrefillTokensPerSecond * Time;
    m_DecodeAfterPrefill += Offered.DecodeTokensPerSecond * Time;
    const Served Completed =
        serve(m_Settings, Engines, {m_Prefill, m_Decode}, Time);
    const double Answered = finishDecode(Completed.Decode);
    finishPrefill(Completed.Prefill);
    const double MaximumWait = Seconds(m_Settings.MaximumWait).count();
    const double WaitingTokens = m_Decode + m_Prefill * m_PromptWeight;
    dropExpired(Offered, MaximumWait);
    return Answered - WaitingTokens * std::min(1.0, Time / MaximumWait);
  }

private:
  double finishDecode(double Tokens) {
    const double Part = ratio(Tokens, m_Decode);
    const double Prompts = m_PromptsInDecode * Part;
    m_Decode -= Tokens;
    m_PromptsInDecode -= Prompts;
    return Tokens + Prompts * m_PromptWeight;
  }

  void finishPrefill(double Tokens) {
    const double Part = ratio(Tokens, m_Prefill);
    const double FollowingDecode = m_DecodeAfterPrefill * Part;
    m_Prefill -= Tokens;
    m_DecodeAfterPrefill -= FollowingDecode;
    m_Decode += FollowingDecode;
    m_PromptsInDecode += Tokens;
  }

  /// Drops the work that has waited for too long.
  void dropExpired(const Demand &Offered, double MaximumWait) {
    const double Prefill = std::min(
        1.0, ratio(Offered.PrefillTokensPerSecond * MaximumWait, m_Prefill));
    const double Decode = std::min(
        1.0, ratio(Offered.DecodeTokensPerSecond * MaximumWait, m_Decode));
    m_Prefill *= Prefill;
    m_DecodeAfterPrefill *= Prefill;
    m_Decode *= Decode;
    m_PromptsInDecode *= Decode;
  }

  const FluidSettings &m_Settings;
  double m_PromptWeight;
  double m_Prefill;
  double m_Decode;
  /// Output tokens of the waiting prompts.
  double m_DecodeAfterPrefill;
  /// Prompt tokens of the requests in decode.
  double m_PromptsInDecode;
};

} // namespace

const RoleCounts &Scenario::at(Seconds Time) const {
  if (Time < ChangeStart)
    return BeforeChange;
  return Time < ChangeStart + ChangeDuration ? DuringChange : AfterChange;
}

const Demand &Forecast::at(Seconds Time) const {
  if (Time < CurrentDuration || PhaseLength.count() == 0)
    return Current;
  const auto Phase =
      static_cast<int>((Time - CurrentDuration) / Seconds(PhaseLength));
  return Phase % 2 == 0 ? Next : Current;
}

unsigned RoleCounts::count(Role EngineRole) const {
  return const_cast<RoleCounts *>(this)->count(EngineRole);
}

double predictedValue(const FluidSettings &Settings, const Scenario &Engines,
                      const Forecast &ExpectedDemand, const Backlog &Waiting,
                      std::chrono::milliseconds Horizon) {
  const double Step = Seconds(Horizon).count() / Steps;
  Queues Work(Settings, Waiting, ExpectedDemand.Current);
  double Value = 0;
  for (int I = 0; I < Steps; ++I) {
    const double Now = I * Step;
    Value += Work.advance(Engines.at(Seconds(Now)),
                          ExpectedDemand.at(Seconds(Now)), Step);
  }
  return Value;
}

} // namespace figlift::plan
