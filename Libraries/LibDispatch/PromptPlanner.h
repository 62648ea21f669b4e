//===- PromptPlanner.h - Where a prompt is read and run ---------*- C++ -*-===//
//
// Chooses for one request: read the prompt at a prefill engine and run it at a
// decode engine, run it at a decode engine alone, or refuse it now. The choice
// goes by when the first token would reach the caller, and by the engine time
// that the request takes away from others.
//
// A request whose first token cannot come in time is refused at once and
// before any work: under a burst the engines are otherwise busy with prompts
// whose callers have left, and everyone is late. One sees it as a high share
// of prompts that were read and never run.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/EngineCosts.h"
#include "LibDispatch/LoadTracker.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace figlift::dispatch {

struct PromptRequest {
  Prompt Input;
  /// Time from the first token to the last, as expected.
  Milliseconds GenerationTime{0};
  /// From now to the moment at which the first event is no longer on time.
  Milliseconds TimeToLatencyTarget{0};
  /// From now to the request's end.
  Milliseconds TimeLeft{0};
  /// The route's latency target.
  Milliseconds LatencyTarget{0};
  /// The shortest pause between events that any stream of the service is
  /// allowed, to be on time.
  Milliseconds EventGap{200};
  /// How much later than planned answers of the service began lately.
  Milliseconds ExpectedStartLag{0};
  /// Targets that failed this request or must not get it.
  std::vector<std::string> Excluded;
  /// Uniform in [0, 1).
  double Draw = 0;
};

/// A read as it was planned; its time is measured against this.
struct PrefillPlan {
  engine::PrefillSize Size;
  /// Until the engine turns to it.
  Milliseconds Wait{0};
  /// Engine time of computing it.
  Milliseconds Compute{0};
  /// Transfer of what is fetched first, by its size and the link.
  Milliseconds NominalTransfer{0};
};

/// Read at Reader; where it runs is chosen when the prompt has been read.
struct PrefillThenDecode {
  std::string PrefillTarget;
  /// Engine to fetch shared parts from before reading; empty for none.
  std::string FetchFrom;
  /// Engine time of the read, and time until it ends.
  Milliseconds Cost{0};
  Milliseconds Expected{0};
  /// Until the first event reaches the caller.
  Milliseconds FirstEvent{0};
  PrefillPlan Prefill;
};
struct DecodePlan {
  std::string DecodeTarget;
  /// As above, where the prompt is read at the runner.
  std::string FetchFrom;
  Milliseconds Cost{0};
  /// Until the first event reaches this process.
  Milliseconds Expected{0};
  /// How the runner reads the prompt; of one that was read elsewhere only the
  /// waiting, and the transfer of its KV cache.
  PrefillPlan Prefill;
};
struct Rejection {
  std::string_view Reason;
  Milliseconds FirstEvent{0};
  std::chrono::milliseconds RetryAfter{0};
};
using PromptPlan = std::variant<PrefillThenDecode, DecodePlan, Rejection>;

struct PromptPlannerOptions {
  /// Share of the time to the latency target that a plan may use up; the rest
  /// covers what the estimate does not see (peers' newest work).
  double LatencyTargetShare = 0.9;
  /// A prompt that is late by its size alone may still wait this share of the
  /// target: refusing all of them would starve the largest prompts.
  double LargePromptWaitShare = 0.35;
  /// Share of the time to the deadline that a plan may use up.
  double DeadlineShare = 0.7;
  /// Weight of engine time that a choice costs beyond the cheapest one,
  /// against waiting: work spent twice is missing for the requests behind.
  double EngineTimeWeight = 1;
  /// Engines whose scores differ by less than this share of the latency target
  /// count as equal, and the subject's home decides among them: the estimate
  /// is no finer, and many processes with the same old view would all leave for
  /// the same engine. With a margin of 30 ms for 120 ms in place of 3 ms, the
  /// share of the value of all requests that was earned rose from 0.598 to
  /// 0.610 in one load and from 0.742 to 0.765 in another (two runs each).
  double HomeMarginShare = 0.25;
  /// A prompt that would hold up the streams of a decode engine for more than
  /// this share of the pause that they are allowed is read at a prefill engine,
  /// wherever one takes work. An event carries several tokens, and a read
  /// delays each; streams also hold their slots longer. With all prompts free
  /// to choose by their own time alone, 0.69 of the value of a load with bursts
  /// was earned, with such prompts kept away from decode engines 0.80 (two runs
  /// each). With 0.022 in place of 0.04 prompts crowd the prefill engines, and
  /// 0.03 less was earned in two loads; 0.07 was no better (three runs each).
  double PrefillGapShare = 0.04;
  /// Share of failed work from which a target is left out; it is forgiven with
  /// the half-life of the load book.
  double MaximumFailureShare = 0.25;
  /// Bounds of what a refused caller is told to wait. Bursts last seconds; a
  /// caller who returns within one is refused again. With 150 ms to 1.5 s in
  /// place of these, 44 in 1,000 requests of a heavy load were refused in the
  /// end (three runs), with these 35 (two runs).
  std::chrono::milliseconds MinimumRetryAfter{600};
  std::chrono::milliseconds MaximumRetryAfter{3000};
};

