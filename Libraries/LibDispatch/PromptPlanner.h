//===- PromptPlanner.h - Places prompts on engines --------------*- C++ -*-===//
//
// Chooses for each request between prefill on a prefill engine followed by
// decode on a decode engine, both on one decode engine, and rejection. The
// choice depends on when the first token would reach the caller and on the
// engine time that the request costs.
//
// A request whose first token cannot arrive in time is rejected before any work
// starts. Otherwise, in a burst, engines prefill prompts whose callers have
// already disconnected, and every request is late. The symptom is a high share
// of prompts that are prefilled but never decoded.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/EngineCosts.h"
#include "LibDispatch/LoadTracker.h"
#include "LibDispatch/StreamPaces.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace figlift::dispatch {

struct PromptRequest {
  Prompt Input;
  std::string Service;
  /// Longest pause between events for which the stream is on time; empty if
  /// the route has none.
  std::optional<std::chrono::milliseconds> AllowedPause;
  /// Expected time from the first token to the last.
  Milliseconds GenerationTime{0};
  /// Time until the first event would miss the latency target.
  Milliseconds TimeToLatencyTarget{0};
  /// Time until the request's deadline.
  Milliseconds TimeLeft{0};
  /// Latency target of the route.
  Milliseconds LatencyTarget{0};
  /// Shortest pause between events that any stream of the service allows.
  Milliseconds EventGap{200};
  /// Current start lag of the service and route: how much later than planned
  /// their answers begin.
  Milliseconds ExpectedStartLag{0};
  /// Scheduling priority at engines; empty if none is sent. Engines admit the
  /// request before work that is less urgent.
  std::optional<unsigned> EnginePriority;
  /// Time within the latency target that engines will need for more urgent
  /// requests which have not arrived yet; see CapacityReserve.h.
  Milliseconds Reserve{0};
  /// Whether a prompt that waits at every prefill engine may be prefilled at a
  /// decode engine; see PrefillSpill.h.
  bool MaySpill = false;
  /// Targets that failed this request or must not receive it.
  std::vector<std::string> Excluded;
  /// Uniform in [0, 1).
  double Draw = 0;
  /// An ejected engine may be chosen if there is no other.
  bool MayUseEjected = true;
  /// The stream has begun. It is placed wherever it can run: a rejection would
  /// cut it.
  bool HasBegun = false;
};

/// Planned times of a prefill, against which the actual time is compared.
struct PrefillPlan {
  engine::PrefillSize Size;
  /// Time in the engine's queue.
  Milliseconds Wait{0};
  /// Engine time of the computation.
  Milliseconds Compute{0};
  /// Transfer time of the fetched parts, computed from their size and the link.
  Milliseconds NominalTransfer{0};
};

/// Prefill on one engine. The decode engine is chosen when prefill has ended.
struct PrefillThenDecode {
  std::string PrefillTarget;
  /// Engine to fetch shared parts from before prefill; empty for none.
  std::string FetchFrom;
  /// Engine time of the prefill.
  Milliseconds Cost{0};
  /// Time until the prefill ends.
  Milliseconds Expected{0};
  /// Time until the first event reaches the caller.
  Milliseconds FirstEvent{0};
  PrefillPlan Prefill;
};
/// Decode, either after a prefill on another engine or including the prefill.
struct DecodePlan {
  std::string DecodeTarget;
  /// Engine to fetch shared parts from if the prompt is prefilled on the decode
  /// engine; empty for none.
  std::string FetchFrom;
  Milliseconds Cost{0};
  /// Time until the first event reaches this process.
  Milliseconds Expected{0};
  /// Prefill on the decode engine. After a prefill on another engine this holds
  /// only the queue time and the transfer of the KV cache.
  PrefillPlan Prefill;
  /// The prompt would wait longer at every prefill engine.
  bool Spilled = false;
};
struct Rejection {
  std::string_view Reason;
  Milliseconds FirstEvent{0};
  std::chrono::milliseconds RetryAfter{0};
  /// No engine may take the request, however long its caller waits.
  bool NoneAvailable = false;
  /// There would be time for the request without the more urgent ones that are
  /// expected.
  bool IsForMoreUrgent = false;
};
using PromptPlan = std::variant<PrefillThenDecode, DecodePlan, Rejection>;

