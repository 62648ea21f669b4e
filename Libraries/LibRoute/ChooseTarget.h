//===- ChooseTarget.h - Selection of the target of an attempt ---*- C++ -*-===//
//
// Pure function: all of its inputs are passed in. It is called by many threads
// concurrently, inside a read-side critical section of the routing table.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibRoute/Policy.h"
#include "LibRoute/RoutingTable.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::route {

/// Properties of a request that routing depends on.
struct RequestShape {
  std::string BackEnd;
  /// "name", "name@version", or empty for plain services.
  std::string Model;
  std::string Workspace;
  record::ServiceClass Class = record::ServiceClass::Interactive;
  uint32_t PromptTokens = 0;
  uint32_t MaximumTokens = 0;
  /// Hashes of the prompt's whole leading blocks, see prefixHashes().
  std::vector<uint64_t> PrefixHashes;
  /// If not empty, the only target that is considered.
  std::string OnlyTarget;
  /// Time left until the caller needs the complete answer.
  std::optional<std::chrono::milliseconds> TimeLeft;
};

struct Choice {
  /// Valid as long as the table. An attempt that may outlive the table holds
  /// the gauge instead of the view.
  const TargetView *Target = nullptr;
  /// Until the first token (the whole answer, for a plain service).
  std::chrono::microseconds ExpectedWait{0};
  /// Until the last token.
  std::chrono::microseconds ExpectedTotal{0};
  uint32_t ExpectedPrefixTokensSaved = 0;
  /// Prompt tokens that the target's cache is expected to hold, for
  /// TargetGauge::recordCacheHits(). The savings above are this number
  /// multiplied by the target's prefix hit ratio.
  uint32_t ExpectedCachedTokens = 0;

  /// Adds the attempt to the target's gauge; to be called before it is sent.
  /// The ticket is settled at the attempt's first frame.
  InFlightTicket startTracking(const RequestShape &Request) const;
};

/// Estimates for one candidate, for logs that explain a choice.
struct CandidateScore {
  std::string Target;
  std::chrono::microseconds Wait{0};
  std::chrono::microseconds Total{0};
  /// Total with all penalties; the candidate with the least cost is chosen.
  std::chrono::microseconds Cost{0};
  /// Its queue has room for the work, and the work is expected to finish before
  /// the deadline.
  bool Acceptable = true;
  /// Running and waiting sequences, with this entry's work in flight.
  uint32_t Sequences = 0;
  /// As measured by the target; 0 if it has no measurement.
  double PrefillTokensPerSecond = 0;
  double DecodeTokensPerSecond = 0;
};

/// Chooses among the accepting targets that are not in \p Excluded. Fails with
/// NoTargetAvailable, Overloaded or DeadlineUnreachable, each with
/// RetryAfter. Nothing has been sent in these cases, so the request did not
/// run. \p RandomSeed must differ between attempts. \p Scores, if not null,
/// receives the candidates of a policy that compares costs.
Result<Choice> chooseTarget(const Policy &Routing, const RoutingTable &Table,
                            const RequestShape &Request,
                            std::span<const std::string> Excluded,
                            uint64_t RandomSeed,
                            std::vector<CandidateScore> *Scores = nullptr);

/// Expected times of a request on one target.
struct WaitEstimate {
  std::chrono::microseconds Wait{0};
  std::chrono::microseconds Total{0};
  uint32_t PrefixTokensSaved = 0;
  uint32_t ExpectedCachedTokens = 0;
  /// The rates that the request depends on were measured by the target.
  bool Measured = false;
};
/// Mean speeds of the back end's targets that have measured theirs; 0 if none
/// has.
struct PeerSpeeds {
  double PrefillTokensPerSecond = 0;
  /// Divided by MaximumSequences.
  double DecodeTokensPerSequence = 0;
};
/// Estimates the times of \p Request on \p Target under \p Load, which may
/// include this entry's work in flight. \p Peers replaces speeds that the
/// target has not measured.
WaitEstimate estimateWait(const FigliftPolicy &Settings,
                          const TargetView &Target, const TargetLoad &Load,
                          const RequestShape &Request,
                          const PeerSpeeds &Peers = {});

} // namespace figlift::route
