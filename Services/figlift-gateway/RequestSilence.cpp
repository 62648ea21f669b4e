//===- RequestSilence.cpp - Servers that send nothing ---------------------===//
//
// Gives an attempt up whose server has been silent for too long, if another one
// can take the request.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

namespace figlift::gateway {

using dispatch::Milliseconds;
using dispatch::SendOutcome;
using std::chrono::milliseconds;

namespace {

/// The event loop reads what has arrived within this time.
constexpr milliseconds UnreadInputWait{1};

} // namespace

void RequestFlow::armSendTimeout(Milliseconds Expected) {
  armSilenceTimeout(std::chrono::duration_cast<BootClock::duration>(
      Expected * OverdueFactor + OverdueBase));
}

void RequestFlow::armSilenceTimeout(BootClock::duration Timeout) {
  m_SilenceTimeout = Timeout;
  waitForSilence(Timeout);
}

void RequestFlow::waitForSilence(BootClock::duration Time) {
  m_SilenceTimer.expires_after(Time);
  m_SilenceTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Stopped) {
        if (!Stopped)
          Self->guard([&] { Self->sendOverdue(); });
      });
}

void RequestFlow::sendOverdue() {
  if (m_Done || !m_Send)
    return;
  // When the process is behind schedule, the timer may be due before the answer
  // that has arrived meanwhile has been read.
  if (m_Send->hasUnreadInput())
    return waitForSilence(UnreadInputWait);
  // Silence alone does not end an attempt: it is canceled only when the
  // request may be retried and another server is available. Canceling before
  // this check would fail requests and interrupt streams that the silent server
  // answers a moment later.
  const auto Overdue = m_Send;
  const SendOutcome End = dispatch::TimedOut{};
  if (!std::holds_alternative<dispatch::Retry>(nextStep(End, *Overdue)) ||
      !hasAlternative(Overdue->targetId(), BootClock::now()))
    return waitForSilence(m_SilenceTimeout);
  m_History.end(Overdue->number(), End);
  logSendEnded(*Overdue, End);
  abandonExpectedCache(Overdue->targetId());
  Overdue->cancel();
  recordSlotFreed(*Overdue, End);
  retry(*Overdue);
}

} // namespace figlift::gateway
