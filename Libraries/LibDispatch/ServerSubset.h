//===- ServerSubset.h - Servers that a request may use ----------*- C++ -*-===//
//
// With thousands of servers, a request chooses among a part of them: the time
// to plan it grows with the servers that it may choose from, and the
// connections of a gateway with the servers that its requests use. All gateways
// compute the parts from the same list, without a message.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Target.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace figlift::dispatch {

/// Services with more servers are used in part.
inline constexpr size_t MaximumUsedServers = 128;

/// Position of a gateway among all gateways, in the order of their ids.
struct GatewayPlace {
  size_t Index = 0;
  size_t Count = 1;

  bool operator==(const GatewayPlace &) const = default;
};

/// The servers of one service, in an order that mixes availability zones. A
/// part is a stretch of it, so a server that comes or goes changes a part by a
/// few servers only. Each stage of engines has its own order, and its
/// proportional share of each part.
class ServerRings {
public:
  using List = std::vector<const Target *>;

  explicit ServerRings(std::span<const Target *const> Servers);

  /// The part of the gateway at \p Place. The parts of all gateways begin at
  /// equal distances, so all servers are used by about as many gateways.
  List ofGateway(const GatewayPlace &Place) const;
  /// The part for prompts of one subject; the same at all gateways, so that
  /// they find the parts of the prompt that an engine has cached.
  List ofSubject(uint64_t Subject) const;

private:
  /// \p Start: from 0 to 1.
  List stretch(double Start) const;

  std::map<Stage, List> m_Rings;
  size_t m_Servers = 0;
};

} // namespace figlift::dispatch
