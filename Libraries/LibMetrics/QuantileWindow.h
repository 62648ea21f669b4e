//===- QuantileWindow.h - Quantiles of recent values ------------*- C++ -*-===//
//
// Estimates quantiles with the extended P-square algorithm of
// Boost.Accumulators. Reads no clock, and is not thread-safe.
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

/// Quantiles reported by every summary.
inline constexpr std::array ReportedQuantiles = {0.5, 0.9, 0.99};

class QuantileWindow {
public:
  /// \p Length is the time after which a value no longer affects the estimate.
  explicit QuantileWindow(std::chrono::milliseconds Length);

  void add(double Value, BootTime Now);
  /// Estimates of ReportedQuantiles; NaN while the window is empty.
  std::array<double, ReportedQuantiles.size()> quantiles(BootTime Now);

private:
  using Accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::extended_p_square_quantile>>;

  /// An estimate over the values since some time.
  struct Generation {
    Generation();
    Accumulator Estimate;
    /// The first values. They are used until the estimate, which is undefined
    /// for fewer values than it has markers, is valid.
    std::vector<double> First;
  };

  void rotate(BootTime Now);

  const std::chrono::milliseconds m_Half;
  BootTime m_Rotated{};
  /// Both receive every value. The older one is reported; it covers between
  /// half a window and a full window.
  Generation m_Older;
  Generation m_Younger;
};

} // namespace figlift::metrics
