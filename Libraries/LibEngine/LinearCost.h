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
struct PriorFigure {
  double Mean = 0;
  /// Standard deviation: how far off the mean may well be.
  double Doubt = 1;
};

template <size_t Count> class LinearCost {
public:
  using Figures = std::array<double, Count>;

  explicit LinearCost(const std::array<PriorFigure, Count> &Prior)
      : m_Prior(Prior) {
    for (size_t At = 0; At < Count; ++At)
      m_Figures[At] = Prior[At].Mean;
  }

  /// \p Took is the cost measured for \p Quantities. \p Purity, 0 to 1: the
  /// share of what was measured that belongs to them for sure.
  void observe(const Figures &Quantities, double Took, double Purity) {
    const double Expected = estimate(Quantities);
    noteSide(Took, Expected);
    if (m_Weight >= ConfidentWeight)
      Took = std::clamp(Took, Expected / ClipFactor, Expected * ClipFactor);
    const double Noise =
        std::max(SmallestNoise, RelativeNoise * std::max(Took, Expected));
    const double Weight = Purity / (Noise * Noise);
    for (size_t Row = 0; Row < Count; ++Row) {
      for (size_t Column = 0; Column < Count; ++Column)
        m_Squares[Row][Column] = m_Squares[Row][Column] * Fading +
                                 Weight * Quantities[Row] * Quantities[Column];
      m_Products[Row] =
          m_Products[Row] * Fading + Weight * Quantities[Row] * Took;
    }
    m_Weight = m_Weight * Fading + Purity;
    solve();
  }

  double estimate(const Figures &Quantities) const {
    double Sum = 0;
    for (size_t At = 0; At < Count; ++At)
      Sum += m_Figures[At] * Quantities[At];
    return Sum;
  }
  const Figures &figures() const { return m_Figures; }
  /// Measurements that the figures rest on, the faded ones counted less.
  double weight() const { return m_Weight; }

private:
  /// Of one measurement, as a share of itself: steps of an engine, travel and
  /// turns of the loop.
  static constexpr double RelativeNoise = 0.1;
  /// Milliseconds; no clock of ours is finer under load.
  static constexpr double SmallestNoise = 1;
  /// A measurement weighs a third after about fifty further ones: some seconds
  /// of one gateway's share of the work.
  static constexpr double Fading = 0.98;
  /// Enough measurements that an odd one among them is outweighed.
  static constexpr double ConfidentWeight = 5;
  static constexpr double ClipFactor = 1.5;
  /// With one measurement in five delayed that much, this many in a row come
  /// once in 400,000.
  static constexpr int ChangeRun = 8;
  /// What is left of the weight of measurements from before a change.
  static constexpr double KeptAtChange = 0.02;

  void noteSide(double Took, double Expected) {
    const int Side = Took > Expected * ClipFactor   ? 1
                     : Took < Expected / ClipFactor ? -1
                                                    : 0;
    m_Run = Side != 0 && Side * m_Run >= 0 ? m_Run + Side : Side;
    if (std::abs(m_Run) < ChangeRun || m_Weight < ConfidentWeight)
      return;
    m_Run = 0;
    for (Figures &Row : m_Squares)
      for (double &Each : Row)
        Each *= KeptAtChange;
    for (double &Each : m_Products)
      Each *= KeptAtChange;
    m_Weight *= KeptAtChange;
  }

  /// Figures below zero make no sense of a cost: one that comes out so is
  /// left out, and the others are found without it.
  void solve() {
    std::array<bool, Count> LeftOut{};
    for (size_t Round = 0; Round < Count; ++Round) {
      m_Figures = solution(LeftOut);
      const auto Lowest = std::min_element(m_Figures.begin(), m_Figures.end());
      if (*Lowest >= 0)
        return;
      LeftOut[static_cast<size_t>(Lowest - m_Figures.begin())] = true;
    }
    for (double &Each : m_Figures)
      Each = std::max(0.0, Each);
  }

  /// Gaussian elimination; the prior makes the matrix positive definite.
  Figures solution(const std::array<bool, Count> &LeftOut) const {
    auto Left = m_Squares;
    auto Right = m_Products;
    for (size_t At = 0; At < Count; ++At) {
      const double Certainty = 1 / (m_Prior[At].Doubt * m_Prior[At].Doubt);
      Left[At][At] += Certainty;
      Right[At] += Certainty * m_Prior[At].Mean;
      if (!LeftOut[At])
        continue;
      for (size_t Other = 0; Other < Count; ++Other)
        Left[At][Other] = Left[Other][At] = 0;
      Left[At][At] = 1;
      Right[At] = 0;
    }
    for (size_t Pivot = 0; Pivot < Count; ++Pivot)
      for (size_t Row = Pivot + 1; Row < Count; ++Row) {
        const double Factor = Left[Row][Pivot] / Left[Pivot][Pivot];
        for (size_t Column = Pivot; Column < Count; ++Column)
          Left[Row][Column] -= Factor * Left[Pivot][Column];
        Right[Row] -= Factor * Right[Pivot];
      }
    Figures Found{};
    for (size_t Row = Count; Row-- > 0;) {
      double Sum = Right[Row];
      for (size_t Column = Row + 1; Column < Count; ++Column)
        Sum -= Left[Row][Column] * Found[Column];
      Found[Row] = Sum / Left[Row][Row];
    }
    return Found;
  }

  std::array<PriorFigure, Count> m_Prior;
  /// Weighted sums over measurements: products of quantities with each other,
  /// and with what was measured.
  std::array<Figures, Count> m_Squares{};
  Figures m_Products{};
  double m_Weight = 0;
  /// Measurements in a row that were far above (positive) or below what was
  /// expected.
  int m_Run = 0;
  /// The solution of the sums and the prior; none is below zero.
  Figures m_Figures{};
};

} // namespace figlift::engine