class PromptPlanner {
public:
  PromptPlanner(PromptPlannerOptions Options, LoadTracker &Loads);

  /// \p Engines are the targets of the service that take new work.
  PromptPlan plan(const PromptRequest &Request,
                  std::span<const Target *const> Engines,
                  const EngineCosts &Costs, BootTime Now) const;

  /// Where a prompt runs that \p Reader has read; null if nowhere.
  std::optional<DecodePlan>
  chooseDecodeTarget(const PromptRequest &Request, const Target *PrefillTarget,
                     std::span<const Target *const> Engines,
                     const EngineCosts &Costs, BootTime Now) const;

private:
  /// A prompt as one engine would read it.
  struct Candidate {
    const Target *Engine = nullptr;
    /// Who sends parts that the engine itself does not keep; null for none.
    const Target *FetchSource = nullptr;
    PrefillPlan Prefill;
    /// Computing and fetching.
    Milliseconds Cost{0};
    Milliseconds score(double EngineTimeWeight) const {
      return Prefill.Wait + Cost * (1 + EngineTimeWeight);
    }
    std::string fetchSourceId() const {
      return FetchSource ? FetchSource->Id : std::string();
    }
  };

  /// Where the engine gets the parts of the prompt that it does not compute.
  struct PrefixSource {
    uint32_t Tokens = 0;
    const Target *FetchSource = nullptr;
    /// Tokens that it sends.
    uint32_t FetchedTokens = 0;
  };

  /// An engine that keeps leading parts of the prompt, and their tokens.
  struct CachedPrefix {
    const Target *Engine = nullptr;
    uint32_t Tokens = 0;
  };
  std::vector<CachedPrefix>
  cachedPrefixes(const PromptRequest &Request,
                 std::span<const Target *const> Engines) const;

  PrefixSource cheapestPrefix(const PromptRequest &Request, const Target &At,
                              std::span<const CachedPrefix> Prefixes,
                              const EngineCosts &Costs, BootTime Now) const;
  Candidate prefillCandidate(const PromptRequest &Request, const Target &At,
                             std::span<const CachedPrefix> Prefixes,
                             const EngineCosts &Costs, Milliseconds Wait,
                             double Slowness, BootTime Now) const;
  /// Whether targets that failed lately are looked at. They are when there is
  /// no other: when all engines fail a part of their work, a request does
  /// better at any of them than refused.
  enum class HealthFilter { Healthy, Any };
  bool usable(const Target &Engine, const PromptRequest &Request,
              HealthFilter Filter, BootTime Now) const;
  std::optional<Candidate>
  bestPrefillTarget(const PromptRequest &Request,
                    std::span<const Target *const> Engines,
                    std::span<const CachedPrefix> Prefixes,
                    const EngineCosts &Costs, BootTime Now) const;
  std::optional<Candidate> bestSingleTarget(
      const PromptRequest &Request, std::span<const Target *const> Engines,
      std::span<const CachedPrefix> Prefixes, const EngineCosts &Costs,
      HealthFilter Filter, BootTime Now) const;
  /// \p Coming: pieces of work that will be there before this one.
  Milliseconds slotWait(const Target &Engine, const EngineTraits &Traits,
                        double ExpectedArrivals, BootTime Now) const;
  /// Prompts that are being read, for each engine that may run them.
  double expectedDecodes(std::span<const Target *const> Engines,
                         BootTime Now) const;
  std::optional<DecodePlan>
  bestDecodeTarget(const PromptRequest &Request, const Target *PrefillTarget,
                   std::span<const Target *const> Engines,
                   const EngineCosts &Costs, double ExpectedArrivals,
                   HealthFilter Filter, BootTime Now) const;
  bool admits(const PromptRequest &Request, Milliseconds Wait,
              Milliseconds FirstEvent) const;
  Rejection reject(const PromptRequest &Request, std::string_view Reason,
                   Milliseconds FirstEvent) const;

  PromptPlannerOptions m_Options;
  LoadTracker &m_Loads;
};

} // namespace figlift::dispatch
