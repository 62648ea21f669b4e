//===- ServiceCalls.h - Calls to a plain service ----------------*- C++ -*-===//
//
// Takes service calls through the gate to the service. Calls with a key go
// through the home machine first, which lets each key run at most once.
// Loop thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Answering.h"
#include "Gate.h"

#include "LibIdempotency/HomeMachine.h"
#include "LibTarget/Target.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace figlift::agent {

class ServiceCalls {
public:
  struct Parts {
    Gate &Way;
    Answering &Out;
    target::Service &Service;
  };
  /// Carries out the actions that move slices between homes.
  using SliceActions = std::function<void(const idempotency::Action &)>;

  ServiceCalls(Context Shared, Parts Of, SliceActions Slices);

  void run(StreamId Stream, wire::RunRequest Request);
  void streamEnded(StreamId Stream);
  void tick() { step(idempotency::Tick{}); }

  /// Passes an event to the home machine and carries its actions out.
  void step(const idempotency::Event &What);
  const idempotency::HomeMachine &home() const { return m_Home; }

private:
  struct Call {
    Reader From;
    wire::RunRequest Request;
    /// Why the gate refused it, for the answer's Retry-After.
    std::optional<std::chrono::milliseconds> RetryAfter;
  };
  using Done = std::function<void(target::CallResult<target::ServiceReply>)>;

  void runOnce(StreamId Stream);
  void finishOnce(StreamId Stream,
                  const target::CallResult<target::ServiceReply> &Reply);
  void settle(const std::string &Key,
              const target::CallResult<target::ServiceReply> &Reply);
  void hand(WorkId Id, const wire::RunRequest &Request, Done Then,
            std::function<void(GateRefusal)> Refused);
  void answer(StreamId Stream, const idempotency::Answer &Result,
              bool Replayed);
  void refuse(StreamId Stream, const Error &Reason);

  void act(const idempotency::SendToTarget &What);
  void act(const idempotency::AnswerCaller &What);
  void act(const idempotency::RefuseCaller &What);
  void act(const idempotency::UnknownToCaller &What);
  void act(const idempotency::JoinWaiters &) {}

  Context m_Shared;
  Parts m_Parts;
  SliceActions m_Slices;
  idempotency::HomeMachine m_Home;
  /// Callers that wait for an answer.
  std::unordered_map<StreamId, Call> m_Calls;
  /// Finds this object gone when a late answer comes.
  std::shared_ptr<ServiceCalls *> m_Self;
  metrics::Counter &m_Replayed;
  metrics::Counter &m_Unknown;
};

} // namespace figlift::agent
