//===- CacheDiscovery.h - Asks engines what they keep -----------*- C++ -*-===//
//
// A gateway knows what engines keep from what it and its peers had computed
// since they started. When it starts before engines that are at work already,
// it knows nothing: prompts that are kept look as if they had to be computed,
// callers are refused for work that is not there, and after a loss of all
// gateways at once nobody is left who could tell. So each engine is asked once.
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

  /// An engine is listed that was not before.
  void engineCame(const dispatch::Target &Which, BootTime Now);
  /// Called regularly, several times a second.
  void tick(BootTime Now);

private:
  struct Question {
    std::string TargetId;
    BootTime Due{};
  };
  void ask(const std::string &TargetId);

  Context &m_Shared;
  std::vector<Question> m_Open;
};

} // namespace figlift::gateway
