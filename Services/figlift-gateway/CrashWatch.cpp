//===- CrashWatch.cpp - Detects server crashes caused by requests ---------===//
//
// One series of probes for each suspicion.
//
//===----------------------------------------------------------------------===//

#include "CrashWatch.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"
#include "LibUpstream/ServerProbe.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace figlift::gateway {

using dispatch::ServerStart;
using upstream::ProbeResult;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Many round trips. A server that does not answer in this time is unreachable
/// or without power; a crashed process on a running host would refuse the
/// connection.
constexpr milliseconds ProbeTimeout{600};
/// A killed process may lose its connections before its listener. An
/// established connection is therefore no proof that the server runs, and the
/// probe is repeated once after a pause.
constexpr unsigned ProbeAttempts = 2;
constexpr milliseconds ProbePause{50};
/// Covers the time until the store removes a server that crashed without
/// refusing a connection.
constexpr milliseconds SuspicionLifetime{6000};
/// About 90 bytes each.
constexpr size_t MaximumReannounced = 10;

/// Bounds the work for prompts whose callers choose very many parts.
constexpr size_t MaximumParts = 32;

} // namespace

void CrashWatch::useSecret(const std::string &Secret) {
  const auto Fingerprinter = dispatch::Fingerprinter::fromSecret(Secret);
  if (!Fingerprinter)
    return log::logError(log::Level::Error, "peer-secret-invalid",
                         Fingerprinter.error());
  m_Fingerprinter = Fingerprinter.value();
}

std::optional<dispatch::RequestCauses>
CrashWatch::causesOf(const proxy::Request &Request,
                     const std::optional<std::string> &Tenant,
                     const std::string &Service,
                     const std::optional<dispatch::Prompt> &Prompt) const {
  if (!m_Fingerprinter)
    return std::nullopt;
  const proxy::HeaderList &Fields = Request.Head.Headers;
  dispatch::RequestCauses Causes;
  Causes.Request = m_Fingerprinter->of(
      {Request.Head.Method, Fields.find("Host").value_or(""),
       Request.Head.Target,
       Tenant ? std::string_view(*Tenant)
              : Fields.find("Authorization").value_or(""),
       Request.Body,
       Prompt ? std::span(Prompt->Parts)
              : std::span<const dispatch::PromptPart>()});
  if (!Prompt)
    return Causes;
  const auto Parts = Prompt->sharedParts();
  for (const dispatch::PromptPart &Part :
       Parts.first(std::min(Parts.size(), MaximumParts)))
    Causes.Parts.push_back(m_Fingerprinter->ofPart(Service, Part.Id));
  return Causes;
}

void CrashWatch::connectionLost(const dispatch::Target &Target,
                                const LostSend &Loss) {
  const ServerStart Start = Target.start();
  if (const auto Known = m_Ended.find(Start); Known != m_Ended.end()) {
    const BootTime Now = BootClock::now();
    if (Loss.SentAt <= Known->second.CrashedBy) {
      suspect(Start, Loss, Now);
      recordCandidates(Start, Known->second.CrashedBy,
                       candidatesOf(Loss, Known->second.CrashedBy), Now);
    }
    return announceNew(Now);
  }
  Suspicion &Entry = m_Suspicions[Start];
  Entry.Losses.push_back(Loss);
  if (!std::exchange(Entry.Probing, true))
    probe(Start, Target.Address, 1);
}

template <typename Function>
void CrashWatch::guardProbe(const ServerStart &Start, Function Work) {
  if (!log::guarded("probe of a server", Start.TargetId, Work))
    probeEnded(Start);
}

void CrashWatch::probeEnded(const ServerStart &Start) {
  if (const auto Entry = m_Suspicions.find(Start); Entry != m_Suspicions.end())
    Entry->second.Probing = false;
}

void CrashWatch::probe(const ServerStart &Start, const Endpoint &Address,
                       unsigned Attempt) {
  upstream::probeServer(m_Loop, Address, {ProbeTimeout},
                        [this, Start, Address, Attempt](ProbeResult Result) {
                          guardProbe(Start, [&] {
                            if (Result == ProbeResult::Refused ||
                                Result == ProbeResult::Closed)
                              serverEnded(Start, "refuses connections",
                                          BootClock::now() - CrashLossWindow);
                            else if (Result == ProbeResult::Accepted)
                              retryProbe(Start, Address, Attempt);
                            else
                              probeEnded(Start);
                          });
                        });
}

void CrashWatch::retryProbe(const ServerStart &Start, const Endpoint &Address,
                            unsigned Attempt) {
  if (Attempt == ProbeAttempts)
    return probeEnded(Start);
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(m_Loop, ProbePause);
  Timer->async_wait(
      [this, Timer, Start, Address, Attempt](const ErrorCode &Stopped) {
        if (!Stopped)
          guardProbe(Start, [&] { probe(Start, Address, Attempt + 1); });
      });
}

std::optional<BootTime> CrashWatch::Suspicion::crashedBy(BootTime Since) const {
  std::optional<BootTime> First;
  for (const LostSend &Loss : Losses)
    if (Loss.LostAt >= Since && (!LastResponse || Loss.LostAt > *LastResponse))
      First = std::min(First.value_or(Loss.LostAt), Loss.LostAt);
  return First;
}

void CrashWatch::serverResponded(const ServerStart &Start, BootTime Now) {
  if (const auto Entry = m_Suspicions.find(Start); Entry != m_Suspicions.end())
    Entry->second.LastResponse = Now;
  if (m_Answers.empty())
    return;
  for (const dispatch::UnconfirmedAnswer &Answer :
       m_Answers.confirm(Start, Now))
    if (Answer.EndedWithConnection)
      confirm(Answer, Now);
}

