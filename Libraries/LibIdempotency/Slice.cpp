//===- Slice.cpp - Slices of the key space --------------------------------===//
//
// See Slice.h.
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/Slice.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace figlift::idempotency {

namespace {

constexpr size_t TextLength = 36;
constexpr size_t VersionPosition = 14;
constexpr size_t VariantPosition = 19;
/// End of the hexadecimal digits of the mint time, and the dash among them.
constexpr size_t MintTimeEnd = 13;
constexpr size_t MintTimeDash = 8;

std::optional<unsigned> hexDigitValue(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  if (Character >= 'a' && Character <= 'f')
    return Character - 'a' + 10;
  if (Character >= 'A' && Character <= 'F')
    return Character - 'A' + 10;
  return std::nullopt;
}

bool isDash(size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

bool isUuid(std::string_view Key) {
  if (Key.size() != TextLength)
    return false;
  for (size_t I = 0; I != TextLength; ++I)
    if (isDash(I) ? Key[I] != '-' : !hexDigitValue(Key[I]))
      return false;
  return true;
}

} // namespace

SliceId sliceOf(std::string_view Key) {
  return static_cast<SliceId>(XXH64(Key.data(), Key.size(), 0) % SliceCount);
}

std::optional<WallTime> mintTimeOf(std::string_view Key) {
  if (!isUuid(Key) || Key[VersionPosition] != '7')
    return std::nullopt;
  if ((*hexDigitValue(Key[VariantPosition]) & 0xcu) != 0x8u)
    return std::nullopt;
  uint64_t Milliseconds = 0;
  for (size_t I = 0; I != MintTimeEnd; ++I)
    if (I != MintTimeDash)
      Milliseconds = Milliseconds << 4 | *hexDigitValue(Key[I]);
  return WallTime(std::chrono::milliseconds(Milliseconds));
}

} // namespace figlift::idempotency
