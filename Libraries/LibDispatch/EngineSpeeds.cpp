//===- EngineSpeeds.cpp - Estimated decode interval of engines ------------===//
//
// Intervals as measured, else as remembered, else from prefill times by the
// mean relation between the two.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineSpeeds.h"

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

EngineSpeeds EngineSpeedEstimator::estimate(
    const std::string &Service, std::span<const Target *const> Engines,
    const StreamPaces &Paces, const FleetAverages &ReadRatios,
    Milliseconds AllowedPause, unsigned Slots, BootTime Now) {
  std::erase_if(m_Known, [&](const auto &Entry) {
    return std::none_of(Engines.begin(), Engines.end(), [&](const Target *T) {
      return T->Id == Entry.first && T->Started == Entry.second.Started;
    });
  });
  std::erase_if(m_Decoded, [&](const auto &Entry) {
    return std::none_of(Engines.begin(), Engines.end(), [&](const Target *T) {
      return T->Id == Entry.first && T->Started == Entry.second;
    });
  });
  for (const Target *Engine : Engines)
    if (Engine->EngineStage == Stage::Decode)
      m_Decoded[Engine->Id] = Engine->Started;
  EngineSpeeds Result;
  Result.Intervals = learnIntervals(Engines, Paces, Now);
  for (const Target *Engine : Engines)
    if (const auto Found = m_Known.find(Engine->Id); Found != m_Known.end())
      Result.Intervals.try_emplace(Engine->Id,
                                   Found->second.Interval * m_LoadFactor);
  addPrefillEngines(Engines, ReadRatios, Now, Result);
  if (AllowedPause > Milliseconds(0))
    Result.MaximumInterval = AllowedPause / Paces.pauseRatio(Service, Now);
  Result.ShouldExchange = shouldExchange(Engines, Result);
  if (Result.ShouldExchange) {
    const Milliseconds Fastest =
        std::min_element(
            Result.Intervals.begin(), Result.Intervals.end(),
            [](const auto &A, const auto &B) { return A.second < B.second; })
            ->second;
    // Streams that would run at the pace of the fastest engine.
    const double Streams =
        Paces.eventsPerMillisecond(Engines, Now) * Fastest.count();
    Result.FastEnginesNeeded = static_cast<size_t>(
        std::ceil(Streams * StreamRoom / std::max(1U, Slots)));
  }
  return Result;
}

std::optional<Milliseconds>
EngineSpeedEstimator::decodedInterval(const Target &Engine,
                                      const EngineSpeeds &Speeds) const {
  if (const auto Found = m_Known.find(Engine.Id);
      Found != m_Known.end() && Found->second.IsMeasured)
    return Speeds.Intervals.at(Engine.Id);
  if (!m_Decoded.contains(Engine.Id))
    return std::nullopt;
  Milliseconds Sum{0};
  unsigned Count = 0;
  for (const auto &[Id, Entry] : m_Known)
    if (const auto Measured = Speeds.Intervals.find(Id);
        Entry.IsMeasured && Measured != Speeds.Intervals.end()) {
      Sum += Measured->second;
      ++Count;
    }
  return Count > 0 ? std::optional(Sum / Count) : std::nullopt;
}

std::map<std::string, Milliseconds>
EngineSpeedEstimator::learnIntervals(std::span<const Target *const> Engines,
                                     const StreamPaces &Paces, BootTime Now) {
  std::map<std::string, Milliseconds> Measured;
  std::vector<double> Factors;
  for (const Target *Engine : Engines)
    if (Engine->EngineStage == Stage::Decode)
      if (const auto Interval = Paces.meanInterval(Engine->Id, Now);
          Interval && *Interval > Milliseconds(0)) {
        Measured[Engine->Id] = *Interval;
        if (const auto Found = m_Known.find(Engine->Id);
            Found != m_Known.end() && Found->second.IsMeasured)
          Factors.push_back(*Interval / Found->second.Interval);
      }
  if (!Factors.empty()) {
    const auto Middle =
        Factors.begin() + static_cast<std::ptrdiff_t>(Factors.size() / 2);
    std::nth_element(Factors.begin(), Middle, Factors.end());
    m_LoadFactor = *Middle;
  }
  const std::chrono::duration<double> Elapsed = Now - m_LearnedAt;
  const double Weight = 1 - std::exp2(-Elapsed / KnownHalfLife);
  m_LearnedAt = Now;
  for (const Target *Engine : Engines)
    if (const auto Found = Measured.find(Engine->Id); Found != Measured.end()) {
      const Milliseconds Current = Found->second / m_LoadFactor;
      Known &State = m_Known[Engine->Id];
      State.Started = Engine->Started;
      State.Interval = State.IsMeasured
                           ? State.Interval * (1 - Weight) + Current * Weight
                           : Current;
      State.IsMeasured = true;
    }
  return Measured;
}

