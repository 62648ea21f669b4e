//===- CrashWatch.h - Detects server crashes caused by requests -*- C++ -*-===//
//
// Lost connections are common: servers close some, and links reset others. A
// crash is the end of the server process, and usually its address then refuses
// connections. After a connection was lost during a request, the gateway
// therefore probes the server with a connection attempt, one for all requests
// that were lost together. If another process accepts connections at the
// address, the server list shows the crash seconds later: the server is removed
// without having been draining.
//
// Results go to the peers, and to two tables that decide which requests to
// reject. CrashSuspects knows requests that come again as they were, and
// CrashCauses the prompt parts that different requests have in common. A crash
// that one of them explains counts in neither against another request.
//
// A request that was sent after the server had crashed cannot be the cause. Its
// connection is lost all the same, as something else may still accept at the
// address, or the end of a kept connection is still on its way.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "DecisionLog.h"

#include "LibCore/Clock.h"
#include "LibDispatch/CrashCauses.h"
#include "LibDispatch/CrashSuspects.h"
#include "LibDispatch/Prompt.h"
#include "LibDispatch/RequestCauses.h"
#include "LibDispatch/UnconfirmedAnswers.h"
#include "LibProxy/RequestParser.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::gateway {

/// The request must not be sent to a server now (CrashesTargets).
struct CrashRejection {
  std::string_view Reason;
  std::chrono::milliseconds RetryAfter{0};
  /// The request or its prompt part that crashes servers.
  dispatch::Fingerprint Cause;
};

/// Whether an attempt of a request is about to begin, or has been sent before.
enum class AttemptStage { New, Begun };

class CrashWatch {
public:
  using Announcer =
      std::function<void(const std::vector<dispatch::SuspectUpdate> &)>;
  using CauseAnnouncer =
      std::function<void(const dispatch::CrashCauseUpdate &)>;

  CrashWatch(boost::asio::io_context &Loop, DecisionLog &Log)
      : m_Loop(Loop), m_Log(Log) {}

  /// \p Announce is called with updates that peers need at once.
  void onUpdate(Announcer Announce, CauseAnnouncer AnnounceCauses) {
    m_Announce = std::move(Announce);
    m_AnnounceCauses = std::move(AnnounceCauses);
  }
  /// See CrashCauses::setTrialDelay().
  void setTrialDelay(std::chrono::milliseconds Delay) {
    m_Causes.setTrialDelay(Delay);
  }

  /// Fingerprints are computed with the fleet's secret from now on.
  void useSecret(const std::string &Secret);
  /// \p Tenant identifies the caller; without a tenant, its credentials do.
  /// Empty while the secret is not known.
  std::optional<dispatch::RequestCauses>
  causesOf(const proxy::Request &Request,
           const std::optional<std::string> &Tenant, const std::string &Service,
           const std::optional<dispatch::Prompt> &Prompt) const;

  const dispatch::CrashSuspects &suspects() const { return m_Suspects; }
  const dispatch::CrashCauses &causes() const { return m_Causes; }
  /// Whether any request may be rejected or retried less often at present.
  bool hasSuspects() const { return !m_Suspects.empty() || !m_Causes.empty(); }
  /// Whether servers have crashed during this request or others with one of its
  /// parts.
  bool isSuspected(const dispatch::RequestCauses &Request) const;
  /// Returns a rejection if the request must not be sent to a server now.
  std::optional<CrashRejection> rejects(const dispatch::RequestCauses &Request,
                                        AttemptStage Stage, BootTime Now) const;
  /// Whether the same attempt may retry a send that has just been interrupted,
  /// while it is not yet known if the server ended.
  bool mayRetry(const dispatch::RequestCauses &Request) const;
  void recordRejected() { ++m_Rejected; }
  /// Records that the request is being sent to a server. Returns whether it is
  /// a trial of a rejected prompt part; \p TrialId identifies it then.
  bool sent(const dispatch::RequestCauses &Request, uint64_t TrialId,
            BootTime Now);
  /// Whether a crash may be detected for which the completed requests have to
  /// be known.
  bool needsCompletions() const {
    return !m_Suspicions.empty() || hasSuspects();
  }
  /// Records that the server completed the request.
  void completed(const dispatch::ServerStart &Server,
                 dispatch::UnconfirmedAnswer Answer, BootTime Now);
  /// Records that the server failed the request and is still running.
  void failed(const dispatch::RequestCauses &Request, BootTime Now);
  /// Records that a server, which began to write at \p BeganAt, has been
  /// writing for so long that the request does not crash it.
  void survived(const dispatch::RequestCauses &Request, BootTime BeganAt,
                BootTime Now);
  /// A send whose connection was lost.
  struct LostSend {
    dispatch::RequestCauses Request;
    BootTime SentAt{};
    BootTime LostAt{};
    /// The server had survived the request before.
    bool HasSurvived = false;
  };
  void connectionLost(const dispatch::Target &Target, const LostSend &Loss);
  /// The server sent a part of a response: it had not crashed before.
  void serverResponded(const dispatch::ServerStart &Start, BootTime Now);
  /// The target is draining: connections that it closes from now on are no
  /// sign of a crash.
  void targetDraining(const std::string &TargetId);
  /// The target, or this start of it, was removed from the server list.
  void targetRemoved(const std::string &TargetId);
  void tick(BootTime Now);