CrashWatch::Suspicions::iterator
CrashWatch::findSuspicion(const std::string &TargetId) {
  const auto Entry =
      m_Suspicions.lower_bound(ServerStart{TargetId, std::nullopt});
  return Entry != m_Suspicions.end() && Entry->first.TargetId == TargetId
             ? Entry
             : m_Suspicions.end();
}

void CrashWatch::targetDraining(const std::string &TargetId) {
  m_Answers.remove(TargetId);
  if (const auto Entry = findSuspicion(TargetId); Entry != m_Suspicions.end())
    m_Suspicions.erase(Entry);
}

void CrashWatch::targetRemoved(const std::string &TargetId) {
  if (const auto Entry = findSuspicion(TargetId); Entry != m_Suspicions.end())
    serverEnded(ServerStart(Entry->first), "is listed no more",
                BootClock::now() - SuspicionLifetime);
  // No connection was lost, but the server was not heard of after its last
  // answers.
  else if (const auto Last = m_Answers.last(TargetId);
           Last && !m_Ended.contains(Last->Server))
    recordLastAnswers(Last->Server, Last->CompletedAt, BootClock::now());
  m_Answers.remove(TargetId);
}

void CrashWatch::serverEnded(const ServerStart &Start, std::string_view Reason,
                             BootTime Since) {
  const auto Entry = m_Suspicions.find(Start);
  if (Entry == m_Suspicions.end())
    return;
  const BootTime Now = BootClock::now();
  const Suspicion Confirmed = std::move(Entry->second);
  m_Suspicions.erase(Entry);
  const BootTime CrashedBy = Confirmed.crashedBy(Since).value_or(Now);
  m_Ended[Start] = {CrashedBy, Now};
  ++m_Crashes;
  if (m_Log.allows(LineKind::State, Now))
    log::logEvent(log::Level::Info, "server-ended",
                  {{"target", Start.TargetId},
                   {"how", Reason},
                   {"brokeOff", Confirmed.Losses.size()}});
  std::vector<dispatch::CrashCandidate> Candidates;
  for (const LostSend &Loss : Confirmed.Losses) {
    if (Loss.LostAt < Since || Loss.SentAt > CrashedBy)
      continue;
    suspect(Start, Loss, Now);
    for (const auto &Candidate : candidatesOf(Loss, CrashedBy))
      Candidates.push_back(Candidate);
  }
  recordCandidates(Start, CrashedBy, Candidates, Now);
  recordLastAnswers(Start, CrashedBy, Now);
  announceNew(Now);
}

void CrashWatch::suspect(const ServerStart &Start, const LostSend &Loss,
                         BootTime Now) {
  const dispatch::RequestFingerprint &Request = Loss.Request.Request;
  m_Suspects.recordCrash(Request, {Start, Loss.SentAt, Loss.LostAt}, Now);
  const auto Age = [&](BootTime Time) {
    return std::chrono::duration_cast<milliseconds>(Now - Time).count();
  };
  if (m_Log.allows(LineKind::Notable, Now))
    log::logEvent(log::Level::Info, "request-suspected",
                  {{"fingerprint", Request.toString()},
                   {"target", Start.TargetId},
                   {"sentMsAgo", Age(Loss.SentAt)},
                   {"brokeOffMsAgo", Age(Loss.LostAt)},
                   {"evidence", m_Suspects.evidence(Request)},
                   {"crashes", m_Suspects.crashes(Request)}});
}

void CrashWatch::announceNew(BootTime Now) {
  const auto Updates = m_Suspects.takeChanges(Now);
  if (!Updates.empty() && m_Announce)
    m_Announce(Updates);
  for (const dispatch::CrashCauseUpdate &Update : m_Causes.takeChanges(Now))
    if (m_AnnounceCauses)
      m_AnnounceCauses(Update);
}

void CrashWatch::peerReported(
    const std::vector<dispatch::SuspectUpdate> &Updates, BootTime Now) {
  for (const dispatch::SuspectUpdate &Update : Updates) {
    m_Suspects.applyUpdate(Update, Now);
    // This gateway lost its connections to the server at about the same time
    // as the peer.
    for (const dispatch::SuspectUpdate::Crash &Crash : Update.Crashes)
      serverEnded(Crash.Server, "reported by a peer",
                  Now - Crash.Age - CrashLossWindow);
  }
}

std::vector<dispatch::SuspectUpdate> CrashWatch::reannouncements(BootTime Now) {
  return m_Suspects.takeRetransmissions(MaximumReannounced, Now);
}

void CrashWatch::tick(BootTime Now) {
  for (auto &[Start, Entry] : m_Suspicions)
    std::erase_if(Entry.Losses, [&](const LostSend &Loss) {
      return Now - Loss.LostAt > SuspicionLifetime;
    });
  std::erase_if(m_Suspicions,
                [](const auto &Entry) { return Entry.second.Losses.empty(); });
  std::erase_if(m_Ended, [&](const auto &Entry) {
    return Now - Entry.second.DetectedAt > SuspicionLifetime;
  });
  m_Suspects.expire(Now);
  // Servers that crashed would have been removed since.
  for (const dispatch::UnconfirmedAnswer &Answer :
       m_Answers.takeBefore(Now - SuspicionLifetime))
    if (Answer.EndedWithConnection)
      confirm(Answer, Now);
  m_Causes.expire(Now);
  logVerdicts(Now);
  announceNew(Now);
}

} // namespace figlift::gateway
