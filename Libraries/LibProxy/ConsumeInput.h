//===- ConsumeInput.h - Feeds bytes to Boost.Beast's grammar ----*- C++ -*-===//
//
// Shared by the parsers of requests and responses.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>

#include <string>

namespace figlift::proxy {

/// Gives \p Grammar all of \p Input that it takes and removes that; the rest
/// has to come again with what follows. Bytes behind a whole message stay.
template <typename Grammar>
boost::beast::error_code consume(Grammar &Rules, std::string &Input) {
  size_t Used = 0;
  boost::beast::error_code Code;
  while (Used < Input.size() && !Rules.is_done() && !Code) {
    const size_t Taken = Rules.put(
        boost::asio::buffer(Input.data() + Used, Input.size() - Used), Code);
    Used += Taken;
    if (Taken == 0)
      break;
  }
  Input.erase(0, Used);
  return Code;
}

} // namespace figlift::proxy
