//===- KvCacheView.h - What an engine keeps, as far as known ----*- C++ -*-===//
//
// A bounded guess at the prompt parts in one engine's KV cache, from what this
// process and its peers had it compute. Engines drop the parts that were used
// least recently, and so does the guess, a little earlier.
//
// Parts that are on their way are known, too: an engine reads one prompt after
// the other, so a prompt that is sent now finds what those in front of it
// leave. Without this, requests of one subject that come while it is read for
// the first time each look like a whole read: they are refused, or sent to
// other engines that read it again.
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
  /// The engine will have computed it by \p Until, unless something fails.
  void addPending(const PromptPart &Part, BootTime Until);
  /// What was expected does not come.
  void removePending(uint64_t PartId);
  /// Whether the engine keeps it now.
  bool contains(uint64_t PartId) const;
  /// Tokens of the leading parts that are all kept now.
  uint32_t cachedTokens(const Prompt &Input) const;
  /// The same, with those that come in front of a prompt that is sent at
  /// \p Now.
  uint32_t cachedTokensWithPending(const Prompt &Input, BootTime Now) const;
  void clear();

private:
  struct Entry {
    PromptPart Part;
    /// Unset: it is there. Otherwise it counts as coming until then.
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
