//===- ServiceCalls.h - Calls to a plain service ----------------*- C++ -*-===//
//
// Sends admitted calls to the service. Calls with an idempotency key pass the
// home's state machine (HomeMachine) first, which runs each key at most once.
// Event loop's thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "AdmissionGate.h"
#include "FrameSender.h"

#include "LibIdempotency/HomeMachine.h"
#include "LibTarget/Target.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace figlift::agent {

class ServiceCalls {
public:
  struct Dependencies {
    AdmissionGate &Gate;
    FrameSender &Frames;
    target::Service &Service;
  };
  /// Executes the actions that move slices between homes.
  using SliceActions = std::function<void(const idempotency::Action &)>;

  ServiceCalls(Context Shared, Dependencies Services,
               SliceActions PerformSliceAction);

  void run(StreamId Stream, wire::RunRequest Request);
  void streamEnded(StreamId Stream);
  void tick() { step(idempotency::Tick{}); }

  /// Passes an event to the home machine and executes its actions.
  void step(const idempotency::Event &Event);
  const idempotency::HomeMachine &home() const { return m_Home; }

private:
  struct Call {
    AttemptStream Source;
    wire::RunRequest Request;
    /// Retry-After from the admission gate, if it refused the call.
    std::optional<std::chrono::milliseconds> RetryAfter;
  };
  using Done = std::function<void(target::CallResult<target::ServiceReply>)>;

  void runWithoutKey(StreamId Stream);
  void finishWithoutKey(StreamId Stream,
                        const target::CallResult<target::ServiceReply> &Reply);
  void onKeyedReply(const std::string &Key,
                    const target::CallResult<target::ServiceReply> &Reply);
  void sendWhenAdmitted(WorkId Id, const wire::RunRequest &Request, Done OnDone,
                        std::function<void(GateRefusal)> Refused);
  void answer(StreamId Stream, const idempotency::Answer &Result,
              bool Replayed);
  void refuse(StreamId Stream, const Error &Reason);

  void perform(const idempotency::SendToTarget &Action);
  void perform(const idempotency::AnswerCaller &Action);
  void perform(const idempotency::RefuseCaller &Action);
  void perform(const idempotency::ReportUnknownOutcome &Action);
  void perform(const idempotency::JoinWaiters &) {}

  Context m_Shared;
  Dependencies m_Dependencies;
  SliceActions m_SliceActions;
  idempotency::HomeMachine m_Home;
  /// Calls that have not been answered, by the stream of their caller.
  std::unordered_map<StreamId, Call> m_Calls;
  /// Expires with this object, so that later answers of the service are
  /// ignored.
  std::shared_ptr<ServiceCalls *> m_Self;
  metrics::Counter &m_Replayed;
  metrics::Counter &m_Unknown;
};

} // namespace figlift::agent
