//===- HybridClock.cpp - Hybrid logical clock -----------------------------===//
//
// Pure clock functions and their atomic wrapper.
//
//===----------------------------------------------------------------------===//

#include "LibTimeline/HybridClock.h"

#include <algorithm>
#include <charconv>

namespace figlift::timeline {

Stamp Stamp::of(WallTime Wall, uint16_t Counter) {
  auto Milliseconds = static_cast<uint64_t>(Wall.time_since_epoch().count());
  return {Milliseconds << CounterBits | Counter};
}

WallTime Stamp::wallTime() const {
  return WallTime(std::chrono::milliseconds(Value >> CounterBits));
}

std::string Stamp::toString() const { return std::to_string(Value); }

Result<Stamp> Stamp::parse(std::string_view Text) {
  Stamp Parsed;
  const char *End = Text.data() + Text.size();
  auto [Rest, Status] = std::from_chars(Text.data(), End, Parsed.Value);
  if (Status == std::errc() && Rest == End)
    return Parsed;
  return failure(ResultCode::InvalidInput,
                 "found \"" + std::string(Text.substr(0, 32)) +
                     "\"; expected a 64-bit decimal number");
}

Stamp advance(Stamp Last, WallTime Wall) {
  return std::max(Stamp{Last.Value + 1}, Stamp::of(Wall));
}

Stamp merge(Stamp Last, Stamp Received, WallTime Wall) {
  Stamp Local = advance(Last, Wall);
  if (Received > Stamp::of(Wall + MaximumClockSkew))
    return Local;
  return std::max(Local, Stamp{Received.Value + 1});
}

Stamp HybridClock::tick() { return mergeReceived(0); }

Stamp HybridClock::mergeReceived(uint64_t Clock) {
  WallTime Wall = m_Now();
  Stamp Last = last();
  Stamp Next = merge(Last, {Clock}, Wall);
  while (!m_Last.compare_exchange_weak(Last.Value, Next.Value,
                                       std::memory_order_acq_rel))
    Next = merge(Last, {Clock}, Wall);
  return Next;
}

} // namespace figlift::timeline
