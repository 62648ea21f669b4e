//===- EngineSpeeds.cpp - Estimated decode interval of engines ------------===//
//
// Intervals as measured, else from prefill times by the mean relation between
// the two.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EngineSpeeds.h"

#include <algorithm>

namespace figlift::dispatch {

EngineSpeeds EngineSpeedEstimator::estimate(
    const std::string &Service, std::span<const Target *const> Engines,
    const StreamPaces &Paces, const FleetAverages &ReadRatios,
    Milliseconds AllowedPause, BootTime Now) {
  std::erase_if(m_Known, [&](const auto &Entry) {
    return std::none_of(Engines.begin(), Engines.end(), [&](const Target *T) {
      return T->Id == Entry.first && T->Started == Entry.second.Started;
    });
  });
  EngineSpeeds Result;
  double RelationSum = 0;
  unsigned Related = 0;
  const auto ReadRatio = [&](const Target &Engine) -> std::optional<double> {
    const auto Average = ReadRatios.average(Engine.Id, Now);
    if (!Average || Average->Count < MinimumReads || Average->Value <= 0)
      return std::nullopt;
    return Average->Value;
  };
  for (const Target *Engine : Engines) {
    if (Engine->EngineStage == Stage::Decode)
      if (const auto Interval = Paces.meanInterval(Engine->Id, Now))
        m_Known[Engine->Id] = {Engine->Started, *Interval};
    const auto Found = m_Known.find(Engine->Id);
    if (Found == m_Known.end())
      continue;
    Result.Intervals[Engine->Id] = Found->second.Interval;
    if (const auto Ratio = ReadRatio(*Engine);
        Ratio && Engine->EngineStage == Stage::Prefill) {
      RelationSum += Found->second.Interval.count() / *Ratio;
      ++Related;
    }
  }
  for (const Target *Engine : Engines)
    if (const auto Ratio = ReadRatio(*Engine);
        Ratio && Related > 0 && Engine->EngineStage == Stage::Prefill &&
        !Result.Intervals.contains(Engine->Id))
      Result.Intervals[Engine->Id] =
          Milliseconds(*Ratio * RelationSum / Related);
  if (AllowedPause > Milliseconds(0))
    Result.MaximumInterval = AllowedPause / Paces.pauseRatio(Service, Now);
  Result.ShouldExchange = shouldExchange(Engines, Result);
  return Result;
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
