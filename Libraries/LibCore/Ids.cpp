//===- Ids.cpp - Time-ordered unique identifiers --------------------------===//
//
// Layout of a version 7 UUID: 48 bits of Unix milliseconds, 4 of version, 12
// of sequence, 2 of variant, 62 random.
//
//===----------------------------------------------------------------------===//

#include "LibCore/Ids.h"

namespace figlift {

namespace {

constexpr uint16_t SequenceMask = 0x0fff;
/// The random start of each millisecond's sequence leaves half of the range
/// free, so that the sequence rarely overflows.
constexpr uint16_t SequenceStartMask = 0x07ff;
constexpr size_t TextLength = 36;
constexpr std::string_view HexDigits = "0123456789abcdef";

constexpr bool isDashPosition(size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

constexpr int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

std::optional<Uuid::Bytes> parseBytes(std::string_view Text) {
  if (Text.size() != TextLength)
    return std::nullopt;
  Uuid::Bytes Value{};
  size_t Nibble = 0;
  for (size_t I = 0; I < TextLength; ++I) {
    if (isDashPosition(I)) {
      if (Text[I] != '-')
        return std::nullopt;
      continue;
    }
    int Digit = hexValue(Text[I]);
    if (Digit < 0)
      return std::nullopt;
    uint8_t &Byte = Value[Nibble / 2];
    Byte = static_cast<uint8_t>(Byte << 4 | Digit);
    ++Nibble;
  }
  return Value;
}

uint64_t systemSeed() {
  std::random_device Source;
  return static_cast<uint64_t>(Source()) << 32 | Source();
}

} // namespace

Uuid Uuid::makeVersion7(WallTime CreatedAt, uint16_t RandomA,
                        uint64_t RandomB) {
  auto Milliseconds =
      static_cast<uint64_t>(CreatedAt.time_since_epoch().count());
  Bytes Value{};
  for (size_t I = 0; I < 6; ++I)
    Value[I] = static_cast<uint8_t>(Milliseconds >> (40 - 8 * I));
  Value[6] = static_cast<uint8_t>(0x70 | (RandomA >> 8 & 0x0f));
  Value[7] = static_cast<uint8_t>(RandomA);
  for (size_t I = 0; I < 8; ++I)
    Value[8 + I] = static_cast<uint8_t>(RandomB >> (56 - 8 * I));
  Value[8] = static_cast<uint8_t>(0x80 | (Value[8] & 0x3f));
  return Uuid(Value);
}

Result<Uuid> Uuid::parse(std::string_view Text) {
  if (auto Value = parseBytes(Text))
    return Uuid(*Value);
  return failure(ResultCode::InvalidInput,
                 "found \"" + std::string(Text.substr(0, TextLength)) +
                     "\"; expected a UUID such as "
                     "\"0190163d-8694-739b-aea5-966c26f8ad91\"");
}

std::string Uuid::toString() const {
  std::string Text;
  Text.reserve(TextLength);
  for (uint8_t Byte : m_Bytes) {
    if (isDashPosition(Text.size()))
      Text += '-';
    Text += HexDigits[Byte >> 4];
    Text += HexDigits[Byte & 0x0f];
  }
  return Text;
}

bool Uuid::isVersion7() const {
  return version() == 7 && (m_Bytes[8] & 0xc0) == 0x80;
}

std::optional<WallTime> Uuid::creationTime() const {
  if (!isVersion7())
    return std::nullopt;
  uint64_t Milliseconds = 0;
  for (size_t I = 0; I < 6; ++I)
    Milliseconds = Milliseconds << 8 | m_Bytes[I];
  return WallTime(std::chrono::milliseconds(Milliseconds));
}

std::optional<WallTime> creationTimeOfKey(std::string_view Key) {
  auto Value = parseBytes(Key);
  if (!Value)
    return std::nullopt;
  return Uuid(*Value).creationTime();
}

UuidGenerator::UuidGenerator() : UuidGenerator(systemSeed()) {}

UuidGenerator::UuidGenerator(uint64_t Seed, WallClock Now)
    : m_Random(Seed), m_Now(std::move(Now)) {}

Uuid UuidGenerator::next() {
  WallTime Now = m_Now();
  std::lock_guard Lock(m_Mutex);
  if (Now > m_Last) {
    m_Last = Now;
    m_Sequence = m_Random() & SequenceStartMask;
  } else if (++m_Sequence > SequenceMask) {
    // The sequence of this millisecond overflowed. The next millisecond is used
    // early, which keeps order and uniqueness without waiting.
    m_Last += std::chrono::milliseconds(1);
    m_Sequence = m_Random() & SequenceStartMask;
  }
  return Uuid::makeVersion7(m_Last, m_Sequence, m_Random());
}

} // namespace figlift
