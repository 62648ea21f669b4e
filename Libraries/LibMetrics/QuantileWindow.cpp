//===- QuantileWindow.cpp - Quantiles of recent values --------------------===//
//
// See QuantileWindow.h.
//
//===----------------------------------------------------------------------===//

#include "LibMetrics/QuantileWindow.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace figlift::metrics {

namespace {

namespace acc = boost::accumulators;

/// The extended P-square estimate has two markers per quantile and three more.
constexpr size_t MarkerCount = 2 * ReportedQuantiles.size() + 3;

double exactQuantile(std::vector<double> Values, double Probability) {
  if (Values.empty())
    return std::numeric_limits<double>::quiet_NaN();
  std::ranges::sort(Values);
  auto Rank = std::ceil(Probability * static_cast<double>(Values.size()));
  return Values[std::max<size_t>(static_cast<size_t>(Rank), 1) - 1];
}

} // namespace

QuantileWindow::Generation::Generation()
    : Estimate(acc::extended_p_square_probabilities = ReportedQuantiles) {}

QuantileWindow::QuantileWindow(std::chrono::milliseconds Length)
    : m_Half(Length / 2) {}

void QuantileWindow::rotate(BootTime Now) {
  if (Now - m_Rotated < m_Half)
    return;
  // After a long time without values both generations are stale.
  bool BothStale = Now - m_Rotated >= 2 * m_Half;
  m_Older = BothStale ? Generation() : std::move(m_Younger);
  m_Younger = Generation();
  m_Rotated = Now;
}

void QuantileWindow::add(double Value, BootTime Now) {
  rotate(Now);
  for (Generation *Current : {&m_Older, &m_Younger}) {
    Current->Estimate(Value);
    if (Current->First.size() < MarkerCount)
      Current->First.push_back(Value);
  }
}

std::array<double, ReportedQuantiles.size()>
QuantileWindow::quantiles(BootTime Now) {
  rotate(Now);
  std::array<double, ReportedQuantiles.size()> Values{};
  bool Exact = acc::count(m_Older.Estimate) <= MarkerCount;
  for (size_t I = 0; I < Values.size(); ++I)
    Values[I] =
        Exact ? exactQuantile(m_Older.First, ReportedQuantiles[I])
              : acc::quantile(m_Older.Estimate,
                              acc::quantile_probability = ReportedQuantiles[I]);
  return Values;
}

} // namespace figlift::metrics
