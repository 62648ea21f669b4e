//===- ProcessStop.cpp - Graceful stop of a process -----------------------===//
//
// Times are counted from the earliest moment at which SIGTERM may have been
// sent.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ProcessStop.h"

#include <algorithm>

namespace figlift::dispatch {

void ProcessStop::begin(BootTime NoEarlierThan,
                        std::chrono::milliseconds Grace) {
  if (m_Begun)
    return;
  m_Begun = NoEarlierThan;
  m_FinalAnswersDue = NoEarlierThan + Grace - m_Options.ExitMargin;
}

void ProcessStop::updateGrace(std::chrono::milliseconds Grace) {
  if (m_Begun)
    m_FinalAnswersDue = std::min<BootTime>(
        m_FinalAnswersDue, *m_Begun + Grace - m_Options.ExitMargin);
}

std::optional<Milliseconds> ProcessStop::timeLeft(BootTime Now) const {
  if (!m_Begun)
    return std::nullopt;
  return Milliseconds(m_FinalAnswersDue - Now);
}

bool ProcessStop::accepts(const NewWork &Work, BootTime Now) const {
  const auto Remaining = timeLeft(Now);
  if (!Remaining || Work.TimeLeft <= *Remaining)
    return true;
  if (Work.Answer == AnswerForm::Stream ||
      Work.MayRepeat == Repetition::Forbidden)
    return false;
  return *Remaining >
         m_Options.WholeReserve +
             std::max(Work.Expected * m_Options.WholeFactor, Work.Longest);
}

BootTime ProcessStop::timeAtFraction(double Fraction) const {
  return *m_Begun + std::chrono::duration_cast<BootClock::duration>(
                        (m_FinalAnswersDue - *m_Begun) * Fraction);
}

bool ProcessStop::closesIdle(BootTime Now) const {
  return m_Begun && Now > timeAtFraction(m_Options.IdleCloseShare);
}

bool ProcessStop::startsFinalAnswers(BootTime Now) {
  if (!m_Begun || m_FinalAnswersSent || Now < m_FinalAnswersDue)
    return false;
  m_FinalAnswersSent = Now;
  return true;
}

bool ProcessStop::mayExit(BootTime Now, bool HasNoCallers) const {
  if (!m_Begun)
    return false;
  if (HasNoCallers && Now > timeAtFraction(m_Options.NoCallersShare))
    return true;
  return m_FinalAnswersSent &&
         Now >= *m_FinalAnswersSent + m_Options.FinalAnswerTime;
}

} // namespace figlift::dispatch
