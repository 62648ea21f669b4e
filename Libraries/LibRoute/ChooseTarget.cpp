//===- ChooseTarget.cpp - The target of one attempt -------------*- C++ -*-===//
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

/// splitmix64: turns neighbouring seeds into independent numbers.
uint64_t scramble(uint64_t Value) {
  Value += 0x9e3779b97f4a7c15;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111eb;
  return Value ^ (Value >> 31);
}

Result<Choice> refuse(ResultCode Code, std::string Message,
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

/// Of values above 0; 0 without any.
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

/// Chooses for one policy; \p Targets is never empty.
struct Chooser {
  const RoutingTable &Table;
  const RequestShape &Request;
  const Eligible &Targets;
  uint64_t Seed;
  /// May be null.
  std::vector<Considered> *Account;
  /// Absent until a target is met that has not measured its own.
  mutable std::optional<PeerSpeeds> Peers = {};

  Result<Choice> operator()(const RandomPolicy &) const {
    return describe(*Targets[scramble(Seed) % Targets.size()]);
  }

  Result<Choice> operator()(const RoundRobinPolicy &Settings) const {
    const uint64_t Turn =
        Settings.Next->fetch_add(1, std::memory_order_relaxed);
    return describe(*Targets[Turn % Targets.size()]);
  }

  Result<Choice> operator()(const LeastLoadedPolicy &) const {
    return describe(
        **std::ranges::min_element(Targets, {}, [](const TargetView *Target) {
          const TargetLoad Load = Target->Gauge->reported();
          return std::pair(Load.prefillTotal() + Load.DecodeTokensWaiting,
                           Load.RunningSequences + Load.WaitingRequests);
        }));
  }

  Result<Choice> operator()(const FigliftPolicy &Settings) const {
    const Scored Best = best(Settings, candidates(Settings));
    if (!Settings.EarlyRefusal || acceptable(Best))
      return Best.Chosen;
    // The candidates are a sample; work is refused only when no target at all
    // can take it.
    const Scored Overall = best(Settings, Targets);
    if (acceptable(Overall))
      return Overall.Chosen;
    return refusal(Overall);
  }

private:
  struct Scored {
    Choice Chosen;
    microseconds Cost = microseconds::max();
    bool QueueFull = false;
    bool TooLate = false;
    microseconds UntilQueueDrains{0};
  };

  Result<Choice> describe(const TargetView &Target) const {
    const WaitEstimate Estimate = estimateWait(
        FigliftPolicy{}, Target, Target.Gauge->reported(), Request);
    return Choice{&Target, Estimate.Wait, Estimate.Total,
                  Estimate.PrefixTokensSaved, Estimate.PrefixTokensBelieved};
  }

  static bool acceptable(const Scored &One) {
    return !One.QueueFull && !One.TooLate;
  }

  uint64_t affinityKey() const {
    const uint64_t Key = rendezvousKey(Request.Workspace);
    return Request.PrefixHashes.empty() ? Key
                                        : Key ^ Request.PrefixHashes.front();
  }

  Eligible candidates(const FigliftPolicy &Settings) const {
    const size_t Wanted =
        Settings.RandomCandidates +
        (Settings.PrefixAwareness ? Settings.RendezvousCandidates + 1 : 0);
    if (Targets.size() <= Wanted)
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
      add(Chosen, Holders[scramble(Seed ^ Longest) % Holders.size()]);
  }

  /// Half of the random candidates, rounded up, come from the entry's zone.
  void addRandom(Eligible &Chosen, size_t Count) const {
    Eligible OwnZone;
    std::ranges::copy_if(Targets, std::back_inserter(OwnZone),
                         [&](const TargetView *Target) {
                           return Target->Zone == Table.ownZone();
                         });
    uint64_t Random = Seed;
    for (size_t I = 0; I < Count; ++I) {
      Random = scramble(Random);
      const bool Near = !OwnZone.empty() && I < (Count + 1) / 2;
      const Eligible &Pool = Near ? OwnZone : Targets;
      add(Chosen, Pool[Random % Pool.size()]);
    }
  }

  Scored score(const FigliftPolicy &Settings, const TargetView &Target) const {
    const TargetLoad Load = Settings.InFlightCorrection
                                ? Target.Gauge->corrected()
                                : Target.Gauge->reported();
    const bool Measured =
        Load.PrefillTokensPerSecond > 0 && Load.DecodeTokensPerSecond > 0;
    const WaitEstimate Estimate =
        estimateWait(Settings, Target, Load, Request,
                     Measured ? PeerSpeeds() : peerSpeeds());
    Scored Result;
    Result.Chosen = {&Target, Estimate.Wait, Estimate.Total,
                     Estimate.PrefixTokensSaved, Estimate.PrefixTokensBelieved};
    Result.Cost = Estimate.Total + crowding(Settings, Load, Estimate);
    if (Target.Zone != Table.ownZone())
      Result.Cost += Settings.OtherZonePenalty;
    judge(Settings, Load, Estimate, Result);
    return Result;
  }

  static microseconds crowding(const FigliftPolicy &Settings,
                               const TargetLoad &Load,
                               const WaitEstimate &Estimate) {
    const double Places = Load.MaximumSequences > 0
                              ? Load.MaximumSequences
                              : Settings.AssumedMaximumSequences;
    const double Taken =
        std::min(1.0, (Load.RunningSequences + Load.WaitingRequests) / Places);
    const microseconds Decode = Estimate.Total - Estimate.Wait;
    return std::chrono::duration_cast<microseconds>(
        Decode * (Settings.CrowdedDecodeFactor * Taken));
  }

  /// A target that has measured nothing is as fast as its peers until it says
  /// otherwise. Taken for much slower it gets no work, and so never measures.
  const PeerSpeeds &peerSpeeds() const {
    if (Peers)
      return *Peers;
    Peers.emplace();
    Mean Prefill;
    Mean Decode;
    for (const TargetView &Each : Table.targets(Request.BackEnd)) {
      const TargetLoad Load = Each.Gauge->reported();
      Prefill.add(Load.PrefillTokensPerSecond);
      if (Load.MaximumSequences > 0)
        Decode.add(Load.DecodeTokensPerSecond / Load.MaximumSequences);
    }
    Peers->PrefillTokensPerSecond = Prefill.value();
    Peers->DecodeTokensPerSequence = Decode.value();
    return *Peers;
  }

  void judge(const FigliftPolicy &Settings, const TargetLoad &Load,
             const WaitEstimate &Estimate, Scored &Result) const {
    const auto Class = static_cast<size_t>(Request.Class);
    const uint64_t Bound = Table.bounds(Request.BackEnd)[Class];
    // An empty queue takes any prompt, however long.
    const uint64_t Waiting = Settings.ClassPriorities
                                 ? Load.PrefillTokensWaiting[Class]
                                 : Load.prefillTotal();
    Result.QueueFull =
        Waiting > 0 &&
        Waiting + Request.PromptTokens - Estimate.PrefixTokensSaved > Bound;
    if (Result.QueueFull)
      Result.UntilQueueDrains = untilDrained(Settings, Load, Waiting, Bound);
    Result.TooLate = Estimate.Measured && Request.TimeLeft &&
                     Estimate.Total > *Request.TimeLeft;
  }

  microseconds untilDrained(const FigliftPolicy &Settings,
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

  /// Targets that can take the work go before those that cannot.
  Scored best(const FigliftPolicy &Settings, const Eligible &Among) const {
    std::vector<Scored> All;
    All.reserve(Among.size());
    uint32_t MostBelieved = 0;
    for (const TargetView *Target : Among) {
      All.push_back(score(Settings, *Target));
      MostBelieved =
          std::max(MostBelieved, All.back().Chosen.PrefixTokensBelieved);
    }
    for (Scored &One : All)
      One.Cost += displacement(Settings, One.Chosen, MostBelieved);
    if (Account)
      account(All);
    return *std::ranges::min_element(All, {}, [](const Scored &One) {
      return std::pair(!acceptable(One), One.Cost);
    });
  }

  void account(const std::vector<Scored> &All) const {
    Account->clear();
    for (const Scored &One : All) {
      const TargetLoad Load = One.Chosen.Target->Gauge->corrected();
      Account->push_back({One.Chosen.Target->Id, One.Chosen.ExpectedWait,
                          One.Chosen.ExpectedTotal, One.Cost, acceptable(One),
                          Load.RunningSequences + Load.WaitingRequests,
                          Load.PrefillTokensPerSecond,
                          Load.DecodeTokensPerSecond});
    }
  }

  static microseconds displacement(const FigliftPolicy &Settings,
                                   const Choice &Chosen,
                                   uint32_t MostBelieved) {
    const double Rate = Chosen.Target->Gauge->reported().PrefillTokensPerSecond;
    const double Missing = MostBelieved - Chosen.PrefixTokensBelieved;
    return microseconds(static_cast<int64_t>(
        Settings.DisplacementFactor * Missing * 1e6 /
        (Rate > 0 ? Rate : Settings.AssumedPrefillTokensPerSecond)));
  }

  Result<Choice> refusal(const Scored &Best) const {
    if (Best.QueueFull)
      return refuse(ResultCode::Overloaded,
                    "every target's queue of this class is full",
                    Best.UntilQueueDrains);
    return refuse(ResultCode::DeadlineUnreachable,
                  "no target is expected to finish before the deadline",
                  Best.Chosen.ExpectedTotal - *Request.TimeLeft);
  }
};

} // namespace

InFlightTicket Choice::enter(const RequestShape &Request) const {
  const uint32_t Prefill =
      std::max<uint32_t>(Request.PromptTokens - ExpectedPrefixTokensSaved, 1);
  Target->Gauge->recentPrefixes().add(Request.PrefixHashes);
  return {Target->Gauge, {Request.Class, Prefill, Request.MaximumTokens}};
}

Result<Choice> chooseTarget(const Policy &Which, const RoutingTable &Table,
                            const RequestShape &Request,
                            std::span<const std::string> Excluded,
                            uint64_t RandomSeed,
                            std::vector<Considered> *Account) {
  if (Table.targets(Request.BackEnd).empty())
    return refuse(ResultCode::NoTargetAvailable,
                  "no target of the back end is known", RetryWithoutTarget);
  const Eligible Targets = eligibleTargets(Table, Request, Excluded);
  if (Targets.empty())
    return refuse(ResultCode::NoTargetAvailable,
                  "no target of the back end takes this work now",
                  RetryWithoutTarget);
  return std::visit(Chooser{Table, Request, Targets, RandomSeed, Account},
                    Which);
}

} // namespace figlift::route
