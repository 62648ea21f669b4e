//===- CrashWatchCauses.cpp - Requests and parts that crash servers -------===//
//
// The part of CrashWatch that asks and feeds the tables of suspected requests
// and of causes of crashes.
//
//===----------------------------------------------------------------------===//

#include "CrashWatch.h"

#include "LibLog/Log.h"

#include <algorithm>
#include <utility>

namespace figlift::gateway {

using dispatch::CrashCandidate;
using dispatch::Fingerprint;
using dispatch::RequestCauses;
using dispatch::ServerStart;
using std::chrono::milliseconds;

namespace {

/// The request and its parts as candidates for a crash at \p CrashedAt.
std::vector<CrashCandidate> candidatesOf(const RequestCauses &Request,
                                         BootTime SentAt, BootTime CrashedAt) {
  const auto SentBefore = std::chrono::floor<milliseconds>(
      std::max(CrashedAt - SentAt, BootClock::duration::zero()));
  std::vector<CrashCandidate> Candidates;
  unsigned Depth = 0;
  for (const Fingerprint &Part : Request.Parts)
    Candidates.push_back({Part, Depth++, SentBefore});
  Candidates.push_back({Request.Request, Depth, SentBefore});
  return Candidates;
}

} // namespace

std::vector<CrashCandidate> CrashWatch::candidatesOf(const LostSend &Loss,
                                                     BootTime CrashedAt) {
  if (Loss.HasSurvived)
    return {};
  return gateway::candidatesOf(Loss.Request, Loss.SentAt, CrashedAt);
}

/// Answers that a server completed right before it crashed may only look
/// complete.
void CrashWatch::recordLastAnswers(const ServerStart &Start, BootTime CrashedAt,
                                   BootTime Now) {
  std::vector<CrashCandidate> Candidates;
  for (const dispatch::UnconfirmedAnswer &Answer :
       m_Answers.takeLast(Start, CrashedAt))
    for (const CrashCandidate &Candidate :
         gateway::candidatesOf(Answer.Causes, Answer.SentAt, CrashedAt))
      Candidates.push_back(Candidate);
  recordCandidates(Start, CrashedAt, Candidates, Now);
}

void CrashWatch::recordCandidates(const ServerStart &Start, BootTime CrashedAt,
                                  const std::vector<CrashCandidate> &Candidates,
                                  BootTime Now) {
  if (Candidates.empty())
    return;
  m_Causes.recordCrash(Start, CrashedAt, Candidates, Now);
  if (m_Log.allows(LineKind::State, Now))
    log::logEvent(log::Level::Info, "crash-candidates",
                  {{"target", Start.TargetId},
                   {"candidates", Candidates.size()},
                   {"crashes", m_Causes.crashCount()},
                   {"rejected", m_Causes.rejectedCount()}});
  logVerdicts(Now);
}

void CrashWatch::logVerdicts(BootTime Now) {
  for (const dispatch::CauseVerdict &Verdict : m_Causes.takeVerdictChanges())
    if (m_Log.allows(LineKind::State, Now))
      log::logEvent(log::Level::Info, "crash-cause",
                    {{"cause", Verdict.Cause.toString()},
                     {"rejected", Verdict.Rejected},
                     {"crashes", Verdict.Crashes},
                     {"evidence", Verdict.Evidence}});
}

bool CrashWatch::isSuspected(const RequestCauses &Request) const {
  return m_Suspects.crashes(Request.Request) > 0 ||
         std::any_of(Request.Parts.begin(), Request.Parts.end(),
                     [&](const Fingerprint &Part) {
                       return m_Causes.isRejected(Part) ||
                              m_Causes.openEvidence(Part) > 0;
                     });
}

/// Whether other causes explain all crashes during the request.
bool CrashWatch::isExcused(const dispatch::RequestFingerprint &Request) const {
  const auto Servers = m_Suspects.crashedServers(Request);
  return std::all_of(Servers.begin(), Servers.end(),
                     [&](const ServerStart &Server) {
                       return m_Causes.isExplainedByOther(Server, Request);
                     });
}

std::optional<CrashRejection> CrashWatch::rejects(const RequestCauses &Request,
                                                  AttemptStage Stage,
                                                  BootTime Now) const {
  if (const auto Rejection = m_Causes.rejects(Request.Parts, Now))
    return CrashRejection{"servers crash while answering prompts with a part "
                          "of this one",
                          Rejection->RetryAfter, Rejection->Cause};
  if (const auto Rejection = m_Suspects.rejectsAttempt(Request.Request, Now);
      Rejection && !isExcused(Request.Request))
    return CrashRejection{Rejection->Reason, Rejection->RetryAfter,
                          Request.Request};
  if (Stage == AttemptStage::Begun)
    return std::nullopt;
  if (const auto Rejection = m_Suspects.isolates(Request.Request, Now))
    return CrashRejection{Rejection->Reason, Rejection->RetryAfter,
                          Request.Request};
  return std::nullopt;
}

bool CrashWatch::mayRetry(const RequestCauses &Request) const {
  return (m_Suspects.crashes(Request.Request) == 0 ||
          m_Suspects.mayRetry(Request.Request)) &&
         std::none_of(Request.Parts.begin(), Request.Parts.end(),
                      [&](const Fingerprint &Part) {
                        return m_Causes.isRejected(Part) ||
                               m_Causes.isNearLimit(Part);
                      });
}

bool CrashWatch::sent(const RequestCauses &Request, uint64_t TrialId,
                      BootTime Now) {
  m_Suspects.recordSend(Request.Request, Now);
  bool IsTrial = false;
  for (const Fingerprint &Part : Request.Parts) {
    if (!m_Causes.isRejected(Part))
      continue;
    IsTrial = true;
    m_Causes.recordTrial(Part, TrialId, Now);
    if (m_Log.allows(LineKind::State, Now))
      log::logEvent(log::Level::Info, "crash-cause-tried",
                    {{"cause", Part.toString()}});
  }
  announceNew(Now);
  return IsTrial;
}

void CrashWatch::clear(const dispatch::RequestFingerprint &Request,
                       BootTime CompletedAt, BootTime Now) {
  if (const size_t Crashes = m_Suspects.crashes(Request);
      Crashes > 0 && m_Log.allows(LineKind::Notable, Now))
    log::logEvent(log::Level::Info, "suspicion-cleared",
                  {{"fingerprint", Request.toString()}, {"crashes", Crashes}});
  m_Suspects.recordCompletion(Request, CompletedAt);
}

void CrashWatch::completed(const ServerStart &Server,
                           dispatch::UnconfirmedAnswer Answer, BootTime Now) {
  if (!Answer.EndedWithConnection)
    confirm(Answer, Now);
  m_Answers.add(Server, std::move(Answer));
  announceNew(Now);
}

/// The server has survived the answer.
void CrashWatch::confirm(const dispatch::UnconfirmedAnswer &Answer,
                         BootTime Now) {
  clear(Answer.Causes.Request, Answer.CompletedAt, Now);
  survived(Answer.Causes, Answer.BeganAt, Now);
}

void CrashWatch::failed(const RequestCauses &Request, BootTime Now) {
  clear(Request.Request, Now, Now);
  announceNew(Now);
}

void CrashWatch::survived(const RequestCauses &Request, BootTime BeganAt,
                          BootTime Now) {
  for (const Fingerprint &Part : Request.Parts)
    m_Causes.recordSurvival(Part, BeganAt, Now);
  // Most requests never come again.
  if (m_Causes.isCandidate(Request.Request))
    m_Causes.recordSurvival(Request.Request, BeganAt, Now);
}

void CrashWatch::peerReportedCauses(const dispatch::CrashCauseUpdate &Update,
                                    BootTime Now) {
  m_Causes.applyUpdate(Update, Now);
  for (const dispatch::CrashCauseUpdate::Crash &Crash : Update.Crashes) {
    serverEnded(Crash.Server, "reported by a peer",
                Now - Crash.Age - CrashLossWindow);
    recordLastAnswers(Crash.Server, Now - Crash.Age, Now);
  }
  logVerdicts(Now);
  announceNew(Now);
}

} // namespace figlift::gateway
