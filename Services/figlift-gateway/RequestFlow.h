//===- RequestFlow.h - One request from its caller to its answer -*- C++
//-*-===//
//
// Carries out what the planners and the repeat rules decide for one request:
// sends to servers, forwards the answer, cancels when the caller leaves, and
// ends at the deadline. Logs each decision with its inputs.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "ServerSend.h"

#include "LibDispatch/EventRelay.h"
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

class RequestFlow : public proxy::RequestProcess,
                    public SendOwner,
                    public std::enable_shared_from_this<RequestFlow> {
public:
  RequestFlow(Context &Shared, proxy::Request What,
              std::shared_ptr<proxy::CallerConnection> Caller);

  void start();

  void callerGone() override;
  void callerReady() override;
  void processEndsSoon() override;
  void processEndsNow() override;

  void sendAnswered(ServerSend &Which) override;
  void sendBody(ServerSend &Which, std::string Bytes) override;
  void sendEnded(ServerSend &Which, dispatch::SendEnd How) override;
  void sendCompleted(ServerSend &Which) override;
  bool wantsMore() const override;

private:
  bool mayBegin(dispatch::Milliseconds Expected, BootTime Now) const;
  void turnAway();
  void plan();
  /// Null for a request that goes to a plain server.
  const dispatch::Service *engineService() const;
  dispatch::PromptPlan promptPlan(const dispatch::Service &Which, BootTime Now);
  dispatch::ServicePlan servicePlan(BootTime Now);
  /// Targets that must not get this request now.
  std::vector<std::string> excluded(BootTime Now) const;
  bool findsAnother(const std::string &ThanTargetId, BootTime Now);
  void planPrompt(const dispatch::Service &Which);
  void planPlain();
  dispatch::Milliseconds generationTime() const;
  void noteDemand(const dispatch::EngineCosts &Costs,
                  std::span<const dispatch::Target *const> Open, BootTime Now);
  void startRead(const dispatch::PrefillThenDecode &Plan);
  void startRun(const dispatch::DecodePlan &Plan);
  void readCompleted(ServerSend &Which);
  std::optional<dispatch::DecodePlan> chooseRunner(BootTime Now);
  bool mayUseHandleAgain(const dispatch::SendEnd &How, BootTime Now);
  bool runsAtAnother(const ServerSend &Than, BootTime Now);
  void send(const std::string &TargetId, const std::string &FetchFrom,
            SendPurpose Purpose, dispatch::Work What);
  bool enginesKnown(BootTime Now) const;
  /// \name Servers that end under this request.
  /// @{
  /// Absent while the fleet's secret is not known.
  const std::optional<dispatch::RequestFingerprint> &fingerprint();
  /// For the log; empty if nobody has asked for it.
  std::string fingerprintText() const {
    return m_Fingerprint ? m_Fingerprint->toString() : std::string();
  }
  void noteBrokenOff(const ServerSend &Which);
  void noteCompleted();
  bool isSuspected();
  bool heldBack();
  /// @}
  void learnRead();
  void learnRun();
  void learnLateness();
  void learnReadBesideStreams(const dispatch::EngineCosts &Costs,
                              dispatch::Milliseconds Took,
                              engine::EngineModel &Model) const;
  void streamEnded(ServerSend &Which);
  void forwardEvents(const std::string &Events);
  void forwardWhole(ServerSend &Which);
  void passOn(ServerSend &Which);
  void settle(const dispatch::SendEnd &How, ServerSend &Which);
  dispatch::NextStep nextStep(const dispatch::SendEnd &How,
                              const ServerSend &Which);
  void sendAgain(const ServerSend &After);
  void giveUp(unsigned Status, std::string_view Reason,
              std::chrono::milliseconds RetryAfter);
  void cutOff(std::string_view Reason);
  void dropSend();
  void releaseHandle();
  void finish(std::string_view Outcome, unsigned Status,
              std::string_view Reason);
  void armDeadline();
  void endUnanswered(std::string_view Reason);
  void chargeRepeat(SendPurpose Purpose, BootTime Now);
  void watchSend(dispatch::Milliseconds Expected);
  void watchNextEvent();
  void logTaken();
  void logEnded(std::string_view Outcome, unsigned Status,
                std::string_view Reason);
  void logSendEnded(const ServerSend &Which, const dispatch::SendEnd &How);
  void logSent(const std::string &TargetId, const std::string &FetchFrom,
               SendPurpose Purpose, dispatch::Milliseconds Expected);
  void armWatch(BootClock::duration After);
  void waitForWatch();
  void sendOverdue();
  void expectComputed(const std::string &TargetId,
                      dispatch::Milliseconds Expected);
  void abandonExpected(const std::string &TargetId);
  void noteComputed(const std::string &TargetId);

  dispatch::PromptRequest promptRequest(BootTime Now);
  dispatch::Milliseconds timeLeft(BootTime Now) const;
  /// From the request's arrival to its first event or, without one, to \p Now.
  dispatch::Milliseconds firstAfter(BootTime Now) const {
    return m_FirstEvent.value_or(Now) - m_Started;
  }
  bool streaming() const {
    return m_Route.Kind == dispatch::RouteKind::Streaming;
  }

  /// What a caller is told to wait after a failure that says nothing about when
  /// it passes: a crashed server is known as gone about that much later.
  static constexpr std::chrono::milliseconds FailureRetryAfter{300};
  /// A send is overdue after this many times its expected time and a fixed
  /// part. Sent again too early, work is done twice under load; too late, the
  /// caller has left. Both ends are bounded by the retry budget.
  static constexpr double OverdueFactor = 4;
  static constexpr dispatch::Milliseconds OverdueBase{250};

  Context &m_Shared;
  proxy::Request m_Request;
  std::shared_ptr<proxy::CallerConnection> m_Caller;
  slopes::CallerFields m_Fields;
  /// Absent until it is asked for, and while the fleet's secret is not known.
  std::optional<dispatch::RequestFingerprint> m_Fingerprint;
  /// The configuration that the request began with; m_Route is its copy.
  std::shared_ptr<const dispatch::Configuration> m_Configuration;
  dispatch::Route m_Route;
  std::string m_Service;
  boost::asio::steady_timer m_DeadlineTimer;
  boost::asio::steady_timer m_WatchTimer;
  /// How long the send at hand may be silent.
  BootClock::duration m_WatchFor{};
  BootTime m_Started;
  BootTime m_Deadline{};
  std::shared_ptr<ServerSend> m_Send;
  std::vector<std::string> m_Excluded;
  /// KV cache that was computed for this request and not fetched yet.
  std::optional<slopes::KvSource> m_Handle;
  std::string m_Reader;
  std::string m_Runner;
  dispatch::EventRelay m_Relay;
  std::optional<BootTime> m_FirstEvent;
  dispatch::Milliseconds m_PlannedFirst{0};
  /// What was allowed for the service's lateness besides, and when that was.
  dispatch::Milliseconds m_PlannedLag{0};
  BootTime m_PlannedAt{};
  /// Only of a request that came while the process was stopping, for the log:
  /// from there to its end.
  std::optional<dispatch::Milliseconds> m_EndsIn;
  /// \name The newest read of the prompt and the newest run, for the log: as
  /// planned when they were sent, and when the run was sent.
  /// @{
  dispatch::Milliseconds m_PlannedRead{0};
  dispatch::Milliseconds m_ReadTook{0};
  dispatch::Milliseconds m_PlannedRun{0};
  dispatch::PrefillPlan m_ReadPlan;
  dispatch::PrefillPlan m_RunPlan;
  /// An engine has rejected the run of m_Handle.
  bool m_HandleRejected = false;
  /// Whether the newest send was planned with the target's cache known.
  bool m_CacheKnown = false;
  std::optional<BootTime> m_RunSent;
  /// @}
  unsigned m_Sends = 0;
  unsigned m_Runs = 0;
  /// A read, or a run, of this request has reached a server.
  bool m_ReadArrived = false;
  bool m_RunArrived = false;
  bool m_AnswerBegun = false;
  /// Of a refusal that has a code of its own.
  ResultCode m_Code = ResultCode::Success;
  bool m_Done = false;
  /// All of its lines are written, also if it goes as planned.
  bool m_Traced = false;
};

} // namespace figlift::gateway
