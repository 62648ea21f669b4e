//===- PromptPlanner.cpp - Places prompts on engines ----------------------===//
//
// Scores each engine by waiting time and engine time. The home of a subject
// breaks ties, so that all processes prefill a new subject on the same engine.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PromptPlanner.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace figlift::dispatch {

namespace {

/// Rendezvous hashing: the engine with the highest weight is the home of a
/// subject. If an engine is added or removed, only its subjects move.
uint64_t homeWeight(uint64_t Subject, const std::string &TargetId) {
  return XXH64(TargetId.data(), TargetId.size(), Subject);
}

/// Decides the home of a request among the decode engines. Prompts without a
/// subject share no cached parts, so each stream has a home of its own; with a
/// common one, all processes would send them to the same engine.
uint64_t decodeHomeKey(const PromptRequest &Request) {
  const Prompt &Input = Request.Input;
  const uint64_t Subject = Input.subject();
  return Subject != 0 || !Request.AllowedPause || Input.Parts.empty()
             ? Subject
             : Input.Parts.back().Id;
}

/// Engines admit a request before less urgent work, so only work up to this
/// priority is ahead of it.
unsigned leastUrgentAhead(const PromptRequest &Request) {
  return Request.EnginePriority.value_or(LeastUrgentPriority);
}

} // namespace

PromptPlanner::PromptPlanner(PromptPlannerOptions Options, LoadTracker &Loads,
                             const StreamPaces &Paces)
    : m_Options(Options), m_Loads(Loads), m_Paces(Paces) {}

bool PromptPlanner::usable(const Target &Engine, const PromptRequest &Request,
                           HealthFilter Filter, BootTime Now) const {
  if (std::find(Request.Excluded.begin(), Request.Excluded.end(), Engine.Id) !=
      Request.Excluded.end())
    return false;
  if (m_Loads.isExcluded(Engine.Id, Now))
    return false;
  return (Filter == HealthFilter::Any && Request.MayUseEjected) ||
         (!m_Loads.isEjected(Engine.Id, Now) &&
          m_Loads.failureShare(Engine.Id, Now) < m_Options.MaximumFailureShare);
}

/// Computed once per request because every prefill candidate compares all of
/// them: with 54 engines a plan would otherwise need thousands of lookups.
std::vector<PromptPlanner::CachedPrefix>
PromptPlanner::cachedPrefixes(const PromptRequest &Request,
                              std::span<const Target *const> Engines) const {
  std::vector<CachedPrefix> Result;
  for (const Target *Engine : Engines)
    if (const uint32_t CachedTokens =
            m_Loads.cachedTokens(Engine->Id, Request.Input);
        CachedTokens > 0)
      Result.push_back({Engine, CachedTokens});
  return Result;
}

/// Another engine may cache more of the prompt. Fetching 13,000 tokens takes 10
/// to 20 ms, recomputing them 360 ms, and a fetch uses no compute time of the
/// engine.
PromptPlanner::PrefixSource
PromptPlanner::cheapestPrefix(const PromptRequest &Request,
                              const Target &Destination,
                              std::span<const CachedPrefix> Prefixes,
                              const EngineCosts &Costs, BootTime Now) const {
  const uint32_t LocalTokens =
      m_Loads.cachedTokensWithPending(Destination.Id, Request.Input, Now);
  PrefixSource Best{LocalTokens, nullptr, 0};
  Milliseconds BestTime = Costs.prefill(Request.Input, LocalTokens);
  for (const auto &[Engine, CachedTokens] : Prefixes) {
    if (Engine == &Destination || CachedTokens <= LocalTokens)
      continue;
    const Milliseconds Time = Costs.fetch(CachedTokens - LocalTokens,
                                          Engine->Zone == Destination.Zone) +
                              Costs.prefill(Request.Input, CachedTokens);
    if (Time < BestTime) {
      Best = {CachedTokens, Engine, CachedTokens - LocalTokens};
      BestTime = Time;
    }
  }
  return Best;
}

