//===- Ids.h - Time-ordered unique identifiers ------------------*- C++ -*-===//
//
// Requests, attempts, orders and operations are identified by version 7 UUIDs
// of RFC 9562. The first 48 bits are the creation time, which the idempotency
// rules compare; the rest is random.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Result.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace figlift {

/// A UUID of any version.
class Uuid {
public:
  using Bytes = std::array<uint8_t, 16>;

  /// The nil UUID.
  Uuid() = default;
  explicit Uuid(const Bytes &Value) : m_Bytes(Value) {}

  /// Builds a version 7 UUID. Only 74 bits of the two random words are used:
  /// the low 12 of \p RandomA and the low 62 of \p RandomB.
  static Uuid makeVersion7(WallTime CreatedAt, uint16_t RandomA,
                           uint64_t RandomB);
  /// Parses the 8-4-4-4-12 form in either case; fails with InvalidInput.
  static Result<Uuid> parse(std::string_view Text);

  /// Lower case, 36 characters.
  std::string toString() const;
  unsigned version() const { return m_Bytes[6] >> 4; }
  /// Whether the version is 7 and the variant is RFC 9562's.
  bool isVersion7() const;
  /// Creation time by the creator's clock; nothing unless the version is 7.
  std::optional<WallTime> creationTime() const;
  const Bytes &bytes() const { return m_Bytes; }

  auto operator<=>(const Uuid &) const = default;

private:
  Bytes m_Bytes{};
};

/// Creation time of a textual UUIDv7; nothing for any other text.
std::optional<WallTime> creationTimeOfKey(std::string_view Key);

/// Generates version 7 UUIDs that are unique and, within one generator,
/// ascending.
/// Members may be called from any thread.
class UuidGenerator {
public:
  using WallClock = std::function<WallTime()>;

  /// Seeded from the operating system's random source.
  UuidGenerator();
  /// Deterministic: the same seed and clock give the same sequence.
  explicit UuidGenerator(uint64_t Seed, WallClock Now = wallNow);

  Uuid next();
  std::string nextText() { return next().toString(); }

private:
  std::mutex m_Mutex;
  std::mt19937_64 m_Random;
  WallClock m_Now;
  /// Creation time of the last UUID; does not decrease when the clock does.
  WallTime m_Last{};
  /// RFC 9562 method 1: the 12 bits after the version count the UUIDs of one
  /// millisecond, from a random start.
  uint16_t m_Sequence = 0;
};

} // namespace figlift
