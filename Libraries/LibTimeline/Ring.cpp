//===- Ring.cpp - Bounded store of recent events --------------------------===//
//
// See Ring.h.
//
//===----------------------------------------------------------------------===//

#include "LibTimeline/Ring.h"

#include <algorithm>

namespace figlift::timeline {

Ring::Ring(size_t Capacity)
    : m_Capacity(std::max<size_t>(Capacity, 1)),
      m_Slots(std::make_unique<Slot[]>(m_Capacity)) {}

void Ring::push(Event New) {
  uint64_t Number = m_Next.fetch_add(1, std::memory_order_relaxed);
  Slot &Reserved = m_Slots[Number % m_Capacity];
  std::lock_guard Lock(Reserved.Mutex);
  if (Reserved.Sequence > Number)
    return;
  Reserved.Sequence = Number + 1;
  Reserved.Stored = std::move(New);
}

std::vector<Event> Ring::after(Stamp After) const {
  std::vector<Event> Events;
  for (size_t I = 0; I < m_Capacity; ++I) {
    const Slot &Source = m_Slots[I];
    std::lock_guard Lock(Source.Mutex);
    if (Source.Sequence != 0 && Source.Stored.Timestamp > After)
      Events.push_back(Source.Stored);
  }
  std::ranges::sort(Events, isBefore);
  return Events;
}

uint64_t Ring::overwritten() const {
  uint64_t Written = m_Next.load(std::memory_order_relaxed);
  return Written > m_Capacity ? Written - m_Capacity : 0;
}

} // namespace figlift::timeline
