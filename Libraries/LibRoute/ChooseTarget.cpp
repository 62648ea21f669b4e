//===- ChooseTarget.cpp - Selection of the target of an attempt -*- C++ -*-===//
//
// Candidates, their costs and early refusal for each policy.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/ChooseTarget.h"

#include "LibRoute/Subset.h"

#include <algorithm>

namespace figlift::route {

namespace {

using Eligible = std::vector<const TargetView *>;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds RetryWithoutTarget{500};
constexpr milliseconds MinimumRetryAfter{50};
constexpr milliseconds MaximumRetryAfter{30000};

/// Maps consecutive seeds to independent numbers.
uint64_t splitMix64(uint64_t Value) {
  Value += 0x9e3779b97f4a7c15;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111eb;
  return Value ^ (Value >> 31);
}

Result<Choice> makeRefusal(ResultCode Code, std::string Message,
                           microseconds RetryAfter) {
  const auto Bounded = std::clamp(std::chrono::ceil<milliseconds>(RetryAfter),
                                  MinimumRetryAfter, MaximumRetryAfter);
  return Error{Code, std::move(Message), {}, Bounded};
}

Eligible eligibleTargets(const RoutingTable &Table, const RequestShape &Request,
                         std::span<const std::string> Excluded) {
  Eligible Targets;
  for (const TargetView &Target : Table.targets(Request.BackEnd))
    if (Target.Accepting && Target.serves(Request.Model) &&
        (Request.OnlyTarget.empty() || Target.Id == Request.OnlyTarget) &&
        std::ranges::find(Excluded, Target.Id) == Excluded.end())
      Targets.push_back(&Target);
  return Targets;
}

/// Mean of the positive values; 0 if there are none.
class Mean {
public:
  void add(double Value) {
    if (Value <= 0)
      return;
    m_Sum += Value;
    ++m_Count;
  }
  double value() const { return m_Count == 0 ? 0 : m_Sum / m_Count; }

private:
  double m_Sum = 0;
  unsigned m_Count = 0;
};

/// Chooses a target for each policy. Targets must not be empty.
struct Chooser {
  const RoutingTable &Table;
  const RequestShape &Request;
  const Eligible &Targets;
  uint64_t Seed;
  /// May be null.
  std::vector<CandidateScore> *Scores;
  /// Computed when the first target without measurements is scored.
  mutable std::optional<PeerSpeeds> Peers = {};

  Result<Choice> operator()(const RandomPolicy &) const {
    return withEstimate(*Targets[splitMix64(Seed) % Targets.size()]);
  }

  Result<Choice> operator()(const RoundRobinPolicy &Settings) const {
    const uint64_t Index =
        Settings.Next->fetch_add(1, std::memory_order_relaxed);
    return withEstimate(*Targets[Index % Targets.size()]);
  }

  Result<Choice> operator()(const LeastLoadedPolicy &) const {
    return withEstimate(
        **std::ranges::min_element(Targets, {}, [](const TargetView *Target) {
          const TargetLoad Load = Target->Gauge->reported();
          return std::pair(Load.prefillTotal() + Load.DecodeTokensWaiting,
                           Load.RunningSequences + Load.WaitingRequests);
        }));
  }

  Result<Choice> operator()(const FigliftPolicy &Settings) const {
    const ScoredChoice Best = best(Settings, candidates(Settings));
    if (!Settings.EarlyRefusal || acceptable(Best))
      return Best.Chosen;
    // The candidates are a sample; work is refused only if none of all targets
    // can accept it.
    const ScoredChoice Overall = best(Settings, Targets);
    if (acceptable(Overall))
      return Overall.Chosen;
    return refusalFor(Overall);
  }

private:
  struct ScoredChoice {
    Choice Chosen;
    microseconds Cost = microseconds::max();
    bool QueueFull = false;
    bool TooLate = false;
    microseconds UntilQueueHasRoom{0};
  };

  Result<Choice> withEstimate(const TargetView &Target) const {
    const WaitEstimate Estimate = estimateWait(
        FigliftPolicy{}, Target, Target.Gauge->reported(), Request);
    return Choice{&Target, Estimate.Wait, Estimate.Total,
                  Estimate.PrefixTokensSaved, Estimate.ExpectedCachedTokens};
  }

  static bool acceptable(const ScoredChoice &Candidate) {
    return !Candidate.QueueFull && !Candidate.TooLate;
  }

  uint64_t affinityKey() const {
    const uint64_t Key = rendezvousKey(Request.Workspace);
    return Request.PrefixHashes.empty() ? Key
                                        : Key ^ Request.PrefixHashes.front();
  }

  Eligible candidates(const FigliftPolicy &Settings) const {
    const size_t MaximumCandidates =
        Settings.RandomCandidates +
        (Settings.PrefixAwareness ? Settings.RendezvousCandidates + 1 : 0);
    if (Targets.size() <= MaximumCandidates)
      return Targets;
    Eligible Chosen;
    if (Settings.PrefixAwareness) {
      addRendezvous(Chosen, Settings.RendezvousCandidates);
      addLongestPrefix(Chosen);
    }
    addRandom(Chosen, Settings.RandomCandidates);
    return Chosen;
  }

