//===- Call.h - A caller's request and its attempts -------------*- C++ -*-===//
//
// Sends attempts until the caller has a complete answer or an error. LibRetry
// decides what follows the end of an attempt; this class executes the decision.
//
// Call state is not locked. At any time either one attempt is live, and only
// the I/O thread of its channel accesses the state, or a retry timer is
// pending, and only the timer thread does. An attempt that has reported its end
// never accesses the call again. Disconnects of the caller and expired
// deadlines are reported on other threads, which set a flag and cancel the live
// attempt.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/AnswerWriter.h"
#include "figlift-entry/Attempt.h"
#include "figlift-entry/CallContext.h"

#include "LibRoute/ChooseTarget.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figlift::entry {

class Call : public std::enable_shared_from_this<Call> {
public:
  /// Starts the call, which answers the exchange exactly once.
  static void start(const CallContext &Context,
                    std::shared_ptr<http::Exchange> Caller,
                    CallerRequest Request);
  ~Call();

  const CallContext &context() const { return m_Context; }

  // Called by the live attempt.
  void onAccepted();
  /// Returns false when these tokens made the call abandon the attempt.
  bool onTokens(Attempt &Source, const wire::Tokens &Frame);
  void onFinished(Attempt &Source, const wire::Finished &Frame);
  void onServiceAnswer(Attempt &Source, const wire::ServiceAnswer &Frame);
  void onRefusal(Attempt &Source, const wire::Refusal &Frame);
  void onFailure(Attempt &Source, const wire::Failure &Frame);
  void onStreamEnd(Attempt &Source, wire::StreamEnd End);

private:
  enum class StopReason { None, CallerDisconnected, DeadlinePassed };

  /// Target of an attempt.
  struct Destination {
    std::shared_ptr<TargetLink> Link;
    route::InFlightTicket Ticket;
    uint32_t ExpectedPrefixTokens = 0;
    /// Epoch of the slice grant; only for keyed work.
    uint64_t SliceEpoch = 0;
  };

  Call(const CallContext &Context, CallerRequest Request);

  bool admit();
  void startTimers();
  void keepAlive();
  void scheduleKeepAlive();
  void stop(StopReason Reason);
  Error stopError() const;

  Result<Destination> chooseDestination();
  Result<Destination> chooseTarget(const ServingState &Now);
  std::optional<route::Choice>
  chooseProbe(const ServingState &Now,
              const std::vector<std::string> &NonPreferred);
  /// Targets that failed this request, and targets that are ejected.
  std::vector<std::string> excludedTargets();
  uint64_t routingSeed() const;
  void logChosenTarget(const route::TargetView &Target,
                       const std::vector<route::CandidateScore> &Candidates,
                       const std::vector<std::string> &Excluded) const;
  Result<Destination> chooseHome(const ServingState &Now);
  Result<Destination> makeDestination(const ServingState &Now,
                                      const route::Choice &Chosen);
  route::RequestShape shape() const;
  void pinModel(const route::TargetView &Target);
  void startAttempt();
  void resume(std::shared_ptr<TargetLink> Link);
  void sendAttempt(wire::Method Method, std::string Message, Destination Target,
                   std::string AttemptId);
  wire::RunRequest runRequest(const std::string &AttemptId,
                              uint64_t SliceEpoch) const;
  void fillRequest(const CompletionWork &Work, wire::RunRequest &Request) const;
  void fillRequest(const ServiceWork &Work, wire::RunRequest &Request) const;

  /// For a completion with an idempotency key: all targets except those
  /// preferred by the key.
  std::vector<std::string>
  nonPreferredTargets(const ServingState &Now,
                      const route::RequestShape &Shape) const;
  /// Lists the agents that may hold the answer of an earlier call.
  void findHolders();
  /// Requests the held answer from the next of these agents, or sends the first
  /// attempt when none is left.
  void queryNextHolder();
  /// Adopts the answer held by the agent of \p Source.
  void takeOver(const Attempt &Source);

  bool abandonAttempt(Attempt &Source);
  void onAttemptEnd(const std::shared_ptr<TargetLink> &Link,
                    const retry::AttemptEnd &End);
  void perform(const retry::RetryElsewhere &Next);
  void perform(const retry::ResumeAttempt &Next);
  void perform(const retry::ContinueElsewhere &Next);
  void perform(const retry::RetryAtHome &Next);
  void perform(const retry::WaitForBudget &Next);
  void perform(const retry::GiveUp &Next);
  void scheduleNewAttempt(std::chrono::milliseconds Delay);
  void runAfter(std::chrono::milliseconds Delay, EventLoop::Task Task);
  void fail(Error Failure);
  void recordRefusedDemand(ResultCode Code);
  void finish(ResultCode Code);
  std::chrono::milliseconds timeLeft() const;

  const CallContext &m_Context;
  CallerRequest m_Request;
  const BootTime m_StartTime = BootClock::now();
  const BootTime m_Deadline;
  std::optional<AnswerWriter> m_Writer;
  retry::RequestHistory m_History;
  /// Targets that failed or refused this request.
  std::vector<std::string> m_FailedTargets;
  /// Completions only: text of the tokens delivered to the caller.
  std::string m_DeliveredText;
  /// Message of the last refusal or failure.
  std::string m_LastMessage;
  std::vector<uint64_t> m_PrefixHashes;
  /// Model version of the first target, if the request did not name a version:
  /// another version must not continue the answer.
  std::string m_PinnedModel;
  /// Target of the last attempt, used to resume there.
  std::shared_ptr<TargetLink> m_LastLink;
  /// Agents not yet asked for a held answer, in reverse order.
  std::vector<std::shared_ptr<TargetLink>> m_Holders;
  /// The live attempt looks for a held answer. Nothing has run for this call
  /// yet; if the attempt ends in any way, the next holder is asked.
  bool m_IsQueryingHolder = false;
  /// The answer was started by an earlier call of the same caller.
  bool m_TakenOver = false;
  /// Request id under which the agent of the last attempt holds the answer.
  std::string m_HeldRequestId;
  bool m_IsCounted = false;
  EventLoop::TimerId m_DeadlineTimer;

  std::atomic<bool> m_Accepted{false};
  std::atomic<StopReason> m_StopReason{StopReason::None};
  std::atomic<bool> m_Done{false};
  std::atomic<std::shared_ptr<Attempt>> m_LiveAttempt;
  /// BootClock time of the last write to the caller, in nanoseconds.
  std::atomic<int64_t> m_LastWrite{0};
};

} // namespace figlift::entry
