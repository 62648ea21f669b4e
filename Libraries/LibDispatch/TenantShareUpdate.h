//===- TenantShareUpdate.h - Demand of tenants for the peers ----*- C++ -*-===//
//
// A datagram with the demand of the largest tenants that one gateway has
// received, by service and priority. Tenants are named by a hash, which keeps
// the datagram small.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::dispatch {

/// Requests that compete for the same capacity: those of one service and one
/// priority.
struct SharePool {
  std::string Service;
  /// 0 is the most urgent.
  unsigned Priority = 0;

  auto operator<=>(const SharePool &) const = default;
};

/// Hash of a tenant's name, the same at all gateways.
using TenantHash = uint64_t;

struct TenantDemand {
  TenantHash Tenant = 0;
  /// Work per second; finite and not negative.
  double Demand = 0;
};

/// Demand for one pool through one gateway. Work is measured in seconds of
/// engine time or, for plain services, in requests.
struct PoolDemand {
  /// Bounds the datagram. The tenants that exceed their share are among the
  /// largest ones of most gateways.
  static constexpr size_t MaximumRows = 16;

  SharePool Pool;
  /// Started work per second.
  double Started = 0;
  /// At most MaximumRows.
  std::vector<TenantDemand> Largest;
  /// \name The other tenants together.
  /// @{
  double RestDemand = 0;
  uint32_t RestTenants = 0;
  /// @}
  /// Time since a request was refused for lack of capacity; empty if that is
  /// long ago.
  std::optional<std::chrono::milliseconds> RefusedAgo;
};

struct TenantShareUpdate {
  /// Bounds the datagram, to less than 9 kB.
  static constexpr size_t MaximumPools = 32;

  std::string Sender;
  /// At most MaximumPools.
  std::vector<PoolDemand> Pools;
};

/// Encodes as CBOR.
std::string encodeTenantShares(const TenantShareUpdate &Update);
/// Fails with InvalidInput, also for too many rows or negative demand.
Result<TenantShareUpdate> decodeTenantShares(std::string_view Bytes);

} // namespace figlift::dispatch