/// Prefill of the request on \p Destination at the speed of a prefill engine.
PromptPlanner::Candidate PromptPlanner::prefillCandidate(
    const PromptRequest &Request, const Target &Destination,
    std::span<const CachedPrefix> Prefixes, const EngineCosts &Costs,
    Milliseconds Wait, double Slowness, BootTime Now) const {
  const PrefixSource Prefix =
      cheapestPrefix(Request, Destination, Prefixes, Costs, Now);
  Candidate Result{&Destination, Prefix.FetchSource, {}, Milliseconds(0)};
  Result.Prefill.Size = EngineCosts::uncachedSize(Request.Input, Prefix.Tokens);
  Result.Prefill.Size.Fetches = Prefix.FetchSource != nullptr;
  Result.Prefill.Wait = Wait;
  Result.Prefill.Compute = Costs.prefill(Result.Prefill.Size) * Slowness;
  Result.Cost = Result.Prefill.Compute;
  if (!Prefix.FetchSource)
    return Result;
  const bool SameZone = Prefix.FetchSource->Zone == Destination.Zone;
  Result.Prefill.NominalTransfer =
      Costs.nominalTransfer(Prefix.FetchedTokens, SameZone);
  Result.Cost += Costs.fetch(Prefix.FetchedTokens, SameZone);
  return Result;
}

std::optional<PromptPlanner::Candidate>
PromptPlanner::bestPrefillTarget(const PromptRequest &Request,
                                 std::span<const Target *const> Engines,
                                 std::span<const CachedPrefix> Prefixes,
                                 const EngineCosts &Costs, BootTime Now) const {
  std::optional<Candidate> Best;
  uint64_t BestWeight = 0;
  const uint64_t Subject = Request.Input.subject();
  for (const Target *Engine : Engines) {
    if (Engine->EngineStage != Stage::Prefill ||
        !usable(*Engine, Request, HealthFilter::Healthy, Now))
      continue;
    const double Slowness = m_Loads.slowness(Engine->Id, Now);
    const Candidate Option = prefillCandidate(
        Request, *Engine, Prefixes, Costs,
        prefillBacklog(Request, *Engine, Now) * Slowness, Slowness, Now);
    const uint64_t Weight = homeWeight(Subject, Engine->Id);
    const double Scale = m_Options.EngineTimeWeight;
    const Milliseconds Margin =
        Request.LatencyTarget * m_Options.HomeMarginShare;
    if (!Best || Option.score(Scale) + Margin < Best->score(Scale) ||
        (Option.score(Scale) < Best->score(Scale) + Margin &&
         Weight > BestWeight)) {
      Best = Option;
      BestWeight = Weight;
    }
  }
  return Best;
}

Milliseconds PromptPlanner::pausePenalty(const PromptRequest &Request,
                                         const Target &Engine,
                                         BootTime Now) const {
  if (!Request.AllowedPause || Request.GenerationTime <= Milliseconds(0))
    return Milliseconds(0);
  const auto Interval = m_Paces.meanInterval(Engine.Id, Now);
  const auto Pause =
      m_Paces.expectedLongestPause(Request.Service, Engine.Id, Now);
  if (!Interval || !Pause)
    return Milliseconds(0);
  const double Share =
      std::min(1.0, Request.GenerationTime /
                        (*Interval * m_Options.IntervalsOfLongestPause));
  const double Penalty = std::pow(*Pause / Milliseconds(*Request.AllowedPause),
                                  m_Options.PausePenaltyExponent);
  return Request.LatencyTarget * Share *
         std::min(Penalty, m_Options.MaximumPausePenalty);
}

Milliseconds PromptPlanner::prefillBacklog(const PromptRequest &Request,
                                           const Target &Engine,
                                           BootTime Now) const {
  return m_Loads.prefillBacklog(Engine.Id, Now, leastUrgentAhead(Request));
}

Milliseconds PromptPlanner::slotWait(const PromptRequest &Request,
                                     const Target &Engine,
                                     const EngineTraits &Traits,
                                     double ExpectedArrivals,
                                     BootTime Now) const {
  const double CurrentItems = m_Loads.items(Engine.Id, Now);
  const double Items =
      m_Loads.items(Engine.Id, Now, leastUrgentAhead(Request)) +
      ExpectedArrivals;
  const double Slots = std::max(1U, Traits.Slots);
  if (Items < Slots)
    return Milliseconds(0);
  // The items that exceed the slots have to complete first, and only items
  // that occupy a slot complete.
  const double CompletionRate = m_Loads.completionRate(Engine.Id, Now) * Slots /
                                std::max(CurrentItems, Slots);
  return Milliseconds((Items - Slots + 1) / std::max(1e-6, CompletionRate));
}