  static void add(Eligible &Chosen, const TargetView *Target) {
    if (std::ranges::find(Chosen, Target) == Chosen.end())
      Chosen.push_back(Target);
  }

  void addRendezvous(Eligible &Chosen, size_t Count) const {
    const uint64_t Key = affinityKey();
    std::vector<std::pair<uint64_t, const TargetView *>> Ranked;
    Ranked.reserve(Targets.size());
    for (const TargetView *Target : Targets)
      Ranked.emplace_back(rendezvousWeight(Key, Target->Id), Target);
    Count = std::min(Count, Ranked.size());
    const auto Middle = Ranked.begin() + static_cast<std::ptrdiff_t>(Count);
    std::ranges::partial_sort(Ranked, Middle, std::ranges::greater{});
    for (size_t I = 0; I < Count; ++I)
      add(Chosen, Ranked[I].second);
  }

  void addLongestPrefix(Eligible &Chosen) const {
    if (Request.PrefixHashes.empty())
      return;
    size_t Longest = 0;
    std::vector<const TargetView *> Holders;
    for (const TargetView *Target : Targets) {
      const size_t Blocks = Target->cachedBlocks(Request.PrefixHashes);
      if (Blocks == 0 || Blocks < Longest)
        continue;
      if (Blocks > Longest)
        Holders.clear();
      Longest = Blocks;
      Holders.push_back(Target);
    }
    if (!Holders.empty())
      add(Chosen, Holders[splitMix64(Seed ^ Longest) % Holders.size()]);
  }

  /// Picks half of the random candidates, rounded up, from the entry's zone.
  void addRandom(Eligible &Chosen, size_t Count) const {
    Eligible OwnZone;
    std::ranges::copy_if(Targets, std::back_inserter(OwnZone),
                         [&](const TargetView *Target) {
                           return Target->Zone == Table.ownZone();
                         });
    uint64_t Random = Seed;
    for (size_t I = 0; I < Count; ++I) {
      Random = splitMix64(Random);
      const bool Near = !OwnZone.empty() && I < (Count + 1) / 2;
      const Eligible &Pool = Near ? OwnZone : Targets;
      add(Chosen, Pool[Random % Pool.size()]);
    }
  }

  ScoredChoice score(const FigliftPolicy &Settings,
                     const TargetView &Target) const {
    const TargetLoad Load = Settings.InFlightCorrection
                                ? Target.Gauge->corrected()
                                : Target.Gauge->reported();
    const bool Measured =
        Load.PrefillTokensPerSecond > 0 && Load.DecodeTokensPerSecond > 0;
    const WaitEstimate Estimate =
        estimateWait(Settings, Target, Load, Request,
                     Measured ? PeerSpeeds() : peerSpeeds());
    ScoredChoice Result;
    Result.Chosen = {&Target, Estimate.Wait, Estimate.Total,
                     Estimate.PrefixTokensSaved, Estimate.ExpectedCachedTokens};
    Result.Cost = Estimate.Total + fullBatchPenalty(Settings, Load, Estimate);
    if (Target.Zone != Table.ownZone())
      Result.Cost += Settings.OtherZonePenalty;
    checkLimits(Settings, Load, Estimate, Result);
    return Result;
  }

  static microseconds fullBatchPenalty(const FigliftPolicy &Settings,
                                       const TargetLoad &Load,
                                       const WaitEstimate &Estimate) {
    const double Slots = Load.MaximumSequences > 0
                             ? Load.MaximumSequences
                             : Settings.AssumedMaximumSequences;
    const double Occupancy =
        std::min(1.0, (Load.RunningSequences + Load.WaitingRequests) / Slots);
    const microseconds Decode = Estimate.Total - Estimate.Wait;
    return std::chrono::duration_cast<microseconds>(
        Decode * (Settings.FullBatchDecodeFactor * Occupancy));
  }

  /// Speeds assumed for a target that has no measurements yet. If it were
  /// assumed to be much slower than its peers, it would get no work and never
  /// measure its speed.
  const PeerSpeeds &peerSpeeds() const {
    if (Peers)
      return *Peers;
    Peers.emplace();
    Mean Prefill;
    Mean Decode;
    for (const TargetView &Peer : Table.targets(Request.BackEnd)) {
      const TargetLoad Load = Peer.Gauge->reported();
      Prefill.add(Load.PrefillTokensPerSecond);
      if (Load.MaximumSequences > 0)
        Decode.add(Load.DecodeTokensPerSecond / Load.MaximumSequences);
    }
    Peers->PrefillTokensPerSecond = Prefill.value();
    Peers->DecodeTokensPerSequence = Decode.value();
    return *Peers;
  }

