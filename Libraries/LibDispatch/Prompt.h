//===- Prompt.h - What is known of a request's prompt -----------*- C++ -*-===//
//
// Sizes and parts of a prompt. Requests share leading parts, and an engine
// that still keeps the KV cache of a part does not compute it again.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <vector>

namespace figlift::dispatch {

struct PromptPart {
  uint64_t Id = 0;
  uint32_t Tokens = 0;
  bool operator==(const PromptPart &) const = default;
};

struct Prompt {
  uint32_t Tokens = 0;
  /// Most tokens that may be generated.
  uint32_t MaximumOutput = 0;
  /// In the order of the prompt. The last one belongs to this request alone.
  std::vector<PromptPart> Parts;

  /// The last part that other requests share: the subject of the request.
  /// 0 when there is none.
  uint64_t subject() const {
    return Parts.size() < 2 ? 0 : Parts[Parts.size() - 2].Id;
  }
  /// Tokens that other requests share, beyond the first \p Kept ones.
  uint32_t sharedTokensBeyond(uint32_t CachedTokens) const {
    const uint32_t UniqueTokens = Parts.empty() ? Tokens : Parts.back().Tokens;
    return Tokens > UniqueTokens + CachedTokens
               ? Tokens - UniqueTokens - CachedTokens
               : 0;
  }
};

} // namespace figlift::dispatch