std::optional<PromptPlanner::Candidate> PromptPlanner::bestSingleTarget(
    const PromptRequest &Request, std::span<const Target *const> Engines,
    std::span<const CachedPrefix> Prefixes, const EngineCosts &Costs,
    HealthFilter Filter, BootTime Now) const {
  const double ExpectedArrivals = expectedDecodes(Request, Engines, Now);
  std::optional<Candidate> Best;
  Milliseconds BestScore{0};
  uint64_t BestWeight = 0;
  const uint64_t Subject = decodeHomeKey(Request);
  // Streams of one subject keep to their home among engines of about the same
  // pace; otherwise all processes would choose the fastest one at a time. This
  // holds for engines without a penalty, too: those that nothing is known of
  // must not get all streams.
  const bool HasPenalty =
      std::any_of(Engines.begin(), Engines.end(), [&](const Target *Engine) {
        return pausePenalty(Request, *Engine, Now) > Milliseconds(0);
      });
  const Milliseconds Margin =
      HasPenalty ? Request.LatencyTarget * m_Options.HomeMarginShare
                 : Milliseconds(0);
  for (const Target *Engine : Engines) {
    if (Engine->EngineStage == Stage::Prefill ||
        !usable(*Engine, Request, Filter, Now))
      continue;
    const double Slowness = m_Loads.slowness(Engine->Id, Now);
    // The request needs a free slot and has to wait for the prompts queued
    // before it.
    const Milliseconds Wait =
        std::max(
            slotWait(Request, *Engine, Costs.traits(), ExpectedArrivals, Now),
            prefillBacklog(Request, *Engine, Now)) *
        Slowness;
    Candidate Option = prefillCandidate(Request, *Engine, Prefixes, Costs, Wait,
                                        Slowness, Now);
    const Milliseconds WhileDecoding =
        Costs.prefillWhileDecoding(Option.Prefill.Size) * Slowness;
    Option.Cost += WhileDecoding - Option.Prefill.Compute;
    Option.Prefill.Compute = WhileDecoding;
    const Milliseconds Penalty = pausePenalty(Request, *Engine, Now);
    const Milliseconds Score =
        Option.score(m_Options.EngineTimeWeight) + Penalty;
    const uint64_t Weight = homeWeight(Subject, Engine->Id);
    if (Best && !(Score + Margin < BestScore ||
                  (Score < BestScore + Margin && Weight > BestWeight)))
      continue;
    Best = Option;
    BestScore = Score;
    BestWeight = Weight;
  }
  return Best;
}

double PromptPlanner::expectedDecodes(const PromptRequest &Request,
                                      std::span<const Target *const> Engines,
                                      BootTime Now) const {
  double Prefills = 0;
  double DecodeEngines = 0;
  for (const Target *Engine : Engines) {
    if (Engine->EngineStage == Stage::Prefill)
      Prefills += m_Loads.items(Engine->Id, Now, leastUrgentAhead(Request));
    else
      ++DecodeEngines;
  }
  return DecodeEngines > 0 ? Prefills / DecodeEngines : 0;
}

std::optional<DecodePlan> PromptPlanner::chooseDecodeTarget(
    const PromptRequest &Request, const Target *PrefillTarget,
    std::span<const Target *const> Engines, const EngineCosts &Costs,
    BootTime Now) const {
  if (auto Healthy = bestDecodeTarget(Request, PrefillTarget, Engines, Costs, 0,
                                      HealthFilter::Healthy, Now))
    return Healthy;
  return bestDecodeTarget(Request, PrefillTarget, Engines, Costs, 0,
                          HealthFilter::Any, Now);
}

