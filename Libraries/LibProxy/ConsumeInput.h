//===- ConsumeInput.h - Feeds bytes to a Boost.Beast parser -----*- C++ -*-===//
//
// Shared by RequestParser and ResponseParser.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>

#include <string>

namespace figlift::proxy {

/// Passes \p Input to \p Parser and erases the bytes that it consumed. Bytes of
/// an incomplete element and bytes after a complete message remain in \p Input,
/// to be passed again together with later input.
template <typename BeastParser>
boost::beast::error_code consume(BeastParser &Parser, std::string &Input) {
  size_t Consumed = 0;
  boost::beast::error_code Code;
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
