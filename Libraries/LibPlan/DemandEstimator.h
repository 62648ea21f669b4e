//===- DemandEstimator.h - Demand from counters of offered work -*- C++ -*-===//
//
// Agents count the work offered to them since their start. The demand is the
// growth of these counters, averaged over a window and summed over all targets.
// It is counted at admission, so it is more recent than the load reports of the
// engines.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibPlan/PlanTypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace figlift::plan {

class DemandEstimator {
public:
  explicit DemandEstimator(
      std::chrono::milliseconds Window = std::chrono::seconds(8))
      : m_Window(Window) {}

  /// \p Source is a target, or an entry that counts the work it refused before
  /// sending it. A counter that decreases means that the source has restarted,
  /// and becomes the new base of its growth.
  void observe(const std::string &Source, uint64_t OfferedPrefillTokens,
               uint64_t OfferedDecodeTokens, BootTime Now);
  void remove(const std::string &Source) { m_Sources.erase(Source); }
  Demand demand(BootTime Now) const;

private:
  struct Source {
    uint64_t Prefill = 0;
    uint64_t Decode = 0;
    BootTime UpdatedAt;
    /// Exponentially decayed averages as of UpdatedAt.
    Demand Rate;
    bool HasRate = false;
  };

  std::chrono::milliseconds m_Window;
  std::map<std::string, Source> m_Sources;
};

} // namespace figlift::plan
