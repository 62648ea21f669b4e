//===- KvCacheView.h - What an engine keeps, as far as known ----*- C++ -*-===//
//
// A bounded guess at the prompt parts in one engine's KV cache, from what this
// process and its peers had it compute. Engines drop the parts that were used
// least recently, and so does the guess, a little earlier.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Prompt.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace figlift::dispatch {

class KvCacheView {
public:
  explicit KvCacheView(uint64_t CapacityTokens = 0)
      : m_Capacity(CapacityTokens) {}

  void setCapacity(uint64_t Tokens);
  /// The engine has computed or fetched this part.
  void insert(const PromptPart &Part);
  bool holds(uint64_t PartId) const { return m_Index.contains(PartId); }
  /// Tokens of the leading parts that are all kept.
  uint32_t cachedTokens(const Prompt &What) const;
  void clear();

private:
  void shrink();

  uint64_t m_Capacity;
  uint64_t m_Used = 0;
  /// Most recently used first.
  std::list<PromptPart> m_Parts;
  std::unordered_map<uint64_t, std::list<PromptPart>::iterator> m_Index;
};

} // namespace figlift::dispatch
