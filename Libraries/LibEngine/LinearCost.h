//===- LinearCost.h - A cost learned from noisy measurements ----*- C++ -*-===//
//
// A time that is a sum of known quantities, each times an unknown figure: a
// fixed part, tokens, pairs of tokens. The figures are learned by least squares
// with a prior: before the first measurement they are the prior's, and since
// its doubt is wide, a handful of measurements outweighs it. Older measurements
// fade, so that the figures follow engines that change.
//
// Measurements are noisy in one direction: work that nobody told of stood in
// front. So once the figures rest on some measurements, a single one counts
// as at most ClipFactor times what was expected. Many in a row that are all off
// to the same side are no noise: the engines have changed, and what was known
// of them is let go.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdlib>

namespace figlift::engine {

/// One unknown figure before anything was measured.
struct CoefficientPrior {
  double Mean = 0;
  /// Standard deviation: how far off the mean may well be.
  double StandardDeviation = 1;
};

template <size_t Count> class LinearCost {
public:
  using Coefficients = std::array<double, Count>;

  explicit LinearCost(const std::array<CoefficientPrior, Count> &Prior)
      : m_Prior(Prior) {
    for (size_t Index = 0; Index < Count; ++Index)
      m_Coefficients[Index] = Prior[Index].Mean;
  }

  /// \p Took is the cost measured for \p Quantities. \p Purity, 0 to 1: the
  /// share of what was measured that belongs to them for sure.
  void observe(const Coefficients &Quantities, double Measured,
               double AttributableShare) {
    const double Expected = estimate(Quantities);
    detectChange(Measured, Expected);
    if (m_Weight >= ConfidentWeight)
      Measured =
          std::clamp(Measured, Expected / ClipFactor, Expected * ClipFactor);
    const double Noise =
        std::max(MinimumNoise, RelativeNoise * std::max(Measured, Expected));
    const double Weight = AttributableShare / (Noise * Noise);
    for (size_t Row = 0; Row < Count; ++Row) {
      for (size_t Column = 0; Column < Count; ++Column)
        m_Squares[Row][Column] = m_Squares[Row][Column] * Decay +
                                 Weight * Quantities[Row] * Quantities[Column];
      m_Products[Row] =
          m_Products[Row] * Decay + Weight * Quantities[Row] * Measured;
    }
    m_Weight = m_Weight * Decay + AttributableShare;
    solve();
  }

  double estimate(const Coefficients &Quantities) const {
    double Sum = 0;
    for (size_t Index = 0; Index < Count; ++Index)
      Sum += m_Coefficients[Index] * Quantities[Index];
    return Sum;
  }
  const Coefficients &coefficients() const { return m_Coefficients; }
  /// Measurements that the figures rest on, the faded ones counted less.
  double weight() const { return m_Weight; }

private:
  /// Of one measurement, as a share of itself: steps of an engine, travel and
  /// turns of the loop.
  static constexpr double RelativeNoise = 0.1;
  /// Milliseconds; no clock of ours is finer under load.
  static constexpr double MinimumNoise = 1;
  /// A measurement weighs a third after about fifty further ones: some seconds
  /// of one gateway's share of the work.
  static constexpr double Decay = 0.98;
  /// Enough measurements that an odd one among them is outweighed.
  static constexpr double ConfidentWeight = 5;
  static constexpr double ClipFactor = 1.5;
  /// With one measurement in five delayed that much, this many in a row come
  /// once in 400,000.
  static constexpr int ChangeRunLength = 8;
  /// What is left of the weight of measurements from before a change.
  static constexpr double RetainedAtChange = 0.02;

  void detectChange(double Measured, double Expected) {
    const int Side = Measured > Expected * ClipFactor   ? 1
                     : Measured < Expected / ClipFactor ? -1
                                                        : 0;
    m_DeviationRun =
        Side != 0 && Side * m_DeviationRun >= 0 ? m_DeviationRun + Side : Side;
    if (std::abs(m_DeviationRun) < ChangeRunLength ||
        m_Weight < ConfidentWeight)
      return;
    m_DeviationRun = 0;
    for (Coefficients &Row : m_Squares)
      for (double &Each : Row)
        Each *= RetainedAtChange;
    for (double &Each : m_Products)
      Each *= RetainedAtChange;
    m_Weight *= RetainedAtChange;
  }

  /// Figures below zero make no sense of a cost: one that comes out so is
  /// left out, and the others are found without it.
  void solve() {
    std::array<bool, Count> IsFixedAtZero{};
    for (size_t Round = 0; Round < Count; ++Round) {
      m_Coefficients = solution(IsFixedAtZero);
      const auto Lowest =
          std::min_element(m_Coefficients.begin(), m_Coefficients.end());
      if (*Lowest >= 0)
        return;
      IsFixedAtZero[static_cast<size_t>(Lowest - m_Coefficients.begin())] =
          true;
    }
    for (double &Each : m_Coefficients)
      Each = std::max(0.0, Each);
  }

  /// Gaussian elimination; the prior makes the matrix positive definite.
  Coefficients solution(const std::array<bool, Count> &IsFixedAtZero) const {
    auto Left = m_Squares;
    auto Right = m_Products;
    for (size_t Index = 0; Index < Count; ++Index) {
      const double PriorWeight = 1 / (m_Prior[Index].StandardDeviation *
                                      m_Prior[Index].StandardDeviation);
      Left[Index][Index] += PriorWeight;
      Right[Index] += PriorWeight * m_Prior[Index].Mean;
      if (!IsFixedAtZero[Index])
        continue;
      for (size_t Other = 0; Other < Count; ++Other)
        Left[Index][Other] = Left[Other][Index] = 0;
      Left[Index][Index] = 1;
      Right[Index] = 0;
    }
    for (size_t Pivot = 0; Pivot < Count; ++Pivot)
      for (size_t Row = Pivot + 1; Row < Count; ++Row) {
        const double Factor = Left[Row][Pivot] / Left[Pivot][Pivot];
        for (size_t Column = Pivot; Column < Count; ++Column)
          Left[Row][Column] -= Factor * Left[Pivot][Column];
        Right[Row] -= Factor * Right[Pivot];
      }
    Coefficients Solution{};
    for (size_t Row = Count; Row-- > 0;) {
      double Sum = Right[Row];
      for (size_t Column = Row + 1; Column < Count; ++Column)
        Sum -= Left[Row][Column] * Solution[Column];
      Solution[Row] = Sum / Left[Row][Row];
    }
    return Solution;
  }

  std::array<CoefficientPrior, Count> m_Prior;
  /// Weighted sums over measurements: products of quantities with each other,
  /// and with what was measured.
  std::array<Coefficients, Count> m_Squares{};
  Coefficients m_Products{};
  double m_Weight = 0;
  /// Measurements in a row that were far above (positive) or below what was
  /// expected.
  int m_DeviationRun = 0;
  /// The solution of the sums and the prior; none is below zero.
  Coefficients m_Coefficients{};
};

} // namespace figlift::engine
