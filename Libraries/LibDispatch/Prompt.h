//===- Prompt.h - Size and shared parts of a prompt -------------*- C++ -*-===//
//
// Requests share leading prompt parts. An engine that still holds the KV cache
// of a part does not compute it again.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace figlift::dispatch {

struct PromptPart {
  uint64_t Id = 0;
  uint32_t Tokens = 0;
  bool operator==(const PromptPart &) const = default;
};

struct Prompt {
  uint32_t Tokens = 0;
  /// Maximum number of tokens to generate.
  uint32_t MaximumOutput = 0;
  /// In prompt order. The last part is unique to this request.
  std::vector<PromptPart> Parts;

  /// The parts that other requests may have, too.
  std::span<const PromptPart> sharedParts() const {
    return std::span(Parts).first(Parts.empty() ? 0 : Parts.size() - 1);
  }
  /// The last part that is shared with other requests: the subject of the
  /// request. 0 when there is none.
  uint64_t subject() const {
    return Parts.size() < 2 ? 0 : Parts[Parts.size() - 2].Id;
  }
  /// Number of shared tokens after the first \p CachedTokens tokens.
  uint32_t sharedTokensBeyond(uint32_t CachedTokens) const {
    const uint32_t UniqueTokens = Parts.empty() ? Tokens : Parts.back().Tokens;
    return Tokens > UniqueTokens + CachedTokens
               ? Tokens - UniqueTokens - CachedTokens
               : 0;
  }
};

} // namespace figlift::dispatch