struct PromptPlannerOptions {
  /// Share of the time to the latency target that a plan may use. The rest
  /// covers load that the estimate does not include (the newest work of peers).
  double LatencyTargetShare = 0.9;
  /// A prompt that misses the latency target because of its size may still wait
  /// for this share of the target: rejecting all of them would starve the
  /// largest prompts.
  double LargePromptWaitShare = 0.35;
  /// Share of the time to the deadline that a plan may use.
  double DeadlineShare = 0.7;
  /// Weight of engine time against waiting time in the score of an engine:
  /// engine time spent on repeated work is missing for the requests behind.
  double EngineTimeWeight = 1;
  /// Engines whose scores differ by less than this share of the latency target
  /// count as equal, and the home of the subject decides. The estimate is no
  /// more precise than that, and with a smaller margin many processes with the
  /// same outdated view would all move to the same engine. A margin of 30 ms
  /// for a target of 120 ms earned 0.610 and 0.765 of the value of all requests
  /// in two loads; a margin of 3 ms earned 0.598 and 0.742.
  double HomeMarginShare = 0.25;
  /// A prompt whose prefill would delay the streams of a decode engine by more
  /// than this share of their event gap goes to a prefill engine if one is
  /// available. An event carries several tokens, each of which a prefill
  /// delays, and delayed streams hold their slots longer. In a load with bursts
  /// this earned 0.80 of its value, against 0.69 without the limit. With 0.022
  /// prompts overload the prefill engines and 0.03 less is earned in two loads;
  /// 0.07 is no better than 0.04.
  double PrefillGapShare = 0.04;
  /// The same for a prompt that waits at every prefill engine.
  double SpillGapShare = 0.25;
  /// Such a prompt goes to a decode engine if its first event is earlier there
  /// by more than this share of the latency target.
  double SpillGainShare = 0.1;
  /// A target with at least this share of failed work is avoided. The share
  /// decays with the half-life of the load tracker.
  double MaximumFailureShare = 0.25;
  /// Bounds of the retry delay sent to rejected callers. Bursts last seconds,
  /// so a caller that returns within a burst is rejected again. Under heavy
  /// load 35 in 1,000 requests are finally rejected with these bounds, and 44
  /// with 150 ms to 1.5 s.
  std::chrono::milliseconds MinimumRetryAfter{600};
  std::chrono::milliseconds MaximumRetryAfter{3000};
  /// Number of intervals from which on a stream has the longest pause that is
  /// expected of its engine. A shorter stream has it less often.
  double IntervalsOfLongestPause = 15;
  /// The penalty of an engine grows with this power of the ratio between the
  /// expected longest and the allowed pause. At half of the allowed pause it is
  /// a twentieth of the latency target, at the allowed pause all of it.
  double PausePenaltyExponent = 4;
  /// Upper bound of the penalty in latency targets. An engine at which every
  /// stream is late is still better than none.
  double MaximumPausePenalty = 4;
};

class PromptPlanner {
public:
  PromptPlanner(PromptPlannerOptions Options, LoadTracker &Loads,
                const StreamPaces &Paces);

  /// \p Engines are the targets of the service that accept new work.
  PromptPlan plan(const PromptRequest &Request,
                  std::span<const Target *const> Engines,
                  const EngineCosts &Costs, BootTime Now) const;

  /// Chooses the decode engine for a prompt that \p PrefillTarget has
  /// prefilled. Empty if no engine is available.
  std::optional<DecodePlan>
  chooseDecodeTarget(const PromptRequest &Request, const Target *PrefillTarget,
                     std::span<const Target *const> Engines,
                     const EngineCosts &Costs, BootTime Now) const;

private:
  /// Prefill of a prompt on one engine.
  struct Candidate {
    const Target *Engine = nullptr;
    /// Engine that sends the parts that are not cached; null for none.
    const Target *FetchSource = nullptr;
    PrefillPlan Prefill;
    /// Time to compute and fetch.
    Milliseconds Cost{0};
    Milliseconds score(double EngineTimeWeight) const {
      return Prefill.Wait + Cost * (1 + EngineTimeWeight);
    }
    std::string fetchSourceId() const {
      return FetchSource ? FetchSource->Id : std::string();
    }
  };