std::optional<DecodePlan> PromptPlanner::bestDecodeTarget(
    const PromptRequest &Request, const Target *PrefillTarget,
    std::span<const Target *const> Engines, const EngineCosts &Costs,
    double ExpectedArrivals, HealthFilter Filter, BootTime Now) const {
  std::optional<DecodePlan> Best;
  // The view of the engines is as old as the last peer reports, and the work of
  // an engine turns over several times between two reports. If all processes
  // chose the engine that looks least busy, they would all choose the same one.
  // So each subject also has a home among the decode engines, preferably in the
  // zone of its prefill engine: a transfer takes half as long there, and the
  // parts that the engine has decoded are still cached.
  Milliseconds BestScore{0};
  uint64_t BestWeight = 0;
  const uint64_t Subject = decodeHomeKey(Request);
  const Milliseconds Margin = Request.LatencyTarget * m_Options.HomeMarginShare;
  for (const Target *Engine : Engines) {
    if (Engine->EngineStage == Stage::Prefill ||
        !usable(*Engine, Request, Filter, Now))
      continue;
    const double Slowness = m_Loads.slowness(Engine->Id, Now);
    const uint32_t Cached = m_Loads.cachedTokens(Engine->Id, Request.Input);
    const uint32_t TransferredTokens =
        Request.Input.Tokens - std::min(Request.Input.Tokens, Cached);
    const bool SameZone = PrefillTarget && PrefillTarget->Zone == Engine->Zone;
    const Milliseconds Transfer = Costs.transfer(TransferredTokens, SameZone);
    // A prefill in progress on the engine delays the first token only by one
    // chunk. The average start time includes that delay.
    const Milliseconds Wait =
        slotWait(Request, *Engine, Costs.traits(), ExpectedArrivals, Now) *
        Slowness;
    const Milliseconds Expected =
        Wait + (Transfer + Costs.decodeStartFixed()) * Slowness;
    const Milliseconds Score = Expected +
                               (SameZone ? Milliseconds(0) : Margin) +
                               pausePenalty(Request, *Engine, Now);
    const uint64_t Weight = homeWeight(Subject, Engine->Id);
    if (Best && !(Score + Margin < BestScore ||
                  (Score < BestScore + Margin && Weight > BestWeight)))
      continue;
    BestScore = Score;
    BestWeight = Weight;
    Best =
        DecodePlan{Engine->Id,
                   {},
                   Transfer + Costs.decodeStartFixed() + Request.GenerationTime,
                   Expected,
                   {{},
                    Wait,
                    Milliseconds(0),
                    Costs.nominalTransfer(TransferredTokens, SameZone)}};
  }
  return Best;
}

bool PromptPlanner::admits(const PromptRequest &Request, Milliseconds Wait,
                           Milliseconds FirstEvent) const {
  return isInTime(Request, Wait, FirstEvent) && leavesReserve(Request, Wait);
}

bool PromptPlanner::leavesReserve(const PromptRequest &Request,
                                  Milliseconds Wait) const {
  return Request.Reserve <= Milliseconds(0) ||
         Wait + Request.Reserve <=
             Request.LatencyTarget * m_Options.LatencyTargetShare;
}

bool PromptPlanner::isInTime(const PromptRequest &Request, Milliseconds Wait,
                             Milliseconds FirstEvent) const {
  if (FirstEvent > Request.TimeLeft * m_Options.DeadlineShare)
    return false;
  return FirstEvent <=
             Request.TimeToLatencyTarget * m_Options.LatencyTargetShare ||
         Wait <= Request.LatencyTarget * m_Options.LargePromptWaitShare;
}

bool PromptPlanner::spills(const PromptRequest &Request,
                           const Candidate &Single,
                           Milliseconds SingleFirstEvent,
                           Milliseconds SplitWait,
                           Milliseconds SplitFirstEvent) const {
  const Milliseconds Lag = Request.ExpectedStartLag;
  const bool IsClearlyEarlier =
      SplitFirstEvent - SingleFirstEvent >
      Request.LatencyTarget * m_Options.SpillGainShare;
  return Request.MaySpill && Single.Prefill.Wait <= Milliseconds(0) &&
         Single.Prefill.Compute <= Request.EventGap * m_Options.SpillGapShare &&
         (IsClearlyEarlier ||
          !admits(Request, SplitWait + Lag, SplitFirstEvent + Lag)) &&
         admits(Request, Single.Prefill.Wait + Lag, SingleFirstEvent + Lag);
}

