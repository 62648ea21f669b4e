//===- Units.h - Durations and sizes with units -----------------*- C++ -*-===//
//
// Parses and formats values such as "250ms", "4s", "512KiB" and "8MiB". A
// number without a unit is an error, because 500 may be meant as seconds or as
// milliseconds.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace figlift::settings {

/// A number of bytes.
struct ByteSize {
  uint64_t Bytes = 0;

  auto operator<=>(const ByteSize &) const = default;
};

/// Units ms, s, m and h; whole numbers. Fails with InvalidInput.
Result<std::chrono::milliseconds> parseDuration(std::string_view Text);
/// Units B, KiB, MiB and GiB; whole numbers. Fails with InvalidInput.
Result<ByteSize> parseSize(std::string_view Text);

/// Formats the value in the largest unit that gives a whole number.
std::string toString(std::chrono::milliseconds Time);
std::string toString(ByteSize Size);

} // namespace figlift::settings
