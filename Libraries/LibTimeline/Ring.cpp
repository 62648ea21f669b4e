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
  Slot &Place = m_Slots[Number % m_Capacity];
  std::lock_guard Lock(Place.Mutex);
  if (Place.Sequence > Number)
    return;
  Place.Sequence = Number + 1;
  Place.Held = std::move(New);
}

std::vector<Event> Ring::after(Stamp After) const {
  std::vector<Event> Found;
  for (size_t I = 0; I < m_Capacity; ++I) {
    const Slot &Place = m_Slots[I];
    std::lock_guard Lock(Place.Mutex);
    if (Place.Sequence != 0 && Place.Held.When > After)
      Found.push_back(Place.Held);
  }
  std::ranges::sort(Found, isBefore);
  return Found;
}

uint64_t Ring::overwritten() const {
  uint64_t Written = m_Next.load(std::memory_order_relaxed);
  return Written > m_Capacity ? Written - m_Capacity : 0;
}

} // namespace figlift::timeline
