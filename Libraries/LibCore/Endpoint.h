//===- Endpoint.h - Address of a listener -----------------------*- C++ -*-===//
//
// Peers are known by IP number and port; no name is ever resolved.
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
  /// Reads "address:port"; fails with InvalidInput.
  static Result<Endpoint> parse(std::string_view Text);
};

} // namespace figlift
