//===- SendHistory.cpp - Everything that one request was sent -------------===//
//
// See SendHistory.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/SendHistory.h"

#include <algorithm>

namespace figlift::dispatch {

namespace {

NotRunBasis basisOf(const SendRecord &Send) {
  if (!Send.hasArrived())
    return NotRunBasis::NoConnection;
  return Send.Outcome && std::holds_alternative<Rejected>(*Send.Outcome)
             ? NotRunBasis::Rejected
             : NotRunBasis::OnlyPrefilled;
}

} // namespace

std::string_view describe(NotRunBasis Basis) {
  switch (Basis) {
  case NotRunBasis::NeverSent:
    return "never sent";
  case NotRunBasis::NoConnection:
    return "no connection";
  case NotRunBasis::OnlyPrefilled:
    return "only prefilled";
  case NotRunBasis::Rejected:
    return "rejected";
  }
  return {};
}

SendHistory::SendNumber SendHistory::begin(SendPurpose Purpose,
                                           std::string TargetId) {
  m_Sends.push_back({Purpose, std::move(TargetId)});
  return m_Sends.size() - 1;
}

void SendHistory::recordConnection(SendNumber Number, uint64_t Connection,
                                   uint64_t Exchange) {
  m_Sends[Number].Connection = Connection;
  m_Sends[Number].Exchange = Exchange;
}

void SendHistory::recordRun(SendNumber Number) {
  m_Sends[Number].HasRun = true;
}

bool SendHistory::hasUsed(uint64_t Connection) const {
  return std::any_of(m_Sends.begin(), m_Sends.end(),
                     [Connection](const SendRecord &Send) {
                       return Send.Connection == Connection;
                     });
}

void SendHistory::end(SendNumber Number, const SendOutcome &Outcome) {
  if (SendRecord &Send = m_Sends[Number]; !Send.Outcome)
    Send.Outcome = Outcome;
}

unsigned SendHistory::countedSends() const {
  return static_cast<unsigned>(
      std::count_if(m_Sends.begin(), m_Sends.end(), [](const SendRecord &Send) {
        const auto *Unsent =
            Send.Outcome ? std::get_if<NotSent>(&*Send.Outcome) : nullptr;
        return !Unsent || !Unsent->ConnectFailed;
      }));
}

unsigned SendHistory::executions() const {
  return static_cast<unsigned>(
      std::count_if(m_Sends.begin(), m_Sends.end(),
                    [](const SendRecord &Send) { return Send.mayHaveRun(); }));
}

unsigned SendHistory::arrivals(SendPurpose Purpose) const {
  return static_cast<unsigned>(std::count_if(
      m_Sends.begin(), m_Sends.end(), [Purpose](const SendRecord &Send) {
        return Send.Purpose == Purpose && Send.hasArrived();
      }));
}

std::optional<NotRunBasis> SendHistory::notRunBasis() const {
  if (executions() > 0)
    return std::nullopt;
  NotRunBasis Basis = NotRunBasis::NeverSent;
  for (const SendRecord &Send : m_Sends)
    Basis = std::max(Basis, basisOf(Send));
  return Basis;
}

ErrorStatus SendHistory::errorStatus(MissingAnswer Reason) const {
  if (notRunBasis())
    return ErrorStatus(NotRunStatus);
  return ErrorStatus(Reason == MissingAnswer::TimedOut ? TimedOutStatus
                                                       : OutcomeUnknownStatus);
}

std::string SendHistory::describe() const {
  constexpr size_t MaximumDescribed = 8;
  std::string Text;
  for (size_t I = 0; I < std::min(m_Sends.size(), MaximumDescribed); ++I) {
    const SendRecord &Send = m_Sends[I];
    Text += I == 0 ? "" : "; ";
    Text += Send.Purpose == SendPurpose::Execute ? "run " : "read-prompt ";
    Text += Send.TargetId + " " + std::to_string(Send.Connection) + "/" +
            std::to_string(Send.Exchange) + " ";
    Text += Send.Outcome ? dispatch::describe(*Send.Outcome)
                         : "answered or canceled";
  }
  return Text;
}

} // namespace figlift::dispatch
