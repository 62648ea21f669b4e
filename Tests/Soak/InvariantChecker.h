//===- InvariantChecker.h - Checks the guarantees of gateways ---*- C++ -*-===//
//
// Records what callers sent and received, what servers received, and when which
// part of the system was disturbed, and reports each violated guarantee. It
// treats gateways as black boxes and reads no clock: each event carries its
// time.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figlift::soak {

enum class Repeatable { Yes, No };

/// One request of a caller, by its attempt id.
struct Attempt {
  std::string Id;
  /// The gateway that it went to.
  std::string Gateway;
  std::string Service;
  Repeatable Kind = Repeatable::Yes;
  BootTime Sent{};
  /// Deadline of the request, or the timeout of its route if that is shorter.
  std::chrono::milliseconds Timeout{2000};
  /// Common id of all attempts of a request that crashes servers; empty for
  /// other requests.
  std::string CrashingRequest = {};
  /// The part of its prompt that crashes servers; empty for other requests.
  std::string CrashingPart = {};

  const std::string &crashCause() const {
    return CrashingPart.empty() ? CrashingRequest : CrashingPart;
  }
};

/// A request as it reached a server.
struct Arrival {
  std::string AttemptId;
  std::string Server;
  std::string Service;
  /// Only the prefill stage is executed.
  bool IsPrefill = false;
  /// The server rejected the request without executing it.
  bool Rejected = false;
};

/// The final response as a caller saw it.
struct Outcome {
  std::string AttemptId;
  /// 0 if the connection ended without a complete response.
  unsigned Status = 0;
  bool Signed = false;
  std::string Body;
  /// Number of the last event of the requested stream; 0 if none was requested.
  unsigned ExpectedEvents = 0;
  /// Of a stream that the caller resumes: number of the last event that it has,
  /// and the software version that wrote it.
  unsigned LastEvent = 0;
  std::string Version = {};
  /// Length that was asked for; 0 for the shortest answer.
  size_t ExpectedBytes = 0;
};

struct Order {
  std::string Server;
  std::string Holder;
  uint64_t Fence = 0;
};

struct InvariantBounds {
  /// Settings of the gateways in the soak. The ratio is a quarter and the base
  /// a third of the defaults, so that a few seconds of failing servers exhaust
  /// the retry budget.
  double RetryRatio = 0.05;
  double RetryBase = 10;
  std::chrono::milliseconds RetryWindow{10000};
  /// Time after a disturbance until the bounds apply again.
  std::chrono::milliseconds StableWindow{3000};
  /// From the start of a drain to the server's last request: the platform's
  /// bound of 2 s, plus delays of a busy test machine.
  std::chrono::milliseconds DrainBound{2600};
  /// From the acknowledgement of a configuration until it is active; as above.
  std::chrono::milliseconds ConfigurationBound{2600};
  /// Requests of an older version may still be in flight for this long after a
  /// gateway first used a newer one.
  std::chrono::milliseconds RegressionSlack{500};
  /// Minimum time between orders of two lease holders to one server.
  std::chrono::milliseconds HolderChangeTime{3000};
  /// Gateways end streams at most this long before the deadline.
  std::chrono::milliseconds DeadlineMargin{50};
  /// Fractions of the grace of a stop: the platform's 3 s and five sixths of 8
  /// s. A stop may interrupt requests that were sent before EarlyFraction
  /// of the grace has passed and still run after FinalFraction of it.
  double EarlyFraction = 3.0 / 8;
  double FinalFraction = 5.0 / 6;
  /// Once a request, or requests with one prompt part in common, have crashed
  /// this many servers and the stable window has passed, they may be sent only
  /// so many more times.
  unsigned CrashLimit = 3;
  unsigned PartCrashLimit = 5;
  unsigned SendsAfterCrashes = 3;
  /// Within LimitWindow, a server may get LimitFactor times the requests that
  /// its announced limit allows, plus LimitSlack. Requests count only if they
  /// come from gateways that got the limit at least LimitDelay ago.
  std::chrono::milliseconds LimitWindow{4000};
  double LimitFactor = 1.5;
  double LimitSlack = 5;
  std::chrono::milliseconds LimitDelay{500};
  /// From BackoffDelay after a server has asked a gateway for a pause until the
  /// end of the pause, this many requests may still reach the server: the
  /// platform's bound of 0.5 s, plus delays of a busy test machine.
  std::chrono::milliseconds BackoffDelay{1100};
  unsigned RequestsDuringBackoff = 2;
  /// From the write of an answer until its gateway has read it. A fault of the
  /// link in this time may lose it.
  std::chrono::milliseconds AnswerTime{100};
  /// From the return of servers to the list until each gateway uses them, as
  /// DrainBound; and the requests of a gateway after it, one of which has to
  /// reach a server.
  std::chrono::milliseconds UseBound{3600};
  unsigned RequestsUntilUse = 20;
  /// Maximum time from SIGHUP until a gateway has read its settings.
  std::chrono::milliseconds ReloadSlack{200};
};

