//===- DecisionLog.cpp - A bounded line for each decision -----------------===//
//
// Allowances start anew each second.
//
//===----------------------------------------------------------------------===//

#include "DecisionLog.h"

#include <numeric>

namespace figlift::gateway {

DecisionLog::DecisionLog(unsigned PlainLinesPerSecond)
    : m_Allowance{PlainLinesPerSecond, PlainLinesPerSecond * NotableFactor,
                  PlainLinesPerSecond * NotableFactor, BeliefLinesPerSecond} {}

bool DecisionLog::allows(LineKind Kind, BootTime Now) {
  if (Now - m_SecondBegan >= std::chrono::seconds(1)) {
    m_SecondBegan = Now;
    m_Used.fill(0);
  }
  const auto Index = static_cast<size_t>(Kind);
  if (m_Used[Index] < m_Allowance[Index]) {
    ++m_Used[Index];
    return true;
  }
  ++m_LeftOut[Index];
  ++m_LeftOutTotal;
  return false;
}

void DecisionLog::tick(BootTime Now) {
  if (Now - m_SecondBegan < std::chrono::seconds(1) ||
      std::accumulate(m_LeftOut.begin(), m_LeftOut.end(), uint64_t{0}) == 0)
    return;
  log::logEvent(log::Level::Info, "lines-left-out",
                {{"plain", m_LeftOut[0]},
                 {"refused", m_LeftOut[1]},
                 {"notable", m_LeftOut[2]},
                 {"belief", m_LeftOut[3]}});
  m_LeftOut.fill(0);
}

} // namespace figlift::gateway
