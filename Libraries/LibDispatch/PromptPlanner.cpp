//===- PromptPlanner.cpp - Where a prompt is read and run -----------------===//
//
// Scores each engine by waiting time and engine time; homes of subjects break
// ties, so that all processes have a new subject read at the same engine.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PromptPlanner.h"

#include <algorithm>

#include <xxhash.h>

namespace figlift::dispatch {

namespace {

/// Rendezvous hashing: the engine with the highest weight is the home of a
/// subject, and only the subjects of an engine that came or left move.
uint64_t homeWeight(uint64_t Subject, const std::string &TargetId) {
  return XXH64(TargetId.data(), TargetId.size(), Subject);
}

} // namespace

PromptPlanner::PromptPlanner(PromptPlannerOptions Options, LoadBook &Loads)
    : m_Options(Options), m_Loads(Loads) {}

bool PromptPlanner::usable(const Target &Which, const PromptRequest &Request,
                           Trust How, BootTime Now) const {
  if (std::find(Request.Excluded.begin(), Request.Excluded.end(), Which.Id) !=
      Request.Excluded.end())
    return false;
  if (m_Loads.avoided(Which.Id, Now))
    return false;
  return How == Trust::Any ||
         (!m_Loads.resting(Which.Id, Now) &&
          m_Loads.failureShare(Which.Id, Now) < m_Options.FailureShareToAvoid);
}

/// Looked up once for a request: each engine that may read it compares all of
/// them, and at 54 engines the look-ups were some thousands for each plan.
std::vector<PromptPlanner::Source>
PromptPlanner::sources(const PromptRequest &Request,
                       std::span<const Target *const> Engines) const {
  std::vector<Source> Found;
  for (const Target *Each : Engines)
    if (const uint32_t There = m_Loads.cachedTokens(Each->Id, Request.What);
        There > 0)
      Found.push_back({Each, There});
  return Found;
}

/// Another engine may keep more of the prompt. A fetch of 13,000 tokens takes
/// 10 to 20 ms where computing them again takes 360, and it takes none of the
/// engine's computing time.
PromptPlanner::Kept
PromptPlanner::cheapestParts(const PromptRequest &Request, const Target &At,
                             std::span<const Source> Sources,
                             const EngineCosts &Costs, BootTime Now) const {
  const uint32_t Own = m_Loads.cachedTokensInTurn(At.Id, Request.What, Now);
  Kept Best{Own, nullptr, 0};
  Milliseconds BestTime = Costs.reading(Request.What, Own);
  for (const auto &[Which, There] : Sources) {
    if (Which == &At || There <= Own)
      continue;
    const Milliseconds Time = Costs.fetch(There - Own, Which->Zone == At.Zone) +
                              Costs.reading(Request.What, There);
    if (Time < BestTime) {
      Best = {There, Which, There - Own};
      BestTime = Time;
    }
  }
  return Best;
}

/// The read of the request at \p At, computed as fast as at a prefill engine.
PromptPlanner::Candidate
PromptPlanner::readAt(const PromptRequest &Request, const Target &At,
                      std::span<const Source> Sources, const EngineCosts &Costs,
                      Milliseconds Wait, double Slowness, BootTime Now) const {
  const Kept Parts = cheapestParts(Request, At, Sources, Costs, Now);
  Candidate Found{&At, Parts.From, {}, Milliseconds(0)};
  Found.How.Size = EngineCosts::toCompute(Request.What, Parts.Tokens);
  Found.How.Size.Fetches = Parts.From != nullptr;
  Found.How.Wait = Wait;
  Found.How.Compute = Costs.reading(Found.How.Size) * Slowness;
  Found.Cost = Found.How.Compute;
  if (!Parts.From)
    return Found;
  const bool SameZone = Parts.From->Zone == At.Zone;
  Found.How.OnLink = Costs.onLink(Parts.Fetched, SameZone);
  Found.Cost += Costs.fetch(Parts.Fetched, SameZone);
  return Found;
}

std::optional<PromptPlanner::Candidate>
PromptPlanner::bestReader(const PromptRequest &Request,
                          std::span<const Target *const> Engines,
                          std::span<const Source> Sources,
                          const EngineCosts &Costs, BootTime Now) const {
  std::optional<Candidate> Best;
  uint64_t BestWeight = 0;
  const uint64_t Subject = Request.What.subject();
  for (const Target *Which : Engines) {
    if (Which->Does != Stage::Prefill ||
        !usable(*Which, Request, Trust::Proven, Now))
      continue;
    const double Slowness = m_Loads.slowness(Which->Id, Now);
    const Candidate Each = readAt(
        Request, *Which, Sources, Costs,
        m_Loads.readingBacklog(Which->Id, Now) * Slowness, Slowness, Now);
    const uint64_t Weight = homeWeight(Subject, Which->Id);
    const double Scale = m_Options.EngineTimeWeight;
    const Milliseconds Margin =
        Request.LatencyTarget * m_Options.HomeMarginShare;
    if (!Best || Each.score(Scale) + Margin < Best->score(Scale) ||
        (Each.score(Scale) < Best->score(Scale) + Margin &&
         Weight > BestWeight)) {
      Best = Each;
      BestWeight = Weight;
    }
  }
  return Best;
}

Milliseconds PromptPlanner::slotWait(const Target &Which,
                                     const EngineTraits &Traits, double Coming,
                                     BootTime Now) const {
  const double Here = m_Loads.items(Which.Id, Now);
  const double Items = Here + Coming;
  const double Slots = std::max(1U, Traits.Slots);
  if (Items < Slots)
    return Milliseconds(0);
  // Of the work there, what exceeds the slots has to end first; only what is in
  // the slots ends.
  const double Turnover =
      m_Loads.turnover(Which.Id, Now) * Slots / std::max(Here, Slots);
  return Milliseconds((Items - Slots + 1) / std::max(1e-6, Turnover));
}

std::optional<PromptPlanner::Candidate> PromptPlanner::bestLoneRunner(
    const PromptRequest &Request, std::span<const Target *const> Engines,
    std::span<const Source> Sources, const EngineCosts &Costs, Trust Trusted,
    BootTime Now) const {
  const double Coming = comingRuns(Engines, Now);
  std::optional<Candidate> Best;
  for (const Target *Which : Engines) {
    if (Which->Does == Stage::Prefill || !usable(*Which, Request, Trusted, Now))
      continue;
    const double Slowness = m_Loads.slowness(Which->Id, Now);
    // Both a free slot and the end of the prompts in front are waited for.
    const Milliseconds Wait =
        std::max(slotWait(*Which, Costs.traits(), Coming, Now),
                 m_Loads.readingBacklog(Which->Id, Now)) *
        Slowness;
    Candidate Each =
        readAt(Request, *Which, Sources, Costs, Wait, Slowness, Now);
    const Milliseconds Beside =
        Costs.readingWhileDecoding(Each.How.Size) * Slowness;
    Each.Cost += Beside - Each.How.Compute;
    Each.How.Compute = Beside;
    if (!Best || Each.score(m_Options.EngineTimeWeight) <
                     Best->score(m_Options.EngineTimeWeight))
      Best = Each;
  }
  return Best;
}

double PromptPlanner::comingRuns(std::span<const Target *const> Engines,
                                 BootTime Now) const {
  double Reads = 0;
  double Runners = 0;
  for (const Target *Each : Engines) {
    if (Each->Does == Stage::Prefill)
      Reads += m_Loads.items(Each->Id, Now);
    else
      ++Runners;
  }
  return Runners > 0 ? Reads / Runners : 0;
}

std::optional<RunAt>
PromptPlanner::chooseRunner(const PromptRequest &Request, const Target *Reader,
                            std::span<const Target *const> Engines,
                            const EngineCosts &Costs, BootTime Now) const {
  if (auto Proven =
          runnerAfter(Request, Reader, Engines, Costs, 0, Trust::Proven, Now))
    return Proven;
  return runnerAfter(Request, Reader, Engines, Costs, 0, Trust::Any, Now);
}

std::optional<RunAt>
PromptPlanner::runnerAfter(const PromptRequest &Request, const Target *Reader,
                           std::span<const Target *const> Engines,
                           const EngineCosts &Costs, double Coming,
                           Trust Trusted, BootTime Now) const {
  std::optional<RunAt> Best;
  // Everybody's view of the engines is as old as the reports, in which time
  // each engine's work has changed hands several times over: whoever takes the
  // engine that looks least busy meets all others there. So the subject has a
  // home among them, too, in the zone of its reader first, where a transfer
  // takes half as long and the parts that an engine has run stay.
  Milliseconds BestScore{0};
  uint64_t BestWeight = 0;
  const uint64_t Subject = Request.What.subject();
  const Milliseconds Margin = Request.LatencyTarget * m_Options.HomeMarginShare;
  for (const Target *Which : Engines) {
    if (Which->Does == Stage::Prefill || !usable(*Which, Request, Trusted, Now))
      continue;
    const double Slowness = m_Loads.slowness(Which->Id, Now);
    const uint32_t Cached = m_Loads.cachedTokens(Which->Id, Request.What);
    const uint32_t Moved =
        Request.What.Tokens - std::min(Request.What.Tokens, Cached);
    const bool SameZone = Reader && Reader->Zone == Which->Zone;
    const Milliseconds Transfer = Costs.transfer(Moved, SameZone);
    // A prompt that is being read there delays the first token by a piece of it
    // only, which is part of what a start takes on average.
    const Milliseconds Wait =
        slotWait(*Which, Costs.traits(), Coming, Now) * Slowness;
    const Milliseconds Expected =
        Wait + (Transfer + Costs.startFixed()) * Slowness;
    const Milliseconds Score = Expected + (SameZone ? Milliseconds(0) : Margin);
    const uint64_t Weight = homeWeight(Subject, Which->Id);
    if (Best && !(Score + Margin < BestScore ||
                  (Score < BestScore + Margin && Weight > BestWeight)))
      continue;
    BestScore = Score;
    BestWeight = Weight;
    Best = RunAt{Which->Id,
                 {},
                 Transfer + Costs.startFixed() + Request.Generation,
                 Expected,
                 {{}, Wait, Milliseconds(0), Costs.onLink(Moved, SameZone)}};
  }
  return Best;
}

bool PromptPlanner::admits(const PromptRequest &Request, Milliseconds Wait,
                           Milliseconds FirstEvent) const {
  if (FirstEvent > Request.TimeLeft * m_Options.DeadlineShare)
    return false;
  return FirstEvent <= Request.OnTimeLeft * m_Options.TargetShare ||
         Wait <= Request.LatencyTarget * m_Options.LateWaitShare;
}

RefuseNow PromptPlanner::refuse(const PromptRequest &Request,
                                std::string_view Reason,
                                Milliseconds FirstEvent) const {
  const Milliseconds Excess =
      FirstEvent - Request.LatencyTarget * m_Options.TargetShare;
  // Spread over as much time again, so that those refused together do not
  // come back together.
  const auto Wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      Excess * (1 + Request.Draw) +
      Milliseconds(m_Options.MinimumRetryAfter) * Request.Draw);
  return {Reason, FirstEvent,
          std::clamp(Wait, m_Options.MinimumRetryAfter,
                     m_Options.MaximumRetryAfter)};
}