class InvariantChecker {
public:
  explicit InvariantChecker(InvariantBounds Bounds = {}) : m_Bounds(Bounds) {}

  void recordRequest(const Attempt &Request);
  void recordArrival(const Arrival &Event, BootTime Now);
  void recordOutcome(const Outcome &Result, BootTime Now);
  void recordOrder(const Order &NewOrder, BootTime Now);
  /// The attempt crashed its server.
  void recordCrash(const std::string &AttemptId, BootTime Now);

  /// The server announced its limit in the response to the attempt.
  void recordLimit(const std::string &Server, double PerSecond,
                   const std::string &AttemptId, BootTime Now);
  /// The server no longer announces a limit.
  void removeLimit(const std::string &Server) { m_Limits.erase(Server); }

  /// The server rejected the attempt and asked for a pause of \p Time.
  void recordBackoff(const std::string &Server, const std::string &AttemptId,
                     std::chrono::milliseconds Time, BootTime Now);
  /// The server's response to the attempt says that it is shutting down.
  void recordLeavingResponse(const std::string &Server,
                             const std::string &AttemptId) {
    m_LeavingResponses[AttemptId] = Server;
  }

  /// \name Disturbances and changes of the system.
  /// @{
  void recordFault(const std::string &Gateway, BootTime Now);
  /// The link to the servers at a place, whose ids begin with \p ServerPrefix,
  /// loses what it carries. To be called at the start of the fault and in each
  /// AnswerTime until its end. A gateway does not know of a pause whose answer
  /// was lost.
  void recordLossyLink(const std::string &ServerPrefix, BootTime Now);
  /// The gateway was asked to reload its settings, or restarted after a stop.
  void recordPlannedChange(const std::string &Gateway, BootTime Now);
  /// The gateway got SIGTERM at \p TerminatedAt and is killed after \p Grace.
  /// Called again when the grace changes during the stop.
  void recordStop(const std::string &Gateway, BootTime TerminatedAt,
                  std::chrono::milliseconds Grace, BootTime Now);
  /// A new process of the gateway was started.
  void recordRestart(const std::string &Gateway, BootTime Now);
  void recordDrain(const std::string &Server, BootTime Now);
  /// The entry of the server was removed, and it serves on. A gateway that
  /// starts later knows nothing of it, and may read what a late write has left.
  void recordRemoval(const std::string &Server, BootTime Now) {
    m_RemovedServers.insert(Server);
    recordDrain(Server, Now);
  }
  void removeDrain(const std::string &Server) { m_DrainStarts.erase(Server); }
  /// All servers of the service are listed again after they had lapsed.
  void expectUse(const std::string &Service, BootTime Now) {
    m_Relisted[Service] = {Now, {}};
  }
  /// \p Version of the configuration sends the moving route to \p Service.
  void recordConfiguration(uint64_t Version, const std::string &Service,
                           BootTime Now);
  /// @}

  /// Adds a violation that the caller detected, such as an unexpected exit of a
  /// process.
  void addViolation(std::string Text) {
    m_Violations.push_back(std::move(Text));
  }
  const std::vector<std::string> &violations() const { return m_Violations; }
  uint64_t count(const std::string &Name) const;
  /// One line for each retry, in order.
  const std::vector<std::string> &retryLines() const { return m_RetryLines; }

  /// Used in place of a gateway's name for disturbances of the store or the
  /// network, which affect all gateways, and of servers, which only interrupt
  /// their own responses.
  static constexpr const char *AllGateways = "everything";
  static constexpr const char *Servers = "servers";
  /// The same for links to servers, on which requests may be held up.
  static constexpr const char *ServerLinks = "server links";
  /// Service name of the route whose service changes with each version.
  static constexpr const char *MovingService = "moving";

private:
  struct Record {
    Attempt Request;
    unsigned Executions = 0;
    bool PrefillArrived = false;
    bool ExecutionArrived = false;
    /// The response had a status that guarantees that nothing was executed.
    bool PromisedNotExecuted = false;
  };
  struct Version {
    uint64_t Number = 0;
    std::string Service;
    BootTime At{};
  };
  struct Stop {
    BootTime At{};
    /// The shortest that the gateway was given.
    std::chrono::milliseconds Grace{0};
    /// The longest that the gateway may assume.
    std::chrono::milliseconds LongestGrace{0};
    /// From this time on the gateway knows the present grace.
    BootTime GraceReportedAt{};
  };
  struct ServedVersion {
    uint64_t Number = 0;
    BootTime At{};
  };

