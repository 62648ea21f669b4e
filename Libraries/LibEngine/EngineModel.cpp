//===- EngineModel.cpp - What engines of one service need -----------------===//
//
// Three linear costs, and the mean of what processes learned.
//
//===----------------------------------------------------------------------===//

#include "LibEngine/EngineModel.h"

namespace figlift::engine {

namespace {

constexpr double TokensOfFigure = 1000;

// Doubts are wide against what engines of today show: 30 to 1,000 tokens a
// millisecond, 1 to 30 ms for a first step. Means are those of a fast engine:
// a gateway that knows nothing yet must rather send than refuse, since only
// what it sends teaches it.
constexpr std::array<PriorFigure, 4> ReadPrior = {
    {{5, 20}, {5, 20}, {0.1, 0.5}, {1, 5}}};
constexpr std::array<PriorFigure, 1> DecodeReadPrior = {{{3, 2}}};
constexpr std::array<PriorFigure, 2> StartPrior = {{{5, 20}, {1, 0.5}}};

/// A weighted mean that begins with one's own figure.
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

/// Weight of figures that rest on no measurement: enough to divide by.
constexpr double NoWeight = 1e-6;

} // namespace

EngineModel::EngineModel()
    : m_Read(ReadPrior), m_DecodeRead(DecodeReadPrior), m_Start(StartPrior) {}

void EngineModel::observeRead(const ReadSize &Size, Milliseconds Took,
                              double Purity) {
  m_Read.observe({1, Size.Tokens / TokensOfFigure, Size.MillionPairs,
                  Size.Fetches ? 1.0 : 0.0},
                 Took.count(), Purity);
  const auto &Found = m_Read.figures();
  m_Own.ReadFixed = Milliseconds(Found[0]);
  m_Own.ReadThousandTokens = Milliseconds(Found[1]);
  m_Own.ReadMillionPairs = Milliseconds(Found[2]);
  m_Own.FetchFixed = Milliseconds(Found[3]);
  m_Own.ReadWeight = m_Read.weight();
  m_MeanAt.reset();
}

void EngineModel::observeDecodeRead(Milliseconds AtPrefillEngine,
                                    Milliseconds Took, double Purity) {
  m_DecodeRead.observe({AtPrefillEngine.count()}, Took.count(), Purity);
  m_Own.DecodeReadFactor = m_DecodeRead.figures()[0];
  m_Own.DecodeReadWeight = m_DecodeRead.weight();
  m_MeanAt.reset();
}

void EngineModel::observeStart(Milliseconds Transfer, Milliseconds Took,
                               double Purity) {
  m_Start.observe({1, Transfer.count()}, Took.count(), Purity);
  m_Own.StartFixed = Milliseconds(m_Start.figures()[0]);
  m_Own.TransferFactor = m_Start.figures()[1];
  m_Own.StartWeight = m_Start.weight();
  m_MeanAt.reset();
}

void EngineModel::peerTold(const std::string &Peer, const EngineFigures &Told,
                           BootTime Now) {
  m_Peers[Peer] = {Told, Now};
  m_MeanAt.reset();
}

const EngineFigures &EngineModel::figures(BootTime Now) {
  if (!m_MeanAt || Now - *m_MeanAt >= MeanLifetime) {
    m_Mean = mean(Now);
    m_MeanAt = Now;
  }
  return m_Mean;
}

EngineFigures EngineModel::mean(BootTime Now) const {
  const double Read = m_Own.ReadWeight + NoWeight;
  Mean Fixed(m_Own.ReadFixed.count(), Read);
  Mean Tokens(m_Own.ReadThousandTokens.count(), Read);
  Mean Pairs(m_Own.ReadMillionPairs.count(), Read);
  Mean Fetch(m_Own.FetchFixed.count(), Read);
  Mean DecodeFactor(m_Own.DecodeReadFactor, m_Own.DecodeReadWeight + NoWeight);
  const double Starts = m_Own.StartWeight + NoWeight;
  Mean Start(m_Own.StartFixed.count(), Starts);
  Mean Transfer(m_Own.TransferFactor, Starts);
  EngineFigures All = m_Own;
  for (const auto &[Peer, Each] : m_Peers) {
    if (Now - Each.At > PeerLifetime)
      continue;
    const EngineFigures &Theirs = Each.Figures;
    Fixed.add(Theirs.ReadFixed.count(), Theirs.ReadWeight);
    Tokens.add(Theirs.ReadThousandTokens.count(), Theirs.ReadWeight);
    Pairs.add(Theirs.ReadMillionPairs.count(), Theirs.ReadWeight);
    Fetch.add(Theirs.FetchFixed.count(), Theirs.ReadWeight);
    DecodeFactor.add(Theirs.DecodeReadFactor, Theirs.DecodeReadWeight);
    Start.add(Theirs.StartFixed.count(), Theirs.StartWeight);
    Transfer.add(Theirs.TransferFactor, Theirs.StartWeight);
    All.ReadWeight += Theirs.ReadWeight;
    All.DecodeReadWeight += Theirs.DecodeReadWeight;
    All.StartWeight += Theirs.StartWeight;
  }
  All.ReadFixed = Milliseconds(Fixed.value());
  All.ReadThousandTokens = Milliseconds(Tokens.value());
  All.ReadMillionPairs = Milliseconds(Pairs.value());
  All.FetchFixed = Milliseconds(Fetch.value());
  All.DecodeReadFactor = DecodeFactor.value();
  All.StartFixed = Milliseconds(Start.value());
  All.TransferFactor = Transfer.value();
  return All;
}

} // namespace figlift::engine