PromptPlan PromptPlanner::plan(const PromptRequest &Request,
                               std::span<const Target *const> Engines,
                               const EngineCosts &Costs, BootTime Now) const {
  Trust Trusted = Trust::Proven;
  const std::vector<Source> Sources = sources(Request, Engines);
  auto Lone = bestLoneRunner(Request, Engines, Sources, Costs, Trusted, Now);
  if (!Lone) {
    Trusted = Trust::Any;
    Lone = bestLoneRunner(Request, Engines, Sources, Costs, Trusted, Now);
  }
  if (!Lone)
    return refuse(Request, "no engine takes new requests",
                  Request.LatencyTarget * 2);
  const auto Reader = bestReader(Request, Engines, Sources, Costs, Now);
  const Milliseconds LoneFirst =
      Lone->How.Wait + Lone->Cost + Costs.readFixed() + Costs.startFixed();
  std::optional<ReadThenRun> Split;
  Milliseconds SplitWait{0};
  if (Reader) {
    const auto Runner = runnerAfter(Request, Reader->Which, Engines, Costs,
                                    comingRuns(Engines, Now), Trusted, Now);
    const Milliseconds Read =
        Reader->How.Wait + Reader->Cost + Costs.readFixed();
    if (Runner) {
      SplitWait = Reader->How.Wait + Runner->How.Wait;
      Split = ReadThenRun{Reader->Which->Id,       Reader->sourceId(),
                          Reader->How.Compute,     Read,
                          Read + Runner->Expected, Reader->How};
    }
  }
  const bool Small =
      Lone->How.Compute <= Request.EventGap * m_Options.ReadGapShare;
  // Reading apart takes a call more, of which the fixed part of a read is an
  // upper bound; a small prompt is worth it only for a clear gain.
  const bool UseSplit =
      Split && (!Small || Split->FirstEvent + Costs.readFixed() < LoneFirst);
  const Milliseconds First = UseSplit ? Split->FirstEvent : LoneFirst;
  const Milliseconds Wait = UseSplit ? SplitWait : Lone->How.Wait;
  if (!admits(Request, Wait + Request.Lag, First + Request.Lag))
    return refuse(Request, "the first token would come too late",
                  First + Request.Lag);
  if (UseSplit)
    return *Split;
  return RunAt{Lone->Which->Id, Lone->sourceId(),
               Lone->Cost + Costs.startFixed() + Request.Generation, LoneFirst,
               Lone->How};
}

} // namespace figlift::dispatch
