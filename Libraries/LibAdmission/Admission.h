//===- Admission.h - Queue and limits of one target -------------*- C++ -*-===//
//
// State machine of an agent: admits, queues or refuses each request at once,
// keeps the book of what was handed to the target and what came back, and
// derives the load that rides on replies from that book. The target's own
// load report lags and is not used for decisions.
//
// Work of a class waits only for its own class and more urgent ones, and some
// of the target's places are kept from less urgent classes, so that
// background work never causes a refusal of immediate work.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibAdmission/SpeedEstimator.h"
#include "LibCore/Clock.h"
#include "LibCore/ResultCode.h"
#include "LibRecord/Record.h"
#include "LibRoute/TargetLoad.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figlift::admission {

using record::ServiceClass;
using route::ServiceClassCount;

struct ClassSettings {
  /// Waiting prompt tokens of this class, those at the target included. A
  /// prompt that finds nothing of its class waiting is never too long.
  uint64_t MaximumQueuedTokens = 65536;
  /// Share of the target's places that this class may hold together with the
  /// less urgent ones.
  double Share = 1.0;
};

struct AdmissionSettings {
  /// Sequences (calls, for a plain service) at the target at once, and no more
  /// than it decodes together: what waits at the target cannot be passed by
  /// more urgent work of its class's share.
  unsigned MaximumSequences = 512;
  unsigned BatchSize = 64;
  /// Prompt tokens that a target may hold unprocessed; beyond that, work waits
  /// here, where more urgent work can still pass it.
  uint64_t MaximumPrefillAtTarget = 8192;
  std::array<ClassSettings, ServiceClassCount> Classes{
      ClassSettings{65536, 1.0}, ClassSettings{65536, 0.9},
      ClassSettings{65536, 0.5}};
};

struct Work {
  /// Attempt id; unique among the requests in the book.
  std::string Id;
  ServiceClass Class = ServiceClass::Interactive;
  /// 1 for a call to a plain service.
  uint32_t PromptTokens = 1;
  /// Part of the prompt that the target's cache is expected to hold.
  uint32_t ExpectedCachedTokens = 0;
  /// 0 for a call to a plain service.
  uint32_t MaximumTokens = 0;
  std::optional<BootTime> Deadline;
};

struct Arrived {
  Work Request;
};
struct FirstToken {
  std::string Id;
  /// 0 when the target has not said; the expected number counts then.
  uint32_t CachedPromptTokens = 0;
};
/// Tokens that came since the last event, the first one left out.
struct Progress {
  std::string Id;
  uint32_t Tokens = 0;
};
/// The request left the target, or its queue place here: finished, failed,
/// cancelled. Refused requests need none.
struct Ended {
  std::string Id;
};
/// Drain, role change, recovery: nothing new is admitted while \p Accepting is
/// false; queued work is refused with \p Code.
struct AcceptingChanged {
  bool Accepting = true;
  ResultCode Code = ResultCode::Draining;
};
struct SettingsChanged {
  AdmissionSettings Settings;
};
/// Time passes; due about every 50 ms for queued deadlines.
struct Tick {};

using Event = std::variant<Arrived, FirstToken, Progress, Ended,
                           AcceptingChanged, SettingsChanged, Tick>;

/// Hand the request to the target now; the book counts it there from here on.
struct Admit {
  std::string Id;
};
/// Hold the request; Admit or Refuse follows.
struct Queue {
  std::string Id;
};
/// The request was not and will not be handed over.
struct Refuse {
  std::string Id;
  ResultCode Code = ResultCode::Overloaded;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

using Action = std::variant<Admit, Queue, Refuse>;

class Admission {
public:
  explicit Admission(AdmissionSettings Settings = {});

  std::vector<Action> step(const Event &Happened, BootTime Now);

  /// What rides on replies, as of \p Now.
  route::TargetLoad load(BootTime Now) const;
  bool accepting() const { return m_Accepting; }
  size_t atTarget() const { return m_AtTarget; }
  size_t queued() const { return m_Book.size() - m_AtTarget; }
  /// Demand since the start, work refused for overload included; the planner
  /// reads the growth. Never decreases.
  uint64_t offeredPrefillTokens() const { return m_OfferedPrefill; }
  uint64_t offeredDecodeTokens() const { return m_OfferedDecode; }

private:
  enum class Stage { Queued, Prefill, Decode };
  struct Entry {
    Work Request;
    Stage At = Stage::Queued;
    uint32_t PrefillTokens = 0;
    uint32_t Produced = 0;
    SpeedEstimator::TokenMark LastToken{};
  };
  using Actions = std::vector<Action>;

  void on(const Arrived &, BootTime Now, Actions &Out);
  void on(const FirstToken &, BootTime Now, Actions &Out);
  void on(const Progress &, BootTime Now, Actions &Out);
  void on(const Ended &, BootTime Now, Actions &Out);
  void on(const AcceptingChanged &, BootTime Now, Actions &Out);
  void on(const SettingsChanged &, BootTime Now, Actions &Out);
  void on(const Tick &, BootTime Now, Actions &Out);

  bool fitsAtTarget(const Entry &Candidate) const;
  void handOver(Entry &Next, BootTime Now, Actions &Out);
  void admitQueued(BootTime Now, Actions &Out);
  void refuseHopeless(BootTime Now, Actions &Out);
  std::optional<Refuse> refusalFor(const Work &Request, BootTime Now) const;
  /// Until the first and the last token, were it queued now.
  std::chrono::nanoseconds expectedTotal(const Work &Request,
                                         uint64_t PrefillAhead) const;
  void leavePrefill(Entry &Which, uint64_t ComputedTokens, BootTime Now);
  void remove(const std::string &Id, BootTime Now);
  unsigned places() const;

  AdmissionSettings m_Settings;
  bool m_Accepting = true;
  ResultCode m_NotAcceptingCode = ResultCode::Draining;
  std::map<std::string, Entry> m_Book;
  /// Ids of Stage::Queued, oldest first.
  std::array<std::deque<std::string>, ServiceClassCount> m_Queues;
  /// Of Stage::Queued and Stage::Prefill, by class.
  std::array<uint64_t, ServiceClassCount> m_PrefillWaiting{};
  /// Entries at the target, by class; m_AtTarget is their sum.
  std::array<size_t, ServiceClassCount> m_Places{};
  size_t m_AtTarget = 0;
  /// Of Stage::Decode.
  size_t m_Decoding = 0;
  /// Of Stage::Prefill.
  uint64_t m_PrefillAtTarget = 0;
  uint64_t m_DecodeWaiting = 0;
  uint64_t m_OfferedPrefill = 0;
  uint64_t m_OfferedDecode = 0;
  SpeedEstimator m_Speed;
};

} // namespace figlift::admission
