//===- CacheDiscovery.h - Queries the KV cache of engines -------*- C++ -*-===//
//
// A gateway knows the cache contents of engines from the work that it and its
// peers sent since they started. A gateway that starts after the engines knows
// nothing: cached prompts look as if they had to be computed, and callers are
// rejected for work that does not exist. After a simultaneous loss of all
// gateways, no peer can report the contents either. So each engine is queried
// once.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include <string>
#include <vector>

namespace figlift::gateway {

class CacheDiscovery {
public:
  explicit CacheDiscovery(Context &Shared) : m_Shared(Shared) {}

  /// An engine was added to the server list.
  void engineAdded(const dispatch::Target &Engine, BootTime Now);
  /// Called periodically, several times a second.
  void tick(BootTime Now);

private:
  struct Query {
    std::string TargetId;
    BootTime Due{};
  };
  void queryCache(const std::string &TargetId);

  Context &m_Shared;
  std::vector<Query> m_Pending;
};

} // namespace figlift::gateway
