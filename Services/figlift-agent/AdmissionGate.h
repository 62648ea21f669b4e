//===- Gate.h - The only way to the target ----------------------*- C++ -*-===//
//
// Everything that a caller wants of the target passes here: the admission
// machine admits, queues or refuses it, and its book gives the load that rides
// on replies.
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

class Gate {
public:
  /// Exactly one of the two is called, unless leave() comes first.
  struct Decisions {
    std::function<void()> Admitted;
    std::function<void(GateRefusal)> Refused;
  };

  explicit Gate(Context Shared);

  void enter(WorkId Id, admission::Work Request, Decisions Then);
  void firstToken(WorkId Id, uint32_t CachedTokens);
  void progress(WorkId Id, uint32_t Tokens);
  /// The work has left the target or its place in the queue.
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
  /// Load with everything that the admission book knows.
  wire::Load load() const;
  /// Called after work has left.
  void onLeave(std::function<void()> Observer) {
    m_OnLeave = std::move(Observer);
  }

private:
  void step(const admission::Event &What);
  void act(const admission::Admit &What);
  void act(const admission::Queue &) {}
  void act(const admission::Refuse &What);
  std::optional<Decisions> take(const std::string &Id);

  Context m_Shared;
  admission::Admission m_Admission;
  /// Requests that have had no decision yet, by their id in the book.
  std::unordered_map<std::string, Decisions> m_Waiting;
  std::function<void()> m_OnLeave = [] {};
  /// Copy of inFlight() for the thread that prints the metrics.
  std::atomic<size_t> m_InFlight{0};
  metrics::Counter &m_Admitted;
  metrics::Counter &m_Refused;
};

} // namespace figlift::agent
