//===- StreamKey.h - Names a stream of events -------------------*- C++ -*-===//
//
// A stream is named by the client attempt that brought its first event. Clients
// choose the ids of their attempts, of any length, so they are hashed.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace figlift::dispatch {

struct StreamKey {
  std::array<uint8_t, 16> Bytes{};

  /// \p Tenant is empty for requests that belong to none. A tenant cannot name
  /// a stream of another one.
  static StreamKey of(std::string_view Tenant, std::string_view AttemptId);
  auto operator<=>(const StreamKey &) const = default;
};

} // namespace figlift::dispatch
