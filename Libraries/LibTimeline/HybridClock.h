//===- HybridClock.h - Hybrid logical clock ---------------------*- C++ -*-===//
//
// Stamps events so that a cause always has a smaller stamp than its effect,
// also over processes, while stamps stay close to wall time. A stamp has 48
// bits of Unix milliseconds above a 16 bit counter and rides on messages as
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

/// One reading of the clock. Value 0 means "none": a message of a process that
/// sends no stamp.
struct Stamp {
  static constexpr unsigned CounterBits = 16;

  uint64_t Value = 0;

  auto operator<=>(const Stamp &) const = default;

  static Stamp of(WallTime Wall, uint16_t Counter = 0);
  WallTime wallTime() const;
  uint16_t counter() const { return static_cast<uint16_t>(Value); }
  bool isNone() const { return Value == 0; }

  /// Decimal. In JSON it stands in a string: many readers of JSON round numbers
  /// beyond 53 bits.
  std::string toString() const;
  /// Reads toString()'s form; fails with InvalidInput.
  static Result<Stamp> parse(std::string_view Text);
};

/// A received stamp further ahead of the own wall clock is not adopted: one
/// process with a wrong clock would otherwise drag all others' stamps into the
/// future for good. Events it causes then sort before it, which shows as an
/// effect before its cause on the time line.
inline constexpr std::chrono::milliseconds MaximumAhead{60000};

/// The next stamp for a local event or a message to be sent. A full counter
/// carries into the milliseconds.
Stamp advance(Stamp Last, WallTime Wall);

/// The next stamp after a message stamped \p Received came in.
Stamp merge(Stamp Last, Stamp Received, WallTime Wall);

/// The clock of one process. Any thread; lock-free.
class HybridClock {
public:
  using WallClock = std::function<WallTime()>;

  explicit HybridClock(WallClock Now = wallNow) : m_Now(std::move(Now)) {}

  /// Stamp of a local event.
  Stamp tick();
  /// Value for a message's `clock` field.
  uint64_t encode() { return tick().Value; }
  /// Merges the `clock` field of a received message.
  Stamp mergeReceived(uint64_t Clock);
  /// The last stamp given out.
  Stamp last() const { return {m_Last.load(std::memory_order_acquire)}; }

private:
  WallClock m_Now;
  /// Only grows.
  std::atomic<uint64_t> m_Last{0};
};

} // namespace figlift::timeline
