//===- MemoryBudget.h - Bytes that others may make us hold ------*- C++ -*-===//
//
// Bounds what peers of a process make it hold in memory, over all of their
// messages together. A bound for each message is not enough: there may be
// hundreds at once. Whoever holds bytes of others has a share, which grows only
// while the budget has room.
//
// Small messages are taken also while large ones use up the budget. What they
// may hold besides has a bound of its own, as there may be thousands of them.
//
// Shares belong to one event loop.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace figlift {

class MemoryBudget {
public:
  /// \p MaximumFreeBytes: what all shares together may hold besides the budget
  /// before only small ones may.
  explicit MemoryBudget(size_t MaximumBytes, size_t MaximumFreeBytes = SIZE_MAX)
      : m_Maximum(MaximumBytes), m_MaximumFree(MaximumFreeBytes) {}
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
  const size_t m_MaximumFree;
  /// What all shares hold besides m_Used.
  size_t m_Free = 0;
};

class MemoryShare {
public:
  /// Each share may have this much besides the budget.
  static constexpr size_t FreeBytes = 64 << 10;
  /// The same while the shares together have all that they may have besides it.
  /// Most requests take less.
  static constexpr size_t FreeBytesWhenScarce = 4 << 10;

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
    m_Budget->m_Free = m_Budget->m_Free - m_Free + (Bytes - Charged);
    m_Charged = Charged;
    m_Free = Bytes - Charged;
  }

private:
  size_t charge(size_t Bytes) const {
    const size_t Free = std::min(Bytes, FreeBytes);
    const bool IsScarce =
        m_Budget && m_Budget->m_Free - m_Free + Free > m_Budget->m_MaximumFree;
    const size_t Allowed = IsScarce ? FreeBytesWhenScarce : FreeBytes;
    return Bytes > Allowed ? Bytes - Allowed : 0;
  }

  MemoryBudget *m_Budget;
  size_t m_Charged = 0;
  /// Held besides m_Charged.
  size_t m_Free = 0;
};

} // namespace figlift
