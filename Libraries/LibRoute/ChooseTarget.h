//===- ChooseTarget.h - The target of one attempt ---------------*- C++ -*-===//
//
// Pure: everything it looks at is passed in. Called on many threads at once,
// inside a read-side critical section of the routing table.
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

/// What routing needs to know of a request.
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
  /// No other target is looked at; empty: any.
  std::string OnlyTarget;
  /// Time left until the caller needs the whole answer.
  std::optional<std::chrono::milliseconds> TimeLeft;
};

struct Choice {
  /// Lives as long as the table; keep the gauge, not the view, with an attempt.
  const TargetView *Target = nullptr;
  /// Until the first token (the whole answer, for a plain service).
  std::chrono::microseconds ExpectedWait{0};
  /// Until the last token.
  std::chrono::microseconds ExpectedTotal{0};
  uint32_t ExpectedPrefixTokensSaved = 0;
  /// Prompt tokens that the target is believed to hold, for
  /// TargetGauge::learnHit(); the savings above are discounted by its trust.
  uint32_t PrefixTokensBelieved = 0;

  /// Enters the attempt into the target's gauge; to be called before it is
  /// sent. Settle the ticket at the attempt's first frame.
  InFlightTicket enter(const RequestShape &Request) const;
};

/// What a choice looked at, to explain it.
struct Considered {
  std::string Target;
  std::chrono::microseconds Wait{0};
  std::chrono::microseconds Total{0};
  /// Wait and total with what they are weighed by; the least is chosen.
  std::chrono::microseconds Cost{0};
  /// Its queue takes the work, and it is expected to end in time.
  bool Acceptable = true;
  /// Sequences that run there or wait, own work in flight included.
  uint32_t Sequences = 0;
  /// As measured there; 0: nothing is.
  double PrefillTokensPerSecond = 0;
  double DecodeTokensPerSecond = 0;
};

/// Chooses among the accepting targets that are not in \p Excluded. Fails with
/// NoTargetAvailable, Overloaded or DeadlineUnreachable, each with
/// RetryAfter. Nothing was sent then, so "not run" is true.
/// \p RandomSeed differs from attempt to attempt. \p Account gets what was
/// weighed, if the policy weighs.
Result<Choice> chooseTarget(const Policy &Which, const RoutingTable &Table,
                            const RequestShape &Request,
                            std::span<const std::string> Excluded,
                            uint64_t RandomSeed,
                            std::vector<Considered> *Account = nullptr);

/// The estimate behind a choice; \p Load decides whether own work in flight is
/// in it.
struct WaitEstimate {
  std::chrono::microseconds Wait{0};
  std::chrono::microseconds Total{0};
  uint32_t PrefixTokensSaved = 0;
  uint32_t PrefixTokensBelieved = 0;
  /// Both rates were measured by the target.
  bool Measured = false;
};
/// Means over a back end's targets that have measured theirs; 0: none has.
struct PeerSpeeds {
  double PrefillTokensPerSecond = 0;
  /// Divided by MaximumSequences.
  double DecodeTokensPerSequence = 0;
};
/// \p Peers stand in for what the target has not measured.
WaitEstimate estimateWait(const FigliftPolicy &Settings,
                          const TargetView &Target, const TargetLoad &Load,
                          const RequestShape &Request,
                          const PeerSpeeds &Peers = {});

} // namespace figlift::route
