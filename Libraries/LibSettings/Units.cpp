//===- Units.cpp - Durations and sizes with units -------------------------===//
//
// See Units.h.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/Units.h"

#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <span>

namespace figlift::settings {

namespace {

struct Unit {
  std::string_view Name;
  uint64_t Factor;
};

/// From the largest to the smallest.
constexpr std::array DurationUnits = {Unit{"h", 3'600'000}, Unit{"m", 60'000},
                                      Unit{"s", 1'000}, Unit{"ms", 1}};
constexpr std::array SizeUnits = {Unit{"GiB", 1u << 30}, Unit{"MiB", 1u << 20},
                                  Unit{"KiB", 1u << 10}, Unit{"B", 1}};

std::optional<uint64_t> read(std::string_view Text,
                             std::span<const Unit> Units) {
  uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Status] = std::from_chars(Text.data(), End, Number);
  if (Status != std::errc())
    return std::nullopt;
  std::string_view Suffix(Rest, static_cast<size_t>(End - Rest));
  constexpr auto Maximum =
      static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  for (const auto &[Name, Factor] : Units)
    if (Name == Suffix && Number <= Maximum / Factor)
      return Number * Factor;
  return std::nullopt;
}

std::string print(uint64_t Number, std::span<const Unit> Units) {
  for (const auto &[Name, Factor] : Units)
    if (Number != 0 && Number % Factor == 0)
      return std::to_string(Number / Factor) + std::string(Name);
  return "0" + std::string(Units.back().Name);
}

} // namespace

Result<std::chrono::milliseconds> parseDuration(std::string_view Text) {
  if (auto Number = read(Text, DurationUnits))
    return std::chrono::milliseconds(*Number);
  return failure(ResultCode::InvalidInput,
                 "found \"" + std::string(Text) +
                     "\"; expected a whole number with a unit of ms, s, m "
                     "or h, such as \"250ms\"");
}

Result<ByteSize> parseSize(std::string_view Text) {
  if (auto Number = read(Text, SizeUnits))
    return ByteSize{*Number};
  return failure(ResultCode::InvalidInput,
                 "found \"" + std::string(Text) +
                     "\"; expected a whole number with a unit of B, KiB, "
                     "MiB or GiB, such as \"8MiB\"");
}

std::string toString(std::chrono::milliseconds Time) {
  return print(static_cast<uint64_t>(Time.count()), DurationUnits);
}

std::string toString(ByteSize Size) { return print(Size.Bytes, SizeUnits); }

} // namespace figlift::settings
