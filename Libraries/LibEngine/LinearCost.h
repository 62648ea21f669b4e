//===- LinearCost.h - Cost model learned from measurements ------*- C++ -*-===//
//
// Models a time as a sum of known quantities (a fixed part, tokens, pairs of
// tokens), each multiplied by an unknown coefficient. The coefficients are
// learned by least squares with a prior. The prior has a large standard
// deviation, so a few measurements outweigh it. The weight of old measurements
// decays, so that the coefficients follow engines that change.
//
// Measurements are biased upwards by queued work that had not been reported. So
// once the coefficients rest on some measurements, a new one is clipped to
// within ClipFactor of the expected value. Many consecutive deviations to the
// same side are not noise: the engines have changed, and the older measurements
// are discounted.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdlib>

namespace figlift::engine {

/// Prior distribution of a coefficient.
struct CoefficientPrior {
  double Mean = 0;
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

  /// \p Measured is the cost measured for \p Quantities. \p AttributableShare,
  /// 0 to 1: the share of it that certainly belongs to them.
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
  /// Number of measurements behind the coefficients, after decay.
  double weight() const { return m_Weight; }

private:
  /// Relative noise of one measurement, from engine steps, network latency and
  /// event loop iterations.
  static constexpr double RelativeNoise = 0.1;
  /// Milliseconds; time measurements are no more precise under load.
  static constexpr double MinimumNoise = 1;
  /// Reduces the weight of a measurement to a third after about fifty further
  /// ones, which is some seconds of one gateway's share of the work.
  static constexpr double Decay = 0.98;
  /// Number of measurements that outweighs a single outlier.
  static constexpr double ConfidentWeight = 5;
  static constexpr double ClipFactor = 1.5;
  /// If one measurement in five is delayed by more than ClipFactor, a run of
  /// this length occurs by chance once in 400,000.
  static constexpr int ChangeRunLength = 8;
  /// Remaining share of the weight of measurements from before a change.
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
      for (double &Value : Row)
        Value *= RetainedAtChange;
    for (double &Value : m_Products)
      Value *= RetainedAtChange;
    m_Weight *= RetainedAtChange;
  }

  /// Costs are not negative: a coefficient that comes out negative is fixed at
  /// zero, and the others are solved again without it.
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
    for (double &Value : m_Coefficients)
      Value = std::max(0.0, Value);
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
  /// Weighted sums over the measurements: products of quantities with each
  /// other, and with the measured cost.
  std::array<Coefficients, Count> m_Squares{};
  Coefficients m_Products{};
  double m_Weight = 0;
  /// Number of consecutive measurements far above (positive) or far below
  /// (negative) the expected value.
  int m_DeviationRun = 0;
  /// Solution of the sums and the prior; never negative.
  Coefficients m_Coefficients{};
};

} // namespace figlift::engine
