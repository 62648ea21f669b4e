//===- Call.h - One caller's request over its attempts ----------*- C++ -*-===//
//
// Sends attempts until the caller has its whole answer or a true refusal. What
// follows the end of an attempt is LibRetry's decision; this shell carries it
// out.
//
// Ownership instead of locks: at any time either one attempt is live, and only
// its channel's I/O thread touches the call's state, or a retry timer is
// pending, and only the timer thread does. An attempt that has told the call
// of its end never touches it again. Callers who go and deadlines that pass
// come from other threads; they set a flag and cancel the live attempt.
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
  /// Begins the call; the exchange is answered exactly once, later.
  static void start(const CallContext &With,
                    std::shared_ptr<http::Exchange> Caller,
                    CallerRequest Request);
  ~Call();

  const CallContext &context() const { return m_Context; }

  // From the live attempt.
  void onAccepted();
  /// False when the attempt was given up because of these tokens.
  bool onTokens(Attempt &From, const wire::Tokens &Frame);
  void onFinished(Attempt &From, const wire::Finished &Frame);
  void onServiceAnswer(Attempt &From, const wire::ServiceAnswer &Frame);
  void onRefusal(Attempt &From, const wire::Refusal &Frame);
  void onFailure(Attempt &From, const wire::Failure &Frame);
  void onBroken(Attempt &From, wire::StreamEnd End);

private:
  enum class StopReason { None, CallerGone, DeadlinePassed };

  /// Where an attempt goes.
  struct Destination {
    std::shared_ptr<TargetLink> Link;
    route::InFlightTicket Ticket;
    uint32_t PrefixTokensBelieved = 0;
    /// Of the grant, for keyed work.
    uint64_t SliceEpoch = 0;
  };

  Call(const CallContext &With, CallerRequest Request);

  bool admit();
  void arm();
  void keepAlive();
  void keepAliveLater();
  void stop(StopReason Why);
  Error stopError() const;

  Result<Destination> choose();
  Result<Destination> chooseTarget(const ServingState &Now);
  std::optional<route::Choice>
  chooseProbe(const ServingState &Now,
              const std::vector<std::string> &NotPreferred);
  /// Those that failed this request, or others of late.
  std::vector<std::string> excludedTargets();
  uint64_t routingSeed() const;
  void logChosen(const route::TargetView &Target,
                 const std::vector<route::CandidateScore> &Account,
                 const std::vector<std::string> &Excluded) const;
  Result<Destination> chooseHome(const ServingState &Now);
  Result<Destination> destination(const ServingState &Now,
                                  const route::Choice &Best);
  route::RequestShape shape() const;
  void pinModel(const route::TargetView &Target);
  void attempt();
  void resume(std::shared_ptr<TargetLink> Link);
  void launch(wire::Method What, std::string Message, Destination To,
              std::string AttemptId);
  wire::RunRequest runRequest(const std::string &AttemptId,
                              uint64_t SliceEpoch) const;
  void describe(const CompletionWork &Work, wire::RunRequest &Into) const;
  void describe(const ServiceWork &Work, wire::RunRequest &Into) const;

  /// Of a completion with a key: all targets but those that should run it.
  std::vector<std::string>
  withoutPreferred(const ServingState &Now,
                   const route::RequestShape &Shape) const;
  /// Lists the agents that may hold the answer from an earlier call.
  void findHolders();
  /// Asks the next of them; the first attempt follows when none is left.
  void askHolders();
  /// An agent that was asked has the answer.
  void takeOver(const Attempt &From);

  bool giveUpAnswer(Attempt &From);
  void afterEnd(const std::shared_ptr<TargetLink> &Link,
                const retry::AttemptEnd &End);
  void perform(const retry::RetryElsewhere &Next);
  void perform(const retry::ResumeAttempt &Next);
  void perform(const retry::ContinueElsewhere &Next);
  void perform(const retry::RetryAtHome &Next);
  void perform(const retry::WaitForBudget &Next);
  void perform(const retry::GiveUp &Next);
  void newAttemptAfter(std::chrono::milliseconds Delay);
  void runAfter(std::chrono::milliseconds Delay, EventLoop::Task What);
  void fail(Error What);
  void countAsDemand(ResultCode Code);
  void finish(ResultCode Code);
  std::chrono::milliseconds timeLeft() const;

  const CallContext &m_Context;
  CallerRequest m_Request;
  const BootTime m_Began = BootClock::now();
  const BootTime m_Deadline;
  std::optional<AnswerWriter> m_Writer;
  retry::RequestHistory m_History;
  /// Targets that failed or refused this request.
  std::vector<std::string> m_Excluded;
  /// Of a completion: text of the tokens that the caller has.
  std::string m_DeliveredText;
  /// What the last refusal or failure said.
  std::string m_LastMessage;
  std::vector<uint64_t> m_PrefixHashes;
  /// Set when the model's version was left open and a target has been chosen:
  /// an answer must not be continued by another version.
  std::string m_PinnedModel;
  /// Target of the last attempt; for resuming.
  std::shared_ptr<TargetLink> m_LastLink;
  /// Agents still to be asked for a held answer, the next one last.
  std::vector<std::shared_ptr<TargetLink>> m_Holders;
  /// The live attempt asks for a held answer: nothing has run for this call
  /// yet, and its end, however it comes, only leads to the next question.
  bool m_Asking = false;
  /// The answer was begun for an earlier call of the same caller.
  bool m_TakenOver = false;
  /// Under which name the agent of the last attempt holds the answer.
  std::string m_HeldAs;
  bool m_Counted = false;
  EventLoop::TimerId m_DeadlineTimer;

  std::atomic<bool> m_Accepted{false};
  std::atomic<StopReason> m_Stop{StopReason::None};
  std::atomic<bool> m_Done{false};
  std::atomic<std::shared_ptr<Attempt>> m_Live;
  /// Nanoseconds of BootClock when something was last written to the caller.
  std::atomic<int64_t> m_LastWrite{0};
};

} // namespace figlift::entry
