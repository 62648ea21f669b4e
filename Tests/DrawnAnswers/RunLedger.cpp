//===- RunLedger.cpp - What ran, and what callers were told ---------------===//
//
// See RunLedger.h.
//
//===----------------------------------------------------------------------===//

#include "RunLedger.h"

namespace figlift::testing {

void RunLedger::recordRequest(const std::string &AttemptId, Repeats Kind,
                              unsigned MaximumRuns) {
  m_Entries[AttemptId] = {Kind, MaximumRuns};
}

void RunLedger::recordRun(const std::string &AttemptId) {
  const auto Found = m_Entries.find(AttemptId);
  if (Found == m_Entries.end()) {
    m_Violations.push_back("UNASKED " + AttemptId);
    return;
  }
  Entry &Request = Found->second;
  ++Request.Runs;
  if (Request.Kind == Repeats::Once && Request.Runs > 1)
    m_Violations.push_back("TWICE " + AttemptId);
  if (Request.Runs > Request.MaximumRuns)
    m_Violations.push_back("BUDGET " + AttemptId + " ran " +
                           std::to_string(Request.Runs) + " times");
  if (Request.PromisedNotRun)
    m_Violations.push_back("REFUSED " + AttemptId + " ran later");
}

void RunLedger::recordAnswer(const std::string &AttemptId, unsigned Status,
                             const std::string &Body) {
  ++m_Answers[Status];
  Entry &Request = m_Entries[AttemptId];
  Request.PromisedNotRun =
      Status == 408 || Status == 421 || Status == 429 || Status == 503;
  if (Request.PromisedNotRun && Request.Runs > 0)
    m_Violations.push_back("REFUSED " + AttemptId + " with " +
                           std::to_string(Status) + " after " +
                           std::to_string(Request.Runs) + " runs");
  if (Status == 200 && Body.find(AttemptId) == std::string::npos)
    m_Violations.push_back("MIXED " + AttemptId + " got: " + Body);
}

unsigned RunLedger::answers(unsigned Status) const {
  const auto Found = m_Answers.find(Status);
  return Found == m_Answers.end() ? 0 : Found->second;
}

} // namespace figlift::testing
