//===- QuantileWindow.h - Quantiles of recent values ------------*- C++ -*-===//
//
// Quantiles by Boost.Accumulators' extended P-square estimate. Pure: the time
// comes in, and one thread at a time may call.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <chrono>
#include <vector>

namespace figlift::metrics {

/// Quantiles that every summary reports.
inline constexpr std::array ReportedQuantiles = {0.5, 0.9, 0.99};

class QuantileWindow {
public:
  /// \p Length is the time after which a value has surely left the estimate.
  explicit QuantileWindow(std::chrono::milliseconds Length);

  void add(double Value, BootTime Now);
  /// Estimates of ReportedQuantiles; NaN while the window is empty.
  std::array<double, ReportedQuantiles.size()> quantiles(BootTime Now);

private:
  using Accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::extended_p_square_quantile>>;

  /// An estimate that began at some time.
  struct Generation {
    Generation();
    Accumulator Estimate;
    /// The first values; the estimate is undefined until it has seen as many
    /// as it has markers, so up to then the values themselves are used.
    std::vector<double> First;
  };

  void rotate(BootTime Now);

  const std::chrono::milliseconds m_Half;
  BootTime m_Rotated{};
  /// Both take every value. The older one is reported; it is between half a
  /// window and a whole window old.
  Generation m_Older;
  Generation m_Younger;
};

} // namespace figlift::metrics