Rejection PromptPlanner::reject(const PromptRequest &Request,
                                std::string_view Reason,
                                Milliseconds FirstEvent) const {
  const Milliseconds Overrun =
      FirstEvent - Request.LatencyTarget * m_Options.LatencyTargetShare;
  // Jitter of the same length keeps requests that are rejected together from
  // being retried together.
  const auto Wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      Overrun * (1 + Request.Draw) +
      Milliseconds(m_Options.MinimumRetryAfter) * Request.Draw);
  return {Reason, FirstEvent,
          std::clamp(Wait, m_Options.MinimumRetryAfter,
                     m_Options.MaximumRetryAfter)};
}

PromptPlan PromptPlanner::plan(const PromptRequest &Request,
                               std::span<const Target *const> Engines,
                               const EngineCosts &Costs, BootTime Now) const {
  HealthFilter Filter = HealthFilter::Healthy;
  const std::vector<CachedPrefix> Prefixes = cachedPrefixes(Request, Engines);
  auto Single =
      bestSingleTarget(Request, Engines, Prefixes, Costs, Filter, Now);
  if (!Single) {
    Filter = HealthFilter::Any;
    Single = bestSingleTarget(Request, Engines, Prefixes, Costs, Filter, Now);
  }
  if (!Single) {
    Rejection Unavailable = reject(Request, "no engine takes new requests",
                                   Request.LatencyTarget * 2);
    Unavailable.NoneAvailable = true;
    return Unavailable;
  }
  const auto PrefillTarget =
      bestPrefillTarget(Request, Engines, Prefixes, Costs, Now);
  const Milliseconds SingleFirstEvent = Single->Prefill.Wait + Single->Cost +
                                        Costs.prefillFixed() +
                                        Costs.decodeStartFixed();
  std::optional<PrefillThenDecode> SplitPlan;
  Milliseconds SplitWait{0};
  if (PrefillTarget) {
    const auto DecodeTarget =
        bestDecodeTarget(Request, PrefillTarget->Engine, Engines, Costs,
                         expectedDecodes(Request, Engines, Now), Filter, Now);
    const Milliseconds PrefillEnd = PrefillTarget->Prefill.Wait +
                                    PrefillTarget->Cost + Costs.prefillFixed();
    if (DecodeTarget) {
      SplitWait = PrefillTarget->Prefill.Wait + DecodeTarget->Prefill.Wait;
      SplitPlan = PrefillThenDecode{
          PrefillTarget->Engine->Id,           PrefillTarget->fetchSourceId(),
          PrefillTarget->Prefill.Compute,      PrefillEnd,
          PrefillEnd + DecodeTarget->Expected, PrefillTarget->Prefill};
    }
  }
  const bool IsSmall =
      Single->Prefill.Compute <= Request.EventGap * m_Options.PrefillGapShare;
  // A separate prefill needs one more call, whose cost is at most the fixed
  // cost of a prefill. For a small prompt the gain has to exceed that.
  const bool Spills = SplitPlan && spills(Request, *Single, SingleFirstEvent,
                                          SplitWait, SplitPlan->FirstEvent);
  const bool UseSplitPlan =
      SplitPlan && !Spills &&
      (!IsSmall ||
       SplitPlan->FirstEvent + Costs.prefillFixed() < SingleFirstEvent);
  const Milliseconds FirstEvent =
      (UseSplitPlan ? SplitPlan->FirstEvent : SingleFirstEvent) +
      Request.ExpectedStartLag;
  const Milliseconds Wait = (UseSplitPlan ? SplitWait : Single->Prefill.Wait) +
                            Request.ExpectedStartLag;
  if (!Request.HasBegun && !isInTime(Request, Wait, FirstEvent))
    return reject(Request, "the first token would come too late", FirstEvent);
  if (!Request.HasBegun && !leavesReserve(Request, Wait)) {
    Rejection Reserved =
        reject(Request, "more urgent requests need the capacity",
               std::max(FirstEvent, Wait + Request.Reserve));
    Reserved.IsForMoreUrgent = true;
    return Reserved;
  }
  if (UseSplitPlan)
    return *SplitPlan;
  return DecodePlan{Single->Engine->Id,
                    Single->fetchSourceId(),
                    Single->Cost + Costs.decodeStartFixed() +
                        Request.GenerationTime,
                    SingleFirstEvent,
                    Single->Prefill,
                    Spills};
}

} // namespace figlift::dispatch
