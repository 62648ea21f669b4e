//===- Endpoint.h - IPv4 address and port -----------------------*- C++ -*-===//
//
// Peers are addressed by IP address and port; host names are not resolved.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace figlift {

struct Endpoint {
  /// IPv4 address in dotted notation.
  std::string Address;
  uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// "127.0.0.1:8080".
  std::string toString() const;
  /// Parses "address:port"; fails with InvalidInput.
  static Result<Endpoint> parse(std::string_view Text);
};

} // namespace figlift