  void peerReported(const std::vector<dispatch::SuspectUpdate> &Updates,
                    BootTime Now);
  void peerReportedCauses(const dispatch::CrashCauseUpdate &Update,
                          BootTime Now);
  /// \name Updates that are announced again because peers may have missed them.
  /// @{
  std::vector<dispatch::SuspectUpdate> reannouncements(BootTime Now);
  dispatch::CrashCauseUpdate causeReannouncement(BootTime Now) {
    return m_Causes.takeRetransmission(Now);
  }
  dispatch::CrashCauseUpdate rejectionReannouncement(BootTime Now) {
    return m_Causes.takeRejections(Now);
  }
  /// @}

  /// Servers that crashed during a request.
  uint64_t crashes() const { return m_Crashes; }
  uint64_t rejected() const { return m_Rejected; }

private:
  /// Connections that were lost at most this long before their server refused a
  /// probe were lost in the crash; the server closed earlier ones and kept
  /// running.
  static constexpr std::chrono::milliseconds CrashLossWindow{1000};

  /// Requests whose connections to one start of a server were lost, while it
  /// is unknown whether the server crashed.
  struct Suspicion {
    bool Probing = false;
    std::vector<LostSend> Losses;
    /// When the server sent something last, after the first of the losses.
    std::optional<BootTime> LastResponse;

    /// The latest time at which the server can have crashed: its first lost
    /// connection since its last response. Connections that were lost before
    /// \p Since were not lost in the crash. Empty if none was.
    std::optional<BootTime> crashedBy(BootTime Since) const;
  };
  struct Ended {
    /// See Suspicion::crashedBy().
    BootTime CrashedBy{};
    BootTime DetectedAt{};
  };
  using Suspicions = std::map<dispatch::ServerStart, Suspicion>;

  Suspicions::iterator findSuspicion(const std::string &TargetId);
  /// Runs \p Work, a step of the probe. If it throws, the probe has ended, and
  /// the next loss begins another.
  template <typename Function>
  void guardProbe(const dispatch::ServerStart &Start, Function Work);
  void probeEnded(const dispatch::ServerStart &Start);
  void probe(const dispatch::ServerStart &Start, const Endpoint &Address,
             unsigned Attempt);
  void retryProbe(const dispatch::ServerStart &Start, const Endpoint &Address,
                  unsigned Attempt);
  /// Attributes the crash to the requests that were sent before it and whose
  /// connections were lost at or after \p Since.
  void serverEnded(const dispatch::ServerStart &Start, std::string_view Reason,
                   BootTime Since);
  void suspect(const dispatch::ServerStart &Start, const LostSend &Loss,
               BootTime Now);
  void clear(const dispatch::RequestFingerprint &Request, BootTime CompletedAt,
             BootTime Now);
  void confirm(const dispatch::UnconfirmedAnswer &Answer, BootTime Now);
  bool isExcused(const dispatch::RequestFingerprint &Request) const;
  static std::vector<dispatch::CrashCandidate>
  candidatesOf(const LostSend &Loss, BootTime CrashedAt);
  void recordLastAnswers(const dispatch::ServerStart &Start, BootTime CrashedAt,
                         BootTime Now);
  void recordCandidates(const dispatch::ServerStart &Start, BootTime CrashedAt,
                        const std::vector<dispatch::CrashCandidate> &Candidates,
                        BootTime Now);
  void logVerdicts(BootTime Now);
  void announceNew(BootTime Now);

  boost::asio::io_context &m_Loop;
  DecisionLog &m_Log;
  Announcer m_Announce;
  CauseAnnouncer m_AnnounceCauses;
  std::optional<dispatch::Fingerprinter> m_Fingerprinter;
  dispatch::CrashSuspects m_Suspects;
  dispatch::CrashCauses m_Causes;
  dispatch::UnconfirmedAnswers m_Answers;
  Suspicions m_Suspicions;
  /// Starts of servers that crashed. Further lost connections to them may be
  /// reported later.
  std::map<dispatch::ServerStart, Ended> m_Ended;
  uint64_t m_Crashes = 0;
  uint64_t m_Rejected = 0;
};

} // namespace figlift::gateway
