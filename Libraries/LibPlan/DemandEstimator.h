//===- DemandEstimator.h - Offered work from growing counters ---*- C++ -*-===//
//
// Agents count the work that was offered to them since their start. The sum
// of the growth over all targets, averaged over a window, is the demand. It
// comes from admissions, so it leads the engines' lagging load reports.
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

  /// \p Source is a target, or an entry with the work that it refused early.
  /// A counter that fell means a restarted source: its count starts anew.
  void observe(const std::string &Source, uint64_t OfferedPrefillTokens,
               uint64_t OfferedDecodeTokens, BootTime Now);
  void forget(const std::string &Source) { m_Sources.erase(Source); }
  Demand demand(BootTime Now) const;

private:
  struct Source {
    uint64_t Prefill = 0;
    uint64_t Decode = 0;
    BootTime Seen;
    /// Exponentially decayed averages as of Seen.
    Demand Rate;
    bool HasRate = false;
  };

  std::chrono::milliseconds m_Window;
  std::map<std::string, Source> m_Sources;
};

} // namespace figlift::plan
