//===- UsageDuty.cpp - Reports usage, one process at a time ---------------===//
//
// See UsageDuty.h.
//
//===----------------------------------------------------------------------===//

#include "LibUsage/UsageDuty.h"

#include <algorithm>

namespace figlift::usage {

using std::chrono::milliseconds;

namespace {

/// A gateway that does not send its final sum within this share of the time
/// until the report is due is reported with what it sent before.
constexpr double CollectionShare = 0.6;
/// A process that has taken the duty over waits this long for the sums of
/// gateways that sent them to its predecessor.
constexpr milliseconds TakeoverTime{1500};
constexpr milliseconds RetryInterval{300};
/// A report may still be of use this long after it was due.
constexpr milliseconds Overtime{2000};

} // namespace

UsageDuty::UsageDuty(DutyOptions Options, const UsageSource &Source)
    : m_Options(Options), m_Source(Source) {}

std::vector<Action> UsageDuty::step(const Event &Input, const Moment &At) {
  Actions Out;
  // Another process may have written records between two epochs.
  if (At.Epoch != m_Epoch) {
    m_Records.clear();
    m_Epoch = At.Epoch;
    m_TakenAt = At.Now;
  }
  std::visit([&](const auto &Occurred) { on(Occurred, At, Out); }, Input);
  return Out;
}

void UsageDuty::on(const Tick &, const Moment &At, Actions &Out) {
  dropOverdue(At, Out);
  work(At, Out);
}

void UsageDuty::work(const Moment &At, Actions &Out) {
  if (!At.Epoch || At.Now < m_NextTry || m_Phase != Phase::Ready)
    return;
  const WindowNumber Current = windowAt(At.Time, m_Options.WindowLength);
  for (WindowNumber Window = m_Settled + 1; Window < Current; ++Window)
    if (!isDone(Window) && report(Window, At, Out))
      return;
}

bool UsageDuty::report(WindowNumber Window, const Moment &At, Actions &Out) {
  const size_t Index = Window % Rows;
  const auto Known = m_Records.find(Index);
  if (Known == m_Records.end()) {
    m_Phase = Phase::Reading;
    m_Row = Index;
    m_CallEpoch = At.Epoch;
    Out.push_back(ReadRecord{Index});
    return true;
  }
  const RecordRow &Row = Known->second;
  if (Row.Record && Row.Record->Window == Window) {
    m_Phase = Phase::Sending;
    m_Sent[Window] = Row.Record->Requests;
    Out.push_back(SendReport{*Row.Record, *At.Epoch});
    return true;
  }
  if (!isClosed(Window, At) || (Row.Record && Row.Record->Window > Window))
    return false;
  const auto Sent = m_Sent.find(Window);
  m_Written = {Window,
               Sent == m_Sent.end() ? m_Source.totals(Window) : Sent->second};
  // A window without requests needs no report.
  if (m_Written.Requests.empty())
    return false;
  m_Phase = Phase::Writing;
  m_Row = Index;
  m_CallEpoch = At.Epoch;
  Out.push_back(WriteRecord{Index, Row.Version, m_Written});
  return true;
}

bool UsageDuty::isClosed(WindowNumber Window, const Moment &At) const {
  const auto SinceEnd = At.Time - endOf(Window, m_Options.WindowLength);
  return m_Source.isComplete(Window) ||
         (SinceEnd >= m_Options.DueAfter * CollectionShare &&
          At.Now - m_TakenAt >= TakeoverTime);
}

void UsageDuty::on(const RecordRead &Read, const Moment &At, Actions &Out) {
  m_Phase = Phase::Ready;
  if (At.Epoch && m_CallEpoch == At.Epoch)
    m_Records[m_Row] = Read.Row;
  work(At, Out);
}

void UsageDuty::on(const ReadFailed &, const Moment &At, Actions &) {
  m_Phase = Phase::Ready;
  retryLater(At);
}

void UsageDuty::on(const RecordWritten &, const Moment &At, Actions &Out) {
  m_Phase = Phase::Ready;
  if (const auto Known = m_Records.find(m_Row);
      Known != m_Records.end() && m_CallEpoch == At.Epoch)
    Known->second = {Known->second.Version + 1, m_Written};
  work(At, Out);
}

void UsageDuty::on(const WriteFailed &, const Moment &At, Actions &) {
  m_Phase = Phase::Ready;
  m_Records.erase(m_Row);
  retryLater(At);
}

void UsageDuty::on(const ReportAnswered &Answered, const Moment &At,
                   Actions &Out) {
  m_Phase = Phase::Ready;
  if (Answered.Answer == Reply::Failed)
    return retryLater(At);
  m_Accepted[Answered.Window] = Answered.Answer == Reply::Accepted;
  settle();
  work(At, Out);
}

void UsageDuty::on(const StoreRestored &, const Moment &, Actions &) {
  m_Records.clear();
  m_CallEpoch.reset();
}

void UsageDuty::retryLater(const Moment &At) {
  m_NextTry = At.Now + RetryInterval;
}

/// Windows whose reports are of no use any more are settled. The first step
/// settles everything before the windows that may still be due.
void UsageDuty::dropOverdue(const Moment &At, Actions &Out) {
  const auto Horizon = m_Options.DueAfter + Overtime + m_Options.WindowLength;
  const WindowNumber Oldest =
      windowAt(At.Time - Horizon, m_Options.WindowLength);
  if (m_Settled == 0)
    m_Settled = Oldest;
  while (m_Settled < Oldest) {
    const WindowNumber Window = m_Settled + 1;
    const bool WasOwed =
        m_Sent.contains(Window) || !m_Source.totals(Window).empty();
    if (At.Epoch && !isDone(Window) && WasOwed)
      Out.push_back(MissedWindow{Window});
    m_Accepted.try_emplace(Window, false);
    settle();
  }
}

void UsageDuty::settle() {
  while (m_Accepted.erase(m_Settled + 1) > 0)
    ++m_Settled;
  std::erase_if(m_Sent,
                [this](const auto &Entry) { return Entry.first <= m_Settled; });
}

} // namespace figlift::usage
