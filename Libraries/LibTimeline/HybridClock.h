//===- HybridClock.h - Hybrid logical clock ---------------------*- C++ -*-===//
//
// Hybrid logical clock. A cause always has a smaller stamp than its effect,
// also across processes, and stamps stay close to wall time. A stamp has 48
// bits of Unix milliseconds above a 16-bit counter. Messages carry it as
// `uint64 clock`.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Result.h"

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace figlift::timeline {

/// One reading of the clock. Value 0 means "none", as in a message from a
/// process that sends no stamp.
struct Stamp {
  static constexpr unsigned CounterBits = 16;

  uint64_t Value = 0;

  auto operator<=>(const Stamp &) const = default;

  static Stamp of(WallTime Wall, uint16_t Counter = 0);
  WallTime wallTime() const;
  uint16_t counter() const { return static_cast<uint16_t>(Value); }
  bool isNone() const { return Value == 0; }

  /// Decimal. JSON carries it as a string, because many JSON parsers round
  /// integers of more than 53 bits.
  std::string toString() const;
  /// Parses the output of toString(); fails with InvalidInput.
  static Result<Stamp> parse(std::string_view Text);
};

/// A received stamp that is further ahead of the local wall clock is not
/// adopted. Otherwise one process with a wrong clock would permanently advance
/// the stamps of all other processes. The events caused by such a message sort
/// before it, so the timeline shows an effect before its cause.
inline constexpr std::chrono::milliseconds MaximumClockSkew{60000};

/// Returns the next stamp for a local event or an outgoing message. A counter
/// overflow carries into the milliseconds.
Stamp advance(Stamp Last, WallTime Wall);

/// Returns the next stamp after receiving a message with stamp \p Received.
Stamp merge(Stamp Last, Stamp Received, WallTime Wall);

/// The clock of one process. Thread-safe and lock-free.
class HybridClock {
public:
  using WallClock = std::function<WallTime()>;

  explicit HybridClock(WallClock Now = wallNow) : m_Now(std::move(Now)) {}

  /// Returns the stamp of a local event.
  Stamp tick();
  /// Returns the value for the `clock` field of a message.
  uint64_t encode() { return tick().Value; }
  /// Merges the `clock` field of a received message.
  Stamp mergeReceived(uint64_t Clock);
  /// Returns the last stamp issued.
  Stamp last() const { return {m_Last.load(std::memory_order_acquire)}; }

private:
  WallClock m_Now;
  /// Increases monotonically.
  std::atomic<uint64_t> m_Last{0};
};

} // namespace figlift::timeline
