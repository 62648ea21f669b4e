//===- DecisionLog.cpp - Rate limit for log events of decisions -----------===//
//
// The limits apply to windows of one second.
//
//===----------------------------------------------------------------------===//

#include "DecisionLog.h"

#include <numeric>

namespace figlift::gateway {

DecisionLog::DecisionLog(unsigned PlainLinesPerSecond)
    : m_Allowance{PlainLinesPerSecond, PlainLinesPerSecond * NotableFactor,
                  PlainLinesPerSecond * NotableFactor, AnswerEndLinesPerSecond,
                  StateLinesPerSecond} {}

bool DecisionLog::allows(LineKind Kind, BootTime Now) {
  if (Now - m_WindowStart >= std::chrono::seconds(1)) {
    m_WindowStart = Now;
    m_Used.fill(0);
  }
  const auto Index = static_cast<size_t>(Kind);
  if (m_Used[Index] < m_Allowance[Index]) {
    ++m_Used[Index];
    return true;
  }
  ++m_Suppressed[Index];
  ++m_SuppressedTotal;
  return false;
}

void DecisionLog::tick(BootTime Now) {
  if (Now - m_WindowStart < std::chrono::seconds(1) ||
      std::accumulate(m_Suppressed.begin(), m_Suppressed.end(), uint64_t{0}) ==
          0)
    return;
  const auto Count = [this](LineKind Kind) {
    return m_Suppressed[static_cast<size_t>(Kind)];
  };
  log::logEvent(log::Level::Info, "lines-left-out",
                {{"plain", Count(LineKind::Plain)},
                 {"refused", Count(LineKind::Rejected)},
                 {"notable", Count(LineKind::Notable)},
                 {"answerEnds", Count(LineKind::AnswerEnd)},
                 {"belief", Count(LineKind::State)}});
  m_Suppressed.fill(0);
}

} // namespace figlift::gateway
