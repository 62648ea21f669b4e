//===- TargetLoad.h - Load of one target as its agent reports it ----------===//
//
// In-memory form of the load that an agent attaches to its replies. The agent's
// admission control fills it, and the entry's routing reads it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibRecord/Record.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace figlift::route {

/// Work that a target is configured for. Every engine can do all kinds of work;
/// a role shifts its batches towards prefill or decode.
enum class Role { Prefill, Decode, Mixed, Service };

std::string_view roleName(Role TargetRole);
/// Parses the name of a role on the wire. Unknown names become Mixed, which
/// excludes no kind of work.
Role roleFromName(std::string_view Name);

inline constexpr size_t ServiceClassCount = 3;

/// Approximate chunk size of prefill. Engines run a decode step of the running
/// sequences between two chunks of a prompt.
inline constexpr double PrefillChunkTokens = 2048;

struct TargetLoad {
  /// Prompt tokens accepted and not yet processed, by service class. A sender
  /// that knows only the sum puts it under Interactive. A call to a plain
  /// service counts as one token.
  std::array<uint64_t, ServiceClassCount> PrefillTokensWaiting{};
  /// Upper bound on the tokens still to be produced.
  uint64_t DecodeTokensWaiting = 0;
  uint32_t RunningSequences = 0;
  uint32_t WaitingRequests = 0;
  /// Sequences that the target runs concurrently; 0 means unknown.
  uint32_t MaximumSequences = 0;
  uint64_t KvTokensFree = 0;
  /// Measured speed of a target that does only prefill; 0 means that there is
  /// no measurement yet.
  double PrefillTokensPerSecond = 0;
  /// Measured speed of a target that does only decode with a full batch:
  /// MaximumSequences divided by the time of one decode step.
  double DecodeTokensPerSecond = 0;

  /// Returns the prompt tokens that are processed before new work of \p Class,
  /// including those of the same class.
  uint64_t prefillAhead(record::ServiceClass Class) const;
  uint64_t prefillTotal() const;
};

} // namespace figlift::route
