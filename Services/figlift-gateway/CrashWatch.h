//===- CrashWatch.h - Detects server crashes caused by requests -*- C++ -*-===//
//
// Lost connections are common: servers close some, and links reset others. A
// crash is the end of the server process, and usually its address then refuses
// connections. After a connection was lost during a request, the gateway
// therefore probes the server with a connection attempt, one for all requests
// that were lost together. If another process accepts connections at the
// address, the server list shows the crash seconds later: the server is removed
// without having been draining. Results go to CrashSuspects, which decides
// which requests to reject, and to the peers.
//
// A request that was sent after the server had crashed cannot be the cause. Its
// connection is lost all the same, as something else may still accept at the
// address, or the end of a kept connection is still on its way.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "DecisionLog.h"

#include "LibCore/Clock.h"
#include "LibDispatch/CrashSuspects.h"
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

class CrashWatch {
public:
  using Announcer =
      std::function<void(const std::vector<dispatch::SuspectUpdate> &)>;

  CrashWatch(boost::asio::io_context &Loop, DecisionLog &Log)
      : m_Loop(Loop), m_Log(Log) {}

  /// \p Announce is called with updates that peers need at once.
  void onUpdate(Announcer Announce) { m_Announce = std::move(Announce); }

  /// Fingerprints are computed with the fleet's secret from now on.
  void useSecret(const std::string &Secret);
  /// \p Tenant identifies the caller; without a tenant, its credentials do.
  /// Empty while the secret is not known.
  std::optional<dispatch::RequestFingerprint>
  fingerprintOf(const proxy::Request &Request,
                const std::optional<std::string> &Tenant) const;

  const dispatch::CrashSuspects &suspects() const { return m_Suspects; }
  void recordRejected() { ++m_Rejected; }
  /// Records that the request is being sent to a server.
  void sent(const dispatch::RequestFingerprint &Request, BootTime Now);
  /// Whether a crash may be detected for which the completed requests have to
  /// be known.
  bool needsCompletions() const {
    return !m_Suspicions.empty() || !m_Suspects.empty();
  }
  /// Records that a server completed the request and is still running.
  void completed(const dispatch::RequestFingerprint &Request, BootTime Now);
  /// Records that the connection for \p Request to \p Target was lost; the
  /// request was sent at \p SentAt.
  void connectionLost(const dispatch::RequestFingerprint &Request,
                      const dispatch::Target &Target, BootTime SentAt,
                      BootTime Now);
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
  /// Updates that are announced again because peers may have missed them.
  std::vector<dispatch::SuspectUpdate> reannouncements(BootTime Now);

  /// Servers that crashed during a request.
  uint64_t crashes() const { return m_Crashes; }
  uint64_t rejected() const { return m_Rejected; }

private:
  /// Requests whose connections to one start of a server were lost, while it
  /// is unknown whether the server crashed.
  struct Suspicion {
    struct LostSend {
      dispatch::RequestFingerprint Request;
      BootTime SentAt{};
      BootTime LostAt{};
    };
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
  void probe(const dispatch::ServerStart &Start, const Endpoint &Address,
             unsigned Attempt);
  void retryProbe(const dispatch::ServerStart &Start, const Endpoint &Address,
                  unsigned Attempt);
  /// Attributes the crash to the requests that were sent before it and whose
  /// connections were lost at or after \p Since.
  void serverEnded(const dispatch::ServerStart &Start, std::string_view Reason,
                   BootTime Since);
  void suspect(const dispatch::ServerStart &Start,
               const Suspicion::LostSend &Loss, BootTime Now);
  void announceNew(BootTime Now);

  boost::asio::io_context &m_Loop;
  DecisionLog &m_Log;
  Announcer m_Announce;
  std::optional<dispatch::Fingerprinter> m_Fingerprinter;
  dispatch::CrashSuspects m_Suspects;
  Suspicions m_Suspicions;
  /// Starts of servers that crashed. Further lost connections to them may be
  /// reported later.
  std::map<dispatch::ServerStart, Ended> m_Ended;
  uint64_t m_Crashes = 0;
  uint64_t m_Rejected = 0;
};

} // namespace figlift::gateway
