//===- RecentPrefixes.cpp - Prefixes sent to one target ---------*- C++ -*-===//
//
// Direct-mapped table of atomics.
//
//===----------------------------------------------------------------------===//

#include "LibRoute/RecentPrefixes.h"

namespace figlift::route {

void RecentPrefixes::add(std::span<const uint64_t> Hashes) {
  for (const uint64_t Hash : Hashes)
    m_Slots[Hash % Slots].store(Hash, std::memory_order_relaxed);
}

bool RecentPrefixes::contains(uint64_t Hash) const {
  return Hash != 0 &&
         m_Slots[Hash % Slots].load(std::memory_order_relaxed) == Hash;
}

void RecentPrefixes::clear() {
  for (auto &Slot : m_Slots)
    Slot.store(0, std::memory_order_relaxed);
}

} // namespace figlift::route
