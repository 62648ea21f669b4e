//===- RequestFlow.h - Processing of one request ----------------*- C++ -*-===//
//
// Carries out the decisions of the planners and the retry rules for one
// request: sends it to servers, forwards the response, cancels when the caller
// disconnects, and ends at the deadline. Logs each decision with its inputs.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "ServerSend.h"

#include "LibDispatch/EventRelay.h"
#include "LibDispatch/StreamProgress.h"
#include "LibLog/Guard.h"
#include "LibProxy/CallerConnection.h"
#include "platform/Headers.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::gateway {

class RequestFlow : public proxy::ActiveRequest,
                    public SendOwner,
                    public QueueOwner,
                    public std::enable_shared_from_this<RequestFlow> {
public:
  RequestFlow(Context &Shared, proxy::Request Request,
              std::shared_ptr<proxy::CallerConnection> Caller);

  /// Does nothing if the request has ended before.
  void start();

  void callerDisconnected() override;
  bool callerEndedInput() override;
  void callerWritable() override;
  void processStopping() override;
  void processExiting() override;

  void sendAnswered(ServerSend &Send) override;
  void sendBody(ServerSend &Send, std::string Bytes) override;
  bool isWholeBody(ServerSend &Send) override;
  void prefillRuns(ServerSend &Send) override;
  void sendEnded(ServerSend &Send, dispatch::SendOutcome End) override;
  void sendCompleted(ServerSend &Send) override;
  /// A version may have become unconfirmed while the connection was
  /// established.
  bool maySend() const override {
    return !m_HasInputEnded &&
           (!m_Send || !dependsOnUnconfirmed(m_Send->targetId()));
  }
  bool wantsMore() const override;

  void queueGranted(const dispatch::QueueSend &Grant) override;
  void queueRefused(const dispatch::QueueRefusal &Refusal) override;
  const std::string &queuedRoute() const override { return m_Route.Name; }

private:
  /// Runs \p Work, a part of the processing. If it throws, the request ends.
  template <typename Function> void guard(Function Work) {
    if (!log::guarded("request", m_Fields.AttemptId, Work))
      drop();
  }
  /// Ends the request, whose processing has thrown, exactly once. Its caller is
  /// told what m_History proves, or sees its connection close.
  void drop();
  void process();
  void received(ServerSend &Send, const std::string &Bytes);
  void completed(ServerSend &Send);
  void ended(ServerSend &Send, const dispatch::SendOutcome &End);
  void granted(const dispatch::QueueSend &Grant);
  /// Sets m_Tenant. Otherwise rejects the request and returns false.
  bool authenticate();
  void rejectUnauthenticated(std::string_view Reason);
  /// \name Usage: a stream counts from its first event, another request from
  /// the moment at which it is sent.
  /// @{
  void recordUsage();
  void undoUsage();
  /// @}
  bool mayStart(dispatch::Milliseconds Expected, BootTime Now) const;
  bool endsBeforeStop(dispatch::Milliseconds Expected, BootTime Now) const;
  void rejectStopping();
  void plan();
  /// Null for a request to a service without engines.
  const dispatch::Service *engineService() const;
  dispatch::PromptPlan promptPlan(const dispatch::Service &Service,
                                  dispatch::PromptRequest Request,
                                  BootTime Now);
  dispatch::ServicePlan servicePlan(BootTime Now);
  bool mayUseEjected() const;
  /// Open targets that this request may use.
  OpenTargets::List usableTargets() const;
  OpenTargets::List recordedTargets() const;
  /// \p Targets without those whose software version is unconfirmed.
  OpenTargets::List confirmed(OpenTargets::List Targets) const;
  /// Targets that this request must not use at present.
  std::vector<std::string> excluded(BootTime Now) const;
  bool hasAlternative(const std::string &AvoidedTargetId, BootTime Now);
  /// \name Moves of running streams.
  /// @{
  void moveIfBetter();
  void moveStream(const dispatch::DecodePlan &Destination,
                  std::string_view Reason, BootTime Now);
  std::optional<dispatch::DecodePlan> moveDestination(const std::string &Source,
                                                      BootTime Now);
  /// @}
  std::chrono::milliseconds retryAfterBackoff(std::chrono::milliseconds Planned,
                                              BootTime Now);
  void planPrompt(const dispatch::Service &Service);
  void planService();
  void startPlanned(const dispatch::ServicePlan &Plan, BootTime Now);
  /// \name The queue of a plain service; see RequestQueue.cpp.
  /// @{
  bool mayQueue(BootTime Now) const;
  BootTime queueLimit(BootTime Now) const;
  /// Returns whether the queue decides about the request, or has decided.
  bool enterQueue();
  void leaveQueue();
  /// \p End: none for a complete answer.
  void recordSlotFreed(const ServerSend &Send,
                       std::optional<dispatch::SendOutcome> End);
  void logDequeued(std::string_view Outcome, dispatch::Milliseconds Waited,
                   size_t Ahead);
  /// @}
  dispatch::Milliseconds generationTime() const;
  std::optional<unsigned> enginePriority(BootTime Now) const;
  void recordDemand(const dispatch::EngineCosts &Costs,
                    std::span<const dispatch::Target *const> Open,
                    BootTime Now);
  /// The body of the request, which is kept for other attempts.
  upstream::SharedBody sharedBody() {
    return {shared_from_this(), &m_Request.Body};
  }
  void startPrefill(const dispatch::PrefillThenDecode &Plan);
  void startExecution(const dispatch::DecodePlan &Plan);
  void prefillCompleted(ServerSend &Send);
  std::optional<dispatch::DecodePlan> chooseDecodeTarget(BootTime Now);
  bool mayReuseHandle(const dispatch::SendOutcome &End, BootTime Now);
  bool decodeElsewhere(const ServerSend &Failed, BootTime Now);
  void send(const std::string &TargetId, const std::string &FetchFrom,
            SendPurpose Purpose, dispatch::Work Work);
  bool engineCostsKnown(BootTime Now) const;
  /// \name Software versions: from its first event on, a stream is bound to
  /// the version that began it.
  /// @{
  void begin();
  dispatch::StreamKey streamKey(const std::string &AttemptId) const;
  /// \name A stream that its caller resumes: begins the request at its service
  /// and version, or refuses it.
  /// @{
  void findOrigin();
  dispatch::OriginLookup lookUpOrigin() const;
  void resumeAt(const dispatch::OriginLookup &Origin);
  void bindToOrigin(const dispatch::OriginLookup &Origin);
  /// @}
  void bindToVersionOf(const ServerSend &Send);
  void recordStreamEnd();
  bool mayUseVersionOf(const std::string &TargetId) const;
  bool rejectIfVersionLeft();
  bool rejectIfUnrecorded();
  bool hasUnconfirmed() const;
  /// Whether the request depends on the version of this server, which may have
  /// restarted with another one than is listed.
  bool dependsOnUnconfirmed(const std::string &TargetId) const;
  bool goesOnWithoutInput() const;
  void endWithoutCaller();
  /// Whether the request begins a stream that its caller may take up elsewhere.
  bool beginsResumable() const {
    return !m_BoundVersion && streaming() && m_Route.Resumable;
  }
  void logResumed(const dispatch::OriginLookup &Origin);
  /// @}
  /// \name Detection of requests that crash servers.
  /// @{
  /// Empty while the fleet's secret is not known.
  const std::optional<dispatch::RequestCauses> &causes();
  /// For the log; empty if the fingerprint has not been computed.
  std::string fingerprintText() const {
    return m_Causes ? m_Causes->Request.toString() : std::string();
  }
  /// Ids of the shared prompt parts in hexadecimal, for the log.
  std::string sharedPartsText() const;
  void recordConnectionLost(const ServerSend &Send);
  void recordCompletion(const ServerSend &Send);
  void recordFailure();
  void recordWriting();
  void recordSuspectSend(BootTime Now);
  bool isSuspected();
  bool mayRetryIfSuspected();
  bool rejectIfSuspected();
  /// @}
  void learnPrefill();
  void learnExecutionStart();
  void learnStartLag();
  void learnSpill();
  void learnReadRatio();
  void learnPace();
  void learnPauseRatio();
  void learnPrefillBesideStreams(const dispatch::EngineCosts &Costs,
                                 dispatch::Milliseconds FirstEventTime,
                                 engine::EngineModel &Model) const;
  void streamEnded(ServerSend &Send);
  void recordServerStream(const ServerSend &Send, std::string_view Outcome);
  void forwardEvents(const std::string &Events);
  void forwardBuffered(ServerSend &Send);
  void forwardFailure(ServerSend &Send);
  void handleFailedSend(const dispatch::SendOutcome &End, ServerSend &Send);
  dispatch::NextStep nextStep(const dispatch::SendOutcome &End,
                              const ServerSend &Send);
  void retry(const ServerSend &Failed);
  void respondWithError(dispatch::ErrorStatus Status, std::string_view Reason,
                        std::chrono::milliseconds RetryAfter);
  void abortStream(std::string_view Reason);
  void cancelSend();
  void releaseHandle();
  void finish(std::string_view Outcome, unsigned Status,
              std::string_view Reason);
  void recordEndWhileStopping(std::string_view Outcome);
  void armDeadline();
  void endWithoutResponse(std::string_view Reason);
  void chargeRetry(SendPurpose Purpose, BootTime Now);
  /// Whether a prefill, or an execution, may have reached a server.
  bool hasArrived(SendPurpose Purpose) const {
    return m_History.arrivals(Purpose) > 0;
  }
  double retryCost() const;
  void cancelReservedRetry();
  void armSendTimeout(dispatch::Milliseconds Expected);
  void armEventTimeout();
  void logAccepted();
  void logEnded(std::string_view Outcome, unsigned Status,
                std::string_view Reason);
  /// Remembers how the server has ended its answer.
  void recordAnswerEnd(const ServerSend &Send);
  /// Whether a stream ended in a way that does not prove by itself that it is
  /// whole, or was written by more than one server.
  bool isEndUnproven() const;
  void logSendEnded(const ServerSend &Send, const dispatch::SendOutcome &End);
  /// Empty if the target is not listed.
  std::string softwareVersionOf(const std::string &TargetId) const;
  void logSent(const std::string &TargetId, const std::string &FetchFrom,
               SendPurpose Purpose, const slopes::SendFields &Fields,
               dispatch::Milliseconds Expected);
  void armSilenceTimeout(BootClock::duration Timeout);
  void waitForSilence(BootClock::duration Time);
  void sendOverdue();
  void expectCached(const std::string &TargetId,
                    dispatch::Milliseconds Expected);
  void abandonExpectedCache(const std::string &TargetId);
  void recordCached(const std::string &TargetId);

  dispatch::PromptRequest promptRequest(BootTime Now);
  dispatch::Milliseconds timeLeft(BootTime Now) const;
  /// Time from the arrival of the request to its first event or, without one,
  /// to \p Now.
  dispatch::Milliseconds firstAfter(BootTime Now) const {
    return m_FirstEvent.value_or(Now) - m_Started;
  }
  bool streaming() const {
    return m_Route.Kind == dispatch::RouteKind::Streaming;
  }

  /// Retry-After for a failure whose duration is unknown. A crashed server is
  /// known to be gone after about this time.
  static constexpr std::chrono::milliseconds FailureRetryAfter{300};
  /// Callers that wait for the end of a backoff return within this time after
  /// it.
  static constexpr std::chrono::milliseconds BackoffReturnSpread{500};
  /// An attempt is overdue after this multiple of its expected time plus a
  /// fixed part. A lower value duplicates work under load; with a higher one
  /// the caller has disconnected before the retry. The retry budget bounds the
  /// cost of both.
  static constexpr double OverdueFactor = 4;
  static constexpr dispatch::Milliseconds OverdueBase{250};

  Context &m_Shared;
  proxy::Request m_Request;
  std::shared_ptr<proxy::CallerConnection> m_Caller;
  slopes::CallerFields m_Fields;
  /// Computed on first use; empty while the fleet's secret is not known.
  std::optional<dispatch::RequestCauses> m_Causes;
  /// Why the request was rejected: it or its prompt part that crashes servers.
  std::optional<dispatch::Fingerprint> m_CrashCause;
  /// A prompt part of this request is rejected at present, and this request
  /// tries whether servers still crash. It is not sent again.
  bool m_IsTrial = false;
  /// Identifies the trial in the fleet, if this request is one; 0 before the
  /// first send.
  uint64_t m_TrialId = 0;
  /// When the server of the latest attempt began to write.
  std::optional<BootTime> m_WritingSince;
  /// The server of the latest attempt has not crashed for long enough.
  bool m_HasSurvived = false;
  /// The configuration that the request started with; m_Route is a copy from
  /// it.
  std::shared_ptr<const dispatch::Configuration> m_Configuration;
  dispatch::Route m_Route;
  std::string m_Service;
  /// Software version to which the stream is bound; empty before its first
  /// event. A server of another version cannot go on with it.
  std::optional<std::string> m_BoundVersion;
  /// Empty for a request that belongs to no tenant.
  std::optional<std::string> m_Tenant;
  boost::asio::steady_timer m_DeadlineTimer;
  boost::asio::steady_timer m_SilenceTimer;
  /// Maximum silence of the current attempt.
  BootClock::duration m_SilenceTimeout{};
  BootTime m_Started;
  BootTime m_Deadline{};
  std::shared_ptr<ServerSend> m_Send;
  dispatch::SendHistory m_History;
  std::vector<std::string> m_Excluded;
  /// KV cache that was computed for this request and not fetched yet.
  std::optional<slopes::KvSource> m_Handle;
  /// \name Of the latest execution that has ended, for the log.
  /// @{
  std::optional<proxy::BodyFraming> m_Framing;
  upstream::PeerEnd m_PeerEnd = upstream::PeerEnd::None;
  /// @}
  /// Events that the caller had before the latest send.
  uint64_t m_EventsBefore = 0;
  std::string m_PrefillTarget;
  std::string m_ExecutionTarget;
  dispatch::EventRelay m_Relay;
  dispatch::StreamProgress m_Progress;
  std::optional<BootTime> m_FirstEvent;
  dispatch::Milliseconds m_PlannedFirst{0};
  /// Start lag of the service and route that was added to the plan, and when
  /// the plan was made.
  dispatch::Milliseconds m_PlannedLag{0};
  BootTime m_PlannedAt{};
  /// Set only for a request that arrived while the process was stopping, for
  /// the log and the metrics: time from its arrival to the end of the process.
  std::optional<dispatch::Milliseconds> m_TimeUntilStop;
  /// The process ends before the request has its answer.
  bool m_IsGivenUp = false;
  /// \name The latest prefill and the latest execution, for the log: as
  /// planned when they were sent, and when the execution was sent.
  /// @{
  dispatch::Milliseconds m_PlannedPrefill{0};
  dispatch::Milliseconds m_PrefillTime{0};
  dispatch::Milliseconds m_PlannedExecution{0};
  /// Longest pause that the stream was expected to have; 0 if not known.
  dispatch::Milliseconds m_PlannedPause{0};
  dispatch::PrefillPlan m_PrefillPlan;
  dispatch::PrefillPlan m_ExecutionPlan;
  /// The execution includes a prefill that no prefill engine does in time.
  bool m_Spilled = false;
  /// An engine has rejected the execution that uses m_Handle.
  bool m_HandleRejected = false;
  /// Whether the cache contents of the target were known when the latest
  /// attempt was planned.
  bool m_CacheKnown = false;
  std::optional<BootTime> m_ExecutionSent;
  /// @}
  /// Identifies the request in the queue of its service; 0 if it does not wait.
  uint64_t m_QueueId = 0;
  BootTime m_QueuedAt{};
  /// The latest send was rejected because the server was full.
  bool m_RejectedByFullServer = false;
  /// Arrivals beyond the first that the retry budget was charged with.
  unsigned m_ChargedPrefills = 0;
  unsigned m_ChargedExecutions = 0;
  /// The retry budget keeps room for the execution after a repeated prefill.
  bool m_ExecutionReserved = false;
  bool m_ResponseStarted = false;
  /// The caller has left, or waits for the answer to this request only.
  bool m_HasInputEnded = false;
  /// Set for rejections that have their own result code.
  ResultCode m_Code = ResultCode::Success;
  /// Window in which the latest attempt was counted as executed.
  std::optional<usage::WindowNumber> m_UsageWindow;
  /// The stream was moved to another engine; it is not moved again.
  bool m_Moved = false;
  /// The engine that it was moved away from, until it is known whether the
  /// other one has taken it; empty otherwise.
  std::string m_MovedFrom;
  bool m_Done = false;
  /// All events of this request are logged, even if it proceeds as planned.
  bool m_Traced = false;
};

} // namespace figlift::gateway
