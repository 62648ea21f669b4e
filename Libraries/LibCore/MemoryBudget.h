//===- MemoryBudget.h - Bytes that others may make us hold ------*- C++ -*-===//
//
// Bounds what peers of a process make it hold in memory, over all of their
// messages together. A bound for each message is not enough: there may be
// hundreds at once. Whoever holds bytes of others has a share, which grows only
// while the budget has room.
//
// Shares belong to one event loop.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <algorithm>
#include <cstddef>

namespace figlift {

class MemoryBudget {
public:
  explicit MemoryBudget(size_t MaximumBytes) : m_Maximum(MaximumBytes) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  size_t used() const { return m_Used; }
  size_t maximum() const { return m_Maximum; }
  /// Highest value of used() so far.
  size_t highest() const { return m_Highest; }

private:
  friend class MemoryShare;

  const size_t m_Maximum;
  /// Sum of all shares; may exceed m_Maximum by what was set, not grown.
  size_t m_Used = 0;
  size_t m_Highest = 0;
};

class MemoryShare {
public:
  /// Each share has this much besides the budget: small messages are taken also
  /// while large ones use it up.
  static constexpr size_t FreeBytes = 64 << 10;

  /// \p Budget must outlive the share; null for no bound.
  explicit MemoryShare(MemoryBudget *Budget) : m_Budget(Budget) {}
  MemoryShare(const MemoryShare &) = delete;
  MemoryShare &operator=(const MemoryShare &) = delete;
  ~MemoryShare() { set(0); }

  /// Returns false, and changes nothing, if the budget has no room for as many
  /// bytes.
  bool resize(size_t Bytes) {
    const size_t Charged = charge(Bytes);
    if (m_Budget && Charged > m_Charged &&
        m_Budget->m_Used - m_Charged + Charged > m_Budget->m_Maximum)
      return false;
    set(Bytes);
    return true;
  }
  /// For bytes that are held already.
  void set(size_t Bytes) {
    if (!m_Budget)
      return;
    const size_t Charged = charge(Bytes);
    m_Budget->m_Used = m_Budget->m_Used - m_Charged + Charged;
    m_Budget->m_Highest = std::max(m_Budget->m_Highest, m_Budget->m_Used);
    m_Charged = Charged;
  }

private:
  static size_t charge(size_t Bytes) {
    return Bytes > FreeBytes ? Bytes - FreeBytes : 0;
  }

  MemoryBudget *m_Budget;
  size_t m_Charged = 0;
};

} // namespace figlift
