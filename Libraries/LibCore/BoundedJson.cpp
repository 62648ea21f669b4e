//===- BoundedJson.cpp - Parser for JSON and CBOR of other writers --------===//
//
// Builds the value from the events of the parser, which stops at the first
// event that is refused.
//
//===----------------------------------------------------------------------===//

#include "LibCore/BoundedJson.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace figlift {

using Json = nlohmann::json;

namespace {

class MessageBuilder final : public nlohmann::json_sax<Json> {
public:
  explicit MessageBuilder(DeepParts Deep)
      : m_DropsDeepParts(Deep == DeepParts::Dropped) {}

  bool null() override { return add(nullptr); }
  bool boolean(bool Value) override { return add(Value); }
  bool number_integer(number_integer_t Value) override { return add(Value); }
  bool number_unsigned(number_unsigned_t Value) override { return add(Value); }
  bool number_float(number_float_t Value, const string_t &) override {
    return add(Value);
  }
  bool string(string_t &Value) override { return add(std::move(Value)); }
  bool binary(binary_t &Value) override {
    return add(Json::binary(std::move(Value)));
  }
  bool start_object(std::size_t) override { return open(Json::object()); }
  bool key(string_t &Name) override {
    if (m_DroppedLevels > 0)
      return true;
    m_Member = &(*m_Open.back())[Name];
    return true;
  }
  bool end_object() override { return close(); }
  bool start_array(std::size_t) override { return open(Json::array()); }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

  bool isTooDeep() const { return m_IsTooDeep; }
  Json take() { return std::move(m_Root); }

private:
  Json &place(Json Value) {
    if (m_Open.empty())
      return m_Root = std::move(Value);
    if (m_Open.back()->is_array())
      return m_Open.back()->emplace_back(std::move(Value));
    return *m_Member = std::move(Value);
  }
  bool add(Json Value) {
    if (m_DroppedLevels == 0)
      place(std::move(Value));
    return true;
  }
  bool open(Json Empty) {
    if (m_Open.size() == MaximumMessageDepth) {
      m_IsTooDeep = true;
      if (m_DroppedLevels == 0)
        place(nullptr);
      ++m_DroppedLevels;
      return m_DropsDeepParts;
    }
    m_Open.push_back(&place(std::move(Empty)));
    return true;
  }
  bool close() {
    if (m_DroppedLevels > 0)
      --m_DroppedLevels;
    else
      m_Open.pop_back();
    return true;
  }

  Json m_Root;
  /// The arrays and objects that are not complete yet, outermost first. None of
  /// them moves, as only the last one grows.
  std::vector<Json *> m_Open;
  /// The member of the innermost object whose value follows.
  Json *m_Member = nullptr;
  const bool m_DropsDeepParts;
  /// Open arrays and objects that are not part of the value.
  size_t m_DroppedLevels = 0;
  bool m_IsTooDeep = false;
};

Result<Json> parse(std::string_view Bytes, Json::input_format_t Format,
                   DeepParts Deep, const char *Language) {
  MessageBuilder Builder(Deep);
  if (Json::sax_parse(Bytes.begin(), Bytes.end(), &Builder, Format))
    return Builder.take();
  if (Builder.isTooDeep() && Deep == DeepParts::Refused)
    return failure(ResultCode::InvalidInput,
                   "nested more than " + std::to_string(MaximumMessageDepth) +
                       " levels deep");
  return failure(ResultCode::InvalidInput,
                 std::string("not valid ") + Language);
}

/// The parser recurses for the parts of such strings without an event.
bool hasStringOfIndefiniteLength(std::string_view Bytes) {
  constexpr unsigned ByteString = 2;
  constexpr unsigned TextString = 3;
  constexpr unsigned IndefiniteLength = 31;
  size_t Position = 0;
  while (Position < Bytes.size()) {
    const auto Head = static_cast<uint8_t>(Bytes[Position++]);
    const unsigned Type = Head >> 5;
    const unsigned Information = Head & 31;
    const bool IsString = Type == ByteString || Type == TextString;
    if (IsString && Information == IndefiniteLength)
      return true;
    // 24 to 27 announce an argument of 1, 2, 4 or 8 bytes.
    const size_t ArgumentSize =
        Information >= 24 && Information <= 27 ? 1U << (Information - 24) : 0;
    uint64_t Argument = ArgumentSize == 0 ? Information : 0;
    if (ArgumentSize > Bytes.size() - Position)
      return false;
    for (const char Byte : Bytes.substr(Position, ArgumentSize))
      Argument = Argument << 8 | static_cast<uint8_t>(Byte);
    Position += ArgumentSize;
    if (!IsString)
      continue;
    if (Argument > Bytes.size() - Position)
      return false;
    Position += Argument;
  }
  return false;
}

} // namespace

void detail::throwNotInRange(const Json &Value) {
  // The number of the exceptions of get() for values of another type.
  constexpr int TypeErrorNumber = 302;
  throw Json::type_error::create(
      TypeErrorNumber,
      Value.is_number_integer()
          ? "a whole number is out of range: " + Value.dump()
          : std::string("not a whole number: ") + Value.type_name(),
      &Value);
}

Result<Json> parseMessage(std::string_view Text, DeepParts Deep) {
  return parse(Text, Json::input_format_t::json, Deep, "JSON");
}

Result<Json> parseCborMessage(std::string_view Bytes) {
  if (hasStringOfIndefiniteLength(Bytes))
    return failure(ResultCode::InvalidInput,
                   "a string of indefinite length in CBOR");
  return parse(Bytes, Json::input_format_t::cbor, DeepParts::Refused, "CBOR");
}

} // namespace figlift
