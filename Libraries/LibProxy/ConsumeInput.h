//===- ConsumeInput.h - Feeds bytes to a Boost.Beast parser -----*- C++ -*-===//
//
// Shared by RequestParser and ResponseParser.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace figlift::proxy {

/// Whether \p Input is the beginning of the only chunk of a body, the last
/// one. Boost.Beast ends the process with an assertion if it gets fewer than
/// five bytes of that twice.
template <typename BeastParser>
bool isPartOfOnlyChunk(const BeastParser &Parser, std::string_view Input) {
  constexpr std::string_view LastChunk = "0\r\n\r\n";
  return Parser.is_header_done() && Parser.chunked() && !Parser.HasChunk &&
         Input.size() < LastChunk.size() && Input.starts_with('0');
}

/// Counts the bytes of chunk extensions of one message. They are framing that
/// nobody reads, and their number has no other bound.
class ExtensionBytes {
public:
  explicit ExtensionBytes(size_t Maximum) : m_Maximum(Maximum) {}
  /// Fails with header_limit above the maximum.
  void add(size_t Count, boost::beast::error_code &Code) {
    m_Count += Count;
    if (m_Count > m_Maximum)
      Code = boost::beast::http::error::header_limit;
  }

private:
  size_t m_Maximum;
  size_t m_Count = 0;
};

/// Counts the fields of one message. In memory, a short field takes many times
/// its bytes, so that a bound on the bytes of the head is not enough.
class FieldCount {
public:
  /// Fails with header_limit above the maximum.
  void add(boost::beast::error_code &Code) {
    if (++m_Count > Maximum)
      Code = boost::beast::http::error::header_limit;
  }

private:
  /// Several times the number in any message of this platform.
  static constexpr unsigned Maximum = 256;

  unsigned m_Count = 0;
};

/// Counts the framing of the chunks of one message that exceeds their content.
/// A sender of chunks of one byte makes its peer parse six bytes for each byte
/// of the body, within all bounds on the body.
class ChunkOverhead {
public:
  /// Fails with header_limit above the maximum.
  void add(uint64_t ContentBytes, boost::beast::error_code &Code) {
    if (ContentBytes < FramingBytes)
      m_Excess += FramingBytes - ContentBytes;
    if (m_Excess > MaximumExcess)
      Code = boost::beast::http::error::header_limit;
  }

private:
  /// Of the shortest chunk: one digit and two line ends.
  static constexpr uint64_t FramingBytes = 5;
  static constexpr uint64_t MaximumExcess = 1 << 20;

  uint64_t m_Excess = 0;
};

/// Whether \p Input, which the parser has not consumed, is the beginning of an
/// element of the body (the line before a chunk, or the trailer) that is longer
/// than \p Maximum. The parser waits for the end of such an element, however
/// long it is.
template <typename BeastParser>
bool isElementTooLong(const BeastParser &Parser, std::string_view Input,
                      size_t Maximum) {
  return Parser.is_header_done() && !Parser.is_done() && Input.size() > Maximum;
}

/// Passes \p Input to \p Parser and erases the bytes that it consumed. Bytes of
/// an incomplete element and bytes after a complete message remain in \p Input,
/// to be passed again together with later input.
template <typename BeastParser>
boost::beast::error_code consume(BeastParser &Parser, std::string &Input) {
  size_t Consumed = 0;
  boost::beast::error_code Code;
  if (isPartOfOnlyChunk(Parser, Input))
    return Code;
  while (Consumed < Input.size() && !Parser.is_done() && !Code) {
    const size_t Count = Parser.put(
        boost::asio::buffer(Input.data() + Consumed, Input.size() - Consumed),
        Code);
    Consumed += Count;
    if (Count == 0)
      break;
  }
  Input.erase(0, Consumed);
  return Code;
}

} // namespace figlift::proxy