void EngineSpeedEstimator::addPrefillEngines(
    std::span<const Target *const> Engines, const FleetAverages &ReadRatios,
    BootTime Now, EngineSpeeds &Speeds) {
  std::map<const Target *, double> Ratios;
  double RelationSum = 0;
  unsigned Related = 0;
  for (const Target *Engine : Engines) {
    if (Engine->EngineStage != Stage::Prefill)
      continue;
    const auto Average = ReadRatios.average(Engine->Id, Now);
    if (!Average || Average->Count < MinimumReads || Average->Value <= 0)
      continue;
    Ratios[Engine] = Average->Value;
    if (const auto Interval = decodedInterval(*Engine, Speeds)) {
      RelationSum += Interval->count() / Average->Value;
      ++Related;
    }
  }
  if (Related == 0)
    return;
  for (const auto &[Engine, Ratio] : Ratios) {
    Known &State = m_Known[Engine->Id];
    if (State.IsMeasured)
      continue;
    const Milliseconds Interval(Ratio * RelationSum / Related);
    State = {Engine->Started, Interval / m_LoadFactor, false};
    Speeds.Intervals[Engine->Id] = Interval;
  }
}

bool EngineSpeedEstimator::shouldExchange(
    std::span<const Target *const> Engines, const EngineSpeeds &Speeds) {
  std::vector<Milliseconds> Decode;
  std::vector<Milliseconds> Prefill;
  for (const Target *Engine : Engines)
    if (const auto Found = Speeds.Intervals.find(Engine->Id);
        Found != Speeds.Intervals.end())
      (Engine->EngineStage == Stage::Decode ? Decode : Prefill)
          .push_back(Found->second);
  if (Decode.empty() || Prefill.empty() ||
      Speeds.MaximumInterval <= Milliseconds(0))
    return false;
  // Quartiles, as the interval of a single engine depends on its other work.
  const auto Slow =
      Decode.begin() + static_cast<std::ptrdiff_t>(Decode.size() * 3 / 4);
  std::nth_element(Decode.begin(), Slow, Decode.end());
  const auto Fast =
      Prefill.begin() + static_cast<std::ptrdiff_t>(Prefill.size() / 4);
  std::nth_element(Prefill.begin(), Fast, Prefill.end());
  // An exchange goes on until no prefill engine is much faster.
  const Milliseconds Reference =
      m_Exchanging ? *std::min_element(Prefill.begin(), Prefill.end()) : *Fast;
  m_Exchanging = *Slow > Speeds.MaximumInterval * LongPauseShare &&
                 *Slow > Reference * MinimumDifference;
  return m_Exchanging;
}

double EngineSpeeds::speed(const std::string &EngineId) const {
  const auto Found = Intervals.find(EngineId);
  if (!ShouldExchange || Found == Intervals.end())
    return 1;
  Milliseconds Sum{0};
  for (const auto &[Id, Interval] : Intervals)
    Sum += Interval;
  return Sum / static_cast<double>(Intervals.size()) / Found->second;
}

double EngineSpeeds::meanSpeed(std::span<const Target *const> Engines,
                               Stage Of) const {
  double Sum = 0;
  double Count = 0;
  for (const Target *Engine : Engines)
    if (Engine->EngineStage == Of) {
      Sum += speed(Engine->Id);
      ++Count;
    }
  return Count > 0 ? Sum / Count : 1;
}

} // namespace figlift::dispatch
