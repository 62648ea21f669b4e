//===- Planning.h - Place of the planner in an entry ------------*- C++ -*-===//
//
// Every entry is a candidate for the leases of the planner's shards. The entry
// starts planning when it is composed and stops it first of all when it
// leaves, so that its leases are given back.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <functional>

namespace figlift::entry {

class Planning {
public:
  virtual ~Planning() = default;
  /// Control thread, as the next one.
  virtual void start() = 0;
  /// Gives every lease back; \p Done runs on the control thread once that is
  /// written or given up.
  virtual void stop(std::function<void()> Done) = 0;
};

} // namespace figlift::entry
