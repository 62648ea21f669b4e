//===- PrefixCache.h - Cached blocks of prompt prefixes ---------*- C++ -*-===//
//
// Blocks of 256 prompt tokens under chained xxh64 hashes, with pins, eviction
// of the least recently used, and a log of events. Not thread-safe: the
// scheduler's mutex guards it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "StandInCommon/Duration.h"

#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figlift::standin {

inline constexpr uint64_t BlockTokens = 256;
inline constexpr uint64_t BytesPerToken = 4;

/// Hashes of the full blocks of a prompt: that of block k is xxh64 over bytes
/// [1024 k, 1024 (k + 1)), seeded with the hash of block k - 1, first with 0.
/// Bytes beyond the end count as none, so that a short text may stand for a
/// long prompt.
std::vector<uint64_t> hashBlocks(std::string_view Prompt, uint64_t Tokens);

class PrefixCache {
public:
  /// Pins the blocks of \p Hashes up to the first absent one; returns how many.
  size_t pinPrefix(const std::vector<uint64_t> &Hashes);
  /// Pins one block and stores it if it is absent.
  void store(uint64_t Hash);
  /// Takes back the pins of the first \p Count blocks.
  void unpin(const std::vector<uint64_t> &Hashes, size_t Count);
  /// Whether a block without pins was found and dropped.
  bool evictOne();
  void clear();

  uint64_t tokens() const { return m_Blocks.size() * BlockTokens; }
  uint64_t pinnedTokens() const {
    return (m_Blocks.size() - m_Unpinned.size()) * BlockTokens;
  }

  /// Events after \p Sequence that are older than \p Lag; every \p Gap-th is
  /// left out for ever.
  Json events(uint64_t Sequence, std::chrono::microseconds Lag,
              uint64_t Gap) const;

private:
  struct Block {
    unsigned Pins = 0;
    /// Place in m_Unpinned; valid while there are no pins.
    std::list<uint64_t>::iterator Place;
  };
  struct Event {
    SteadyTime When;
    uint64_t Sequence;
    uint64_t Hash;
    bool Stored;
  };

  void pin(Block &Pinned);
  void record(uint64_t Hash, bool Stored);

  std::unordered_map<uint64_t, Block> m_Blocks;
  /// Least recently used first.
  std::list<uint64_t> m_Unpinned;
  std::deque<Event> m_Events;
  uint64_t m_LastSequence = 0;
};

} // namespace figlift::standin
