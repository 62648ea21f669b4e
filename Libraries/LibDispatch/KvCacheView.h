//===- KvCacheView.h - Estimated content of a KV cache ----------*- C++ -*-===//
//
// A bounded estimate of the prompt parts in the KV cache of one engine, derived
// from the prompts that this process and its peers have sent to it. Engines
// evict the least recently used parts; the view evicts them slightly earlier.
//
// The view includes pending parts: an engine prefills one prompt after the
// other, so a prompt that is sent now can use the parts of the prompts queued
// before it. Otherwise requests of one subject that arrive during its first
// prefill would each be planned as a full prefill, and be rejected or sent to
// other engines that compute the same parts again.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/Prompt.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace figlift::dispatch {

class KvCacheView {
public:
  explicit KvCacheView(uint64_t CapacityTokens = 0)
      : m_Capacity(CapacityTokens) {}

  void setCapacity(uint64_t Tokens);
  /// The engine has computed or fetched this part.
  void insert(const PromptPart &Part);
  /// The engine is expected to have computed the part by \p Until.
  void addPending(const PromptPart &Part, BootTime Until);
  /// A pending part will not be computed.
  void removePending(uint64_t PartId);
  /// Whether the part is cached now.
  bool contains(uint64_t PartId) const;
  /// Number of tokens in the leading parts that are cached now.
  uint32_t cachedTokens(const Prompt &Input) const;
  /// Includes the pending parts, for a prompt that is sent at \p Now.
  uint32_t cachedTokensWithPending(const Prompt &Input, BootTime Now) const;
  void clear();

private:
  struct Entry {
    PromptPart Part;
    /// Unset if the part is cached. Otherwise the time until which it counts as
    /// pending.
    std::optional<BootTime> PendingUntil;
  };
  using Entries = std::list<Entry>;

  void add(const PromptPart &Part, std::optional<BootTime> PendingUntil);
  void remove(Entries::iterator Position);
  void evictToCapacity();

  uint64_t m_Capacity;
  /// Tokens of all entries.
  uint64_t m_Used = 0;
  /// Most recently used first.
  Entries m_Parts;
  std::unordered_map<uint64_t, Entries::iterator> m_Index;
};

} // namespace figlift::dispatch