  void checkLimits(const FigliftPolicy &Settings, const TargetLoad &Load,
                   const WaitEstimate &Estimate, ScoredChoice &Result) const {
    const auto Class = static_cast<size_t>(Request.Class);
    const uint64_t Bound = Table.bounds(Request.BackEnd)[Class];
    // An empty queue accepts a prompt of any length.
    const uint64_t Waiting = Settings.ClassPriorities
                                 ? Load.PrefillTokensWaiting[Class]
                                 : Load.prefillTotal();
    Result.QueueFull =
        Waiting > 0 &&
        Waiting + Request.PromptTokens - Estimate.PrefixTokensSaved > Bound;
    if (Result.QueueFull)
      Result.UntilQueueHasRoom =
          timeUntilQueueHasRoom(Settings, Load, Waiting, Bound);
    Result.TooLate = Estimate.Measured && Request.TimeLeft &&
                     Estimate.Total > *Request.TimeLeft;
  }

  microseconds timeUntilQueueHasRoom(const FigliftPolicy &Settings,
                                     const TargetLoad &Load, uint64_t Waiting,
                                     uint64_t Bound) const {
    const double Rate = Load.PrefillTokensPerSecond > 0
                            ? Load.PrefillTokensPerSecond
                            : Settings.AssumedPrefillTokensPerSecond;
    const uint64_t Room =
        Bound > Request.PromptTokens ? Bound - Request.PromptTokens : 0;
    const double Excess = Waiting > Room ? Waiting - Room : 0;
    return microseconds(static_cast<int64_t>(Excess / Rate * 1e6));
  }

  /// Returns the target with the least cost, acceptable targets first.
  ScoredChoice best(const FigliftPolicy &Settings,
                    const Eligible &Candidates) const {
    std::vector<ScoredChoice> All;
    All.reserve(Candidates.size());
    uint32_t MostExpectedTokens = 0;
    for (const TargetView *Target : Candidates) {
      All.push_back(score(Settings, *Target));
      MostExpectedTokens =
          std::max(MostExpectedTokens, All.back().Chosen.ExpectedCachedTokens);
    }
    for (ScoredChoice &Candidate : All)
      Candidate.Cost +=
          evictionPenalty(Settings, Candidate.Chosen, MostExpectedTokens);
    if (Scores)
      reportScores(All);
    return *std::ranges::min_element(
        All, {}, [](const ScoredChoice &Candidate) {
          return std::pair(!acceptable(Candidate), Candidate.Cost);
        });
  }

  void reportScores(const std::vector<ScoredChoice> &All) const {
    Scores->clear();
    for (const ScoredChoice &Candidate : All) {
      const TargetLoad Load = Candidate.Chosen.Target->Gauge->corrected();
      Scores->push_back(
          {Candidate.Chosen.Target->Id, Candidate.Chosen.ExpectedWait,
           Candidate.Chosen.ExpectedTotal, Candidate.Cost,
           acceptable(Candidate), Load.RunningSequences + Load.WaitingRequests,
           Load.PrefillTokensPerSecond, Load.DecodeTokensPerSecond});
    }
  }

  static microseconds evictionPenalty(const FigliftPolicy &Settings,
                                      const Choice &Chosen,
                                      uint32_t MostExpectedTokens) {
    const double Rate = Chosen.Target->Gauge->reported().PrefillTokensPerSecond;
    const double Missing = MostExpectedTokens - Chosen.ExpectedCachedTokens;
    return microseconds(static_cast<int64_t>(
        Settings.EvictionCostFactor * Missing * 1e6 /
        (Rate > 0 ? Rate : Settings.AssumedPrefillTokensPerSecond)));
  }

  Result<Choice> refusalFor(const ScoredChoice &Best) const {
    if (Best.QueueFull)
      return makeRefusal(ResultCode::Overloaded,
                         "every target's queue of this class is full",
                         Best.UntilQueueHasRoom);
    return makeRefusal(ResultCode::DeadlineUnreachable,
                       "no target is expected to finish before the deadline",
                       Best.Chosen.ExpectedTotal - *Request.TimeLeft);
  }
};

} // namespace

InFlightTicket Choice::startTracking(const RequestShape &Request) const {
  const uint32_t Prefill =
      std::max<uint32_t>(Request.PromptTokens - ExpectedPrefixTokensSaved, 1);
  Target->Gauge->recentPrefixes().add(Request.PrefixHashes);
  return {Target->Gauge, {Request.Class, Prefill, Request.MaximumTokens}};
}

Result<Choice> chooseTarget(const Policy &Routing, const RoutingTable &Table,
                            const RequestShape &Request,
                            std::span<const std::string> Excluded,
                            uint64_t RandomSeed,
                            std::vector<CandidateScore> *Scores) {
  if (Table.targets(Request.BackEnd).empty())
    return makeRefusal(ResultCode::NoTargetAvailable,
                       "no target of the back end is known",
                       RetryWithoutTarget);
  const Eligible Targets = eligibleTargets(Table, Request, Excluded);
  if (Targets.empty())
    return makeRefusal(ResultCode::NoTargetAvailable,
                       "no target of the back end takes this work now",
                       RetryWithoutTarget);
  return std::visit(Chooser{Table, Request, Targets, RandomSeed, Scores},
                    Routing);
}

} // namespace figlift::route
