//===- TargetLoad.h - Load of one target as its agent reports it -*- C++
//-*-===//
//
// The numbers that ride on an agent's replies, in memory form. The agent's
// admission book fills them; the entry's routing reads them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibRecord/Record.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace figlift::route {

/// What a target is set up for. Every engine can do all work; a role shifts
/// its batches towards prefill or decode.
enum class Role { Prefill, Decode, Mixed, Service };

std::string_view roleName(Role Which);
/// The role of a name on the wire; unknown names are Mixed, which rules
/// nothing out.
Role roleFromName(std::string_view Name);

inline constexpr size_t ServiceClassCount = 3;

/// Engines process a prompt in pieces of about so many tokens, with a decode
/// step of the running sequences between two of them.
inline constexpr double PrefillChunkTokens = 2048;

struct TargetLoad {
  /// Prompt tokens accepted and not yet processed, by service class. A sender
  /// that knows only the sum puts it under Interactive. A call to a plain
  /// service counts as one token.
  std::array<uint64_t, ServiceClassCount> PrefillTokensWaiting{};
  /// Upper bound of the tokens still to be produced.
  uint64_t DecodeTokensWaiting = 0;
  uint32_t RunningSequences = 0;
  uint32_t WaitingRequests = 0;
  /// Sequences that the target runs at once; 0 means unknown.
  uint32_t MaximumSequences = 0;
  uint64_t KvTokensFree = 0;
  /// Measured, of a target that does nothing else; 0 means that nothing has
  /// been measured yet.
  double PrefillTokensPerSecond = 0;
  /// Likewise at a full batch: MaximumSequences divided by the measured time
  /// of one decode step.
  double DecodeTokensPerSecond = 0;

  /// Prompt tokens that are served before new work of \p Class, its own class
  /// included.
  uint64_t prefillAhead(record::ServiceClass Class) const;
  uint64_t prefillTotal() const;
};

} // namespace figlift::route
