//===- ConsumeInput.h - Feeds bytes to a Boost.Beast parser -----*- C++ -*-===//
//
// Shared by RequestParser and ResponseParser.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>

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