  /// Crashes by one request, or by requests with one prompt part in common.
  struct Crashes {
    unsigned Servers = 0;
    BootTime LimitReachedAt{};
    unsigned LaterSends = 0;
  };

  /// The present limit of a server.
  struct Limit {
    double PerSecond = 0;
    BootTime Since{};
    /// By gateway, time of the first response with the limit.
    std::map<std::string, BootTime> AnnouncedAt;
    std::deque<BootTime> Arrivals;
  };

  /// A pause that a server has asked a gateway for.
  struct Backoff {
    BootTime AskedAt{};
    BootTime Until{};
    unsigned Arrivals = 0;
  };
  struct ServerAndGateway {
    std::string Server;
    std::string Gateway;
    auto operator<=>(const ServerAndGateway &) const = default;
  };

  /// Servers that are listed again, and by gateway the requests since UseBound
  /// of which none has reached a server.
  struct Relisted {
    BootTime At{};
    std::map<std::string, unsigned> Unserved;
  };

  using Times = std::map<std::string, BootTime>;
  bool isStable(const Times &LastTimes, const std::string &Gateway,
                BootTime Now) const;
  bool isUndisturbed(const std::string &Gateway, BootTime Now) const;
  bool mayOutlastStop(const Attempt &Request, BootTime Now);
  void checkLost(const Record &Entry, BootTime Now);
  void checkGivenUp(const Record &Entry, BootTime Now);
  void recordRetry(const Record &Entry, const Arrival &Event, BootTime Now);
  void checkRetryBudget(const std::string &Service, BootTime Now);
  unsigned crashLimit(const Attempt &Request) const {
    return Request.CrashingPart.empty() ? m_Bounds.CrashLimit
                                        : m_Bounds.PartCrashLimit;
  }
  void checkCrashes(const Record &Entry, BootTime Now);
  void checkLimit(const Record &Entry, const Arrival &Event, BootTime Now);
  bool mayHaveBeenHeldUp(const std::string &Gateway, BootTime Now) const;
  void checkBackoff(const Record &Entry, const Arrival &Event, BootTime Now);
  void checkLeaving(const Record &Entry, const Arrival &Event, BootTime Now);
  void countUnserved(const Attempt &Request);
  void checkDrain(const Record &Entry, const Arrival &Event, BootTime Now);
  void checkVersion(const Record &Entry, const Arrival &Event, BootTime Now);
  void checkBody(const Outcome &Result);
  void checkEvents(const Outcome &Result);

  InvariantBounds m_Bounds;
  std::map<std::string, Record> m_Records;
  std::map<std::string, Crashes> m_Crashes;
  std::map<std::string, Limit> m_Limits;
  std::map<ServerAndGateway, std::deque<Backoff>> m_Backoffs;
  /// By attempt, server whose response says that it is shutting down.
  std::map<std::string, std::string> m_LeavingResponses;
  /// When a gateway first forwarded such a response.
  std::map<ServerAndGateway, BootTime> m_LeavingKnownAt;
  Times m_LastFaults;
  Times m_PlannedChanges;
  std::map<std::string, Stop> m_Stops;
  Times m_DrainStarts;
  std::set<std::string> m_RemovedServers;
  /// By gateway, start of its present process.
  Times m_StartedAt;
  std::map<std::string, Relisted> m_Relisted;
  std::deque<Version> m_Versions;
  std::map<std::string, ServedVersion> m_ServedVersions;
  std::map<std::string, std::deque<BootTime>> m_Requests;
  std::map<std::string, std::deque<BootTime>> m_Retries;
  struct LastOrder {
    Order Content;
    BootTime At{};
  };
  std::map<std::string, LastOrder> m_Orders;
  std::map<std::string, uint64_t> m_Counts;
  std::vector<std::string> m_Violations;
  std::vector<std::string> m_RetryLines;
  /// Of the first request.
  BootTime m_FirstSent{};
};

/// Text of the event of a stream with this number, from a server of this
/// software version.
std::string eventText(const std::string &AttemptId, unsigned Number,
                      const std::string &Version);

/// Whole body of an answer of at least so many bytes. No part of it occurs in
/// it twice.
std::string answerText(const std::string &AttemptId, size_t Bytes = 0);

/// The last of the whole events that a caller received.
struct ReceivedEvent {
  unsigned Number = 0;
  std::string Version;
};
/// Empty if there is no whole event. Part of an event at the end is ignored.
std::optional<ReceivedEvent> lastEvent(const std::string &Body);

} // namespace figlift::soak
