//===- AdmissionGate.h - Admission control of the target --------*- C++ -*-===//
//
// All work for the target passes through this class. The admission state
// machine admits, queues or refuses it, and computes the load that the agent
// reports on its replies.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibAdmission/Admission.h"
#include "LibWire/Messages.pb.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace figlift::agent {

using WorkId = uint64_t;

struct GateRefusal {
  ResultCode Code = ResultCode::Overloaded;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

class AdmissionGate {
public:
  /// Exactly one of the two is called, unless leave() is called first.
  struct Callbacks {
    std::function<void()> OnAdmitted;
    std::function<void(GateRefusal)> OnRefused;
  };

  explicit AdmissionGate(Context Shared);

  void enter(WorkId Id, admission::Work Request, Callbacks Handlers);
  void firstToken(WorkId Id, uint32_t CachedTokens);
  void progress(WorkId Id, uint32_t Tokens);
  /// Removes work that has ended at the target or leaves the queue.
  void leave(WorkId Id);
  void setAccepting(bool Accepting, ResultCode Code);
  void configure(const admission::AdmissionSettings &Settings);
  void tick();

  size_t atTarget() const { return m_Admission.atTarget(); }
  size_t queued() const { return m_Admission.queued(); }
  size_t inFlight() const {
    return m_Admission.atTarget() + m_Admission.queued();
  }
  bool accepting() const { return m_Admission.accepting(); }
  /// Load as the admission state machine knows it. Sets neither the role nor
  /// the models nor the free KV cache.
  wire::Load load() const;
  /// Sets the function that leave() calls at its end.
  void onLeave(std::function<void()> Observer) {
    m_OnLeave = std::move(Observer);
  }

private:
  void step(const admission::Event &Event);
  void perform(const admission::Admit &Action);
  void perform(const admission::Enqueue &) {}
  void perform(const admission::Refuse &Action);
  std::optional<Callbacks> takeCallbacks(const std::string &Id);

  Context m_Shared;
  admission::Admission m_Admission;
  /// Callbacks of requests that have no decision yet, by their id in
  /// m_Admission.
  std::unordered_map<std::string, Callbacks> m_Undecided;
  std::function<void()> m_OnLeave = [] {};
  /// Copy of inFlight() for the thread that reads the metrics.
  std::atomic<size_t> m_InFlight{0};
  metrics::Counter &m_Admitted;
  metrics::Counter &m_Refused;
};

} // namespace figlift::agent