  /// The leading part of a prompt that an engine does not compute.
  struct PrefixSource {
    uint32_t Tokens = 0;
    /// Engine that sends the tokens that are not cached; null for none.
    const Target *FetchSource = nullptr;
    uint32_t FetchedTokens = 0;
  };

  /// An engine that caches leading parts of the prompt.
  struct CachedPrefix {
    const Target *Engine = nullptr;
    uint32_t Tokens = 0;
  };
  std::vector<CachedPrefix>
  cachedPrefixes(const PromptRequest &Request,
                 std::span<const Target *const> Engines) const;

  PrefixSource cheapestPrefix(const PromptRequest &Request,
                              const Target &Destination,
                              std::span<const CachedPrefix> Prefixes,
                              const EngineCosts &Costs, BootTime Now) const;
  Candidate prefillCandidate(const PromptRequest &Request,
                             const Target &Destination,
                             std::span<const CachedPrefix> Prefixes,
                             const EngineCosts &Costs, Milliseconds Wait,
                             double Slowness, BootTime Now) const;
  /// Whether targets with recent failures are considered. They are used only
  /// when there is no other target: if all engines fail part of their work, any
  /// of them is better than a rejection.
  enum class HealthFilter { Healthy, Any };
  bool usable(const Target &Engine, const PromptRequest &Request,
              HealthFilter Filter, BootTime Now) const;
  std::optional<Candidate>
  bestPrefillTarget(const PromptRequest &Request,
                    std::span<const Target *const> Engines,
                    std::span<const CachedPrefix> Prefixes,
                    const EngineCosts &Costs, BootTime Now) const;
  /// Best decode engine for both prefill and decode.
  std::optional<Candidate> bestSingleTarget(
      const PromptRequest &Request, std::span<const Target *const> Engines,
      std::span<const CachedPrefix> Prefixes, const EngineCosts &Costs,
      HealthFilter Filter, BootTime Now) const;
  /// Loss that is expected from pauses of the stream at \p Engine, as a time
  /// that compares with a wait for the first event.
  Milliseconds pausePenalty(const PromptRequest &Request, const Target &Engine,
                            BootTime Now) const;
  /// Time until a slot is free. \p ExpectedArrivals: number of work items that
  /// will arrive at the engine before this request.
  Milliseconds slotWait(const PromptRequest &Request, const Target &Engine,
                        const EngineTraits &Traits, double ExpectedArrivals,
                        BootTime Now) const;
  /// Number of prompts in prefill for each decode engine that are as urgent as
  /// \p Request or more.
  double expectedDecodes(const PromptRequest &Request,
                         std::span<const Target *const> Engines,
                         BootTime Now) const;
  /// Planned time of the prefills at \p Engine that are as urgent as
  /// \p Request or more.
  Milliseconds prefillBacklog(const PromptRequest &Request,
                              const Target &Engine, BootTime Now) const;
  std::optional<DecodePlan>
  bestDecodeTarget(const PromptRequest &Request, const Target *PrefillTarget,
                   std::span<const Target *const> Engines,
                   const EngineCosts &Costs, double ExpectedArrivals,
                   HealthFilter Filter, BootTime Now) const;
  bool admits(const PromptRequest &Request, Milliseconds Wait,
              Milliseconds FirstEvent) const;
  bool isInTime(const PromptRequest &Request, Milliseconds Wait,
                Milliseconds FirstEvent) const;
  /// Whether the engines have time for the request besides that for the work
  /// ahead of it and for more urgent requests that will arrive.
  bool leavesReserve(const PromptRequest &Request, Milliseconds Wait) const;
  /// Whether \p Single should prefill the prompt although it is large: its
  /// first event is clearly earlier, and streams are delayed little.
  bool spills(const PromptRequest &Request, const Candidate &Single,
              Milliseconds SingleFirstEvent, Milliseconds SplitWait,
              Milliseconds SplitFirstEvent) const;
  Rejection reject(const PromptRequest &Request, std::string_view Reason,
                   Milliseconds FirstEvent) const;

  PromptPlannerOptions m_Options;
  LoadTracker &m_Loads;
  const StreamPaces &m_Paces;
};

} // namespace figlift::dispatch
