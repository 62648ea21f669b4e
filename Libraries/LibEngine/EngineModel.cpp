//===- EngineModel.cpp - Learned cost model of engines --------------------===//
//
// Three linear cost models, and the mean over the processes.
//
//===----------------------------------------------------------------------===//

#include "LibEngine/EngineModel.h"

namespace figlift::engine {

namespace {

constexpr double TokensPerUnit = 1000;

// Mean and standard deviation of each coefficient. Prefill, in order:
// PrefillFixed, PrefillPerThousandTokens, PrefillPerMillionPairs and
// FetchFixed, in ms. Current engines take 1 to 33 ms per 1,000 tokens (30 to
// 1,000 tokens per millisecond) and 1 to 30 ms for PrefillFixed and
// DecodeStartFixed; a standard deviation of 20 ms covers most of either range.
// The means of 5 ms are in the lower part of the ranges: without measurements a
// gateway has to send requests rather than reject them, because it learns only
// from requests sent.
constexpr std::array<CoefficientPrior, 4> PrefillPrior = {
    {{5, 20}, {5, 20}, {0.1, 0.5}, {1, 5}}};
constexpr std::array<CoefficientPrior, 1> DecodePrefillPrior = {{{3, 2}}};
constexpr std::array<CoefficientPrior, 2> DecodeStartPrior = {
    {{5, 20}, {1, 0.5}}};

/// Weighted mean, starting with the value of this process.
class Mean {
public:
  Mean(double Value, double Weight) : m_Sum(Value * Weight), m_Weight(Weight) {}
  void add(double Value, double Weight) {
    m_Sum += Value * Weight;
    m_Weight += Weight;
  }
  double value() const { return m_Sum / m_Weight; }

private:
  double m_Sum;
  double m_Weight;
};

/// Weight of parameters without measurements; avoids a division by zero.
constexpr double MinimumWeight = 1e-6;

} // namespace

EngineModel::EngineModel()
    : m_Prefill(PrefillPrior), m_DecodePrefill(DecodePrefillPrior),
      m_DecodeStart(DecodeStartPrior) {}

void EngineModel::observePrefill(const PrefillSize &Size, Milliseconds Measured,
                                 double AttributableShare) {
  m_Prefill.observe({1, Size.Tokens / TokensPerUnit, Size.MillionPairs,
                     Size.Fetches ? 1.0 : 0.0},
                    Measured.count(), AttributableShare);
  const auto &Solution = m_Prefill.coefficients();
  m_LocalParameters.PrefillFixed = Milliseconds(Solution[0]);
  m_LocalParameters.PrefillPerThousandTokens = Milliseconds(Solution[1]);
  m_LocalParameters.PrefillPerMillionPairs = Milliseconds(Solution[2]);
  m_LocalParameters.FetchFixed = Milliseconds(Solution[3]);
  m_LocalParameters.PrefillWeight = m_Prefill.weight();
  m_MeanComputedAt.reset();
}

void EngineModel::observeDecodePrefill(Milliseconds AtPrefillEngine,
                                       Milliseconds Measured,
                                       double AttributableShare) {
  m_DecodePrefill.observe({AtPrefillEngine.count()}, Measured.count(),
                          AttributableShare);
  m_LocalParameters.DecodePrefillFactor = m_DecodePrefill.coefficients()[0];
  m_LocalParameters.DecodePrefillWeight = m_DecodePrefill.weight();
  m_MeanComputedAt.reset();
}

void EngineModel::observeDecodeStart(Milliseconds Transfer,
                                     Milliseconds Measured,
                                     double AttributableShare) {
  m_DecodeStart.observe({1, Transfer.count()}, Measured.count(),
                        AttributableShare);
  m_LocalParameters.DecodeStartFixed =
      Milliseconds(m_DecodeStart.coefficients()[0]);
  m_LocalParameters.TransferFactor = m_DecodeStart.coefficients()[1];
  m_LocalParameters.DecodeStartWeight = m_DecodeStart.weight();
  m_MeanComputedAt.reset();
}

void EngineModel::recordPeerParameters(const std::string &Peer,
                                       const EngineParameters &Parameters,
                                       BootTime Now) {
  m_Peers[Peer] = {Parameters, Now};
  m_MeanComputedAt.reset();
}

const EngineParameters &EngineModel::parameters(BootTime Now) {
  if (!m_MeanComputedAt || Now - *m_MeanComputedAt >= MeanLifetime) {
    m_Mean = mean(Now);
    m_MeanComputedAt = Now;
  }
  return m_Mean;
}

EngineParameters EngineModel::mean(BootTime Now) const {
  const double PrefillWeight = m_LocalParameters.PrefillWeight + MinimumWeight;
  Mean Fixed(m_LocalParameters.PrefillFixed.count(), PrefillWeight);
  Mean Tokens(m_LocalParameters.PrefillPerThousandTokens.count(),
              PrefillWeight);
  Mean Pairs(m_LocalParameters.PrefillPerMillionPairs.count(), PrefillWeight);
  Mean Fetch(m_LocalParameters.FetchFixed.count(), PrefillWeight);
  Mean DecodeFactor(m_LocalParameters.DecodePrefillFactor,
                    m_LocalParameters.DecodePrefillWeight + MinimumWeight);
  const double StartWeight =
      m_LocalParameters.DecodeStartWeight + MinimumWeight;
  Mean Start(m_LocalParameters.DecodeStartFixed.count(), StartWeight);
  Mean Transfer(m_LocalParameters.TransferFactor, StartWeight);
  EngineParameters Combined = m_LocalParameters;
  for (const auto &[Peer, Report] : m_Peers) {
    if (Now - Report.At > PeerLifetime)
      continue;
    const EngineParameters &PeerValues = Report.Parameters;
    Fixed.add(PeerValues.PrefillFixed.count(), PeerValues.PrefillWeight);
    Tokens.add(PeerValues.PrefillPerThousandTokens.count(),
               PeerValues.PrefillWeight);
    Pairs.add(PeerValues.PrefillPerMillionPairs.count(),
              PeerValues.PrefillWeight);
    Fetch.add(PeerValues.FetchFixed.count(), PeerValues.PrefillWeight);
    DecodeFactor.add(PeerValues.DecodePrefillFactor,
                     PeerValues.DecodePrefillWeight);
    Start.add(PeerValues.DecodeStartFixed.count(),
              PeerValues.DecodeStartWeight);
    Transfer.add(PeerValues.TransferFactor, PeerValues.DecodeStartWeight);
    Combined.PrefillWeight += PeerValues.PrefillWeight;
    Combined.DecodePrefillWeight += PeerValues.DecodePrefillWeight;
    Combined.DecodeStartWeight += PeerValues.DecodeStartWeight;
  }
  Combined.PrefillFixed = Milliseconds(Fixed.value());
  Combined.PrefillPerThousandTokens = Milliseconds(Tokens.value());
  Combined.PrefillPerMillionPairs = Milliseconds(Pairs.value());
  Combined.FetchFixed = Milliseconds(Fetch.value());
  Combined.DecodePrefillFactor = DecodeFactor.value();
  Combined.DecodeStartFixed = Milliseconds(Start.value());
  Combined.TransferFactor = Transfer.value();
  return Combined;
}

} // namespace figlift::engine
