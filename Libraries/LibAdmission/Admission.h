//===- Admission.h - Admission control of one target ------------*- C++ -*-===//
//
// State machine of an agent: admits, queues or refuses each request on arrival,
// tracks the work at the target, and derives the load that is attached to
// replies from it. The target's own load report is delayed, and is not used for
// decisions.
//
// Work of a class waits only for its own class and more urgent ones, and a part
// of the target's sequence slots is reserved for more urgent classes, so that
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
  /// Limit on the waiting prompt tokens of this class, including those at the
  /// target. A prompt of any length is accepted if none of its class waits.
  uint64_t MaximumQueuedTokens = 65536;
  /// Share of the target's sequence slots that this class and the less urgent
  /// ones may use together.
  double Share = 1.0;
};

struct AdmissionSettings {
  /// Limit on concurrent sequences (calls, for a plain service) at the target.
  /// BatchSize, the number of sequences that it decodes together, limits them
  /// as well: more urgent work cannot overtake work that waits at the target.
  unsigned MaximumSequences = 512;
  unsigned BatchSize = 64;
  /// Limit on the unprocessed prompt tokens at the target. Further work waits
  /// in the agent's queues, where more urgent work can overtake it.
  uint64_t MaximumPrefillAtTarget = 8192;
  std::array<ClassSettings, ServiceClassCount> Classes{
      ClassSettings{65536, 1.0}, ClassSettings{65536, 0.9},
      ClassSettings{65536, 0.5}};
};

struct Work {
  /// Attempt id; unique among the requests that are queued or at the target.
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

struct RequestArrived {
  Work Request;
};
struct FirstToken {
  std::string Id;
  /// 0 if the target did not report it; the expected number is used then.
  uint32_t CachedPromptTokens = 0;
};
/// Tokens produced since the previous event of the request, without the first
/// token.
struct Progress {
  std::string Id;
  uint32_t Tokens = 0;
};
/// The request left the target or the queue: it finished, failed or was
/// cancelled. Not sent for refused requests.
struct RequestEnded {
  std::string Id;
};
/// Sent for drains, role changes and recovery. While \p Accepting is false,
/// nothing is admitted, and queued work is refused with \p Code.
struct AcceptingChanged {
  bool Accepting = true;
  ResultCode Code = ResultCode::Draining;
};
struct SettingsChanged {
  AdmissionSettings Settings;
};
/// Sent about every 50 ms, to check the deadlines of queued work.
struct Tick {};

using Event = std::variant<RequestArrived, FirstToken, Progress, RequestEnded,
                           AcceptingChanged, SettingsChanged, Tick>;

/// Hand the request to the target now; it counts as being there from now on.
struct Admit {
  std::string Id;
};
/// Keep the request queued; Admit or Refuse follows.
struct Enqueue {
  std::string Id;
};
/// Refuse the request; it has not been handed to the target.
struct Refuse {
  std::string Id;
  ResultCode Code = ResultCode::Overloaded;
  std::optional<std::chrono::milliseconds> RetryAfter;
};

using Action = std::variant<Admit, Enqueue, Refuse>;

class Admission {
public:
  explicit Admission(AdmissionSettings Settings = {});

  std::vector<Action> step(const Event &Input, BootTime Now);

  /// Returns the load that is attached to replies.
  route::TargetLoad load(BootTime Now) const;
  bool accepting() const { return m_Accepting; }
  size_t atTarget() const { return m_AtTarget; }
  size_t queued() const { return m_Requests.size() - m_AtTarget; }
  /// Demand since the start, including work refused because of overload. Never
  /// decreases; the planner uses the growth.
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

  void on(const RequestArrived &, BootTime Now, Actions &Out);
  void on(const FirstToken &, BootTime Now, Actions &Out);
  void on(const Progress &, BootTime Now, Actions &Out);
  void on(const RequestEnded &, BootTime Now, Actions &Out);
  void on(const AcceptingChanged &, BootTime Now, Actions &Out);
  void on(const SettingsChanged &, BootTime Now, Actions &Out);
  void on(const Tick &, BootTime Now, Actions &Out);

  bool fitsAtTarget(const Entry &Candidate) const;
  void sendToTarget(Entry &Next, BootTime Now, Actions &Out);
  void admitQueued(BootTime Now, Actions &Out);
  void refuseUnreachableDeadlines(BootTime Now, Actions &Out);
  std::optional<Refuse> refusalFor(const Work &Request, BootTime Now) const;
  /// Expected time until the last token, if the request were queued now behind
  /// \p PrefillAhead prompt tokens.
  std::chrono::nanoseconds expectedTotal(const Work &Request,
                                         uint64_t PrefillAhead) const;
  void finishPrefill(Entry &Current, uint64_t ComputedTokens, BootTime Now);
  void remove(const std::string &Id, BootTime Now);
  unsigned sequenceSlots() const;

  AdmissionSettings m_Settings;
  bool m_Accepting = true;
  ResultCode m_NotAcceptingCode = ResultCode::Draining;
  std::map<std::string, Entry> m_Requests;
  /// Ids of Stage::Queued, oldest first.
  std::array<std::deque<std::string>, ServiceClassCount> m_Queues;
  /// Prompt tokens of Stage::Queued and Stage::Prefill, by class.
  std::array<uint64_t, ServiceClassCount> m_PrefillWaiting{};
  /// Requests at the target, by class; m_AtTarget is their sum.
  std::array<size_t, ServiceClassCount> m_SequencesAtTarget{};
  size_t m_AtTarget = 0;
  /// Requests of Stage::Decode.
  size_t m_Decoding = 0;
  /// Prompt tokens of Stage::Prefill.
  uint64_t m_PrefillAtTarget = 0;
  uint64_t m_DecodeWaiting = 0;
  uint64_t m_OfferedPrefill = 0;
  uint64_t m_OfferedDecode = 0;
  SpeedEstimator m_Speed;
};

} // namespace figlift::admission
