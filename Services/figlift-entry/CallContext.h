//===- CallContext.h - What all calls of an entry share ---------*- C++ -*-===//
//
// Services and books that a call uses; they outlive every call.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/EventLoop.h"
#include "figlift-entry/ServingState.h"

#include "LibCore/Ids.h"
#include "LibMetrics/Registry.h"
#include "LibRetry/RetryBudget.h"
#include "LibRetry/RetryDecision.h"
#include "LibRetry/TargetHealth.h"
#include "LibRoute/Policy.h"
#include "LibTimeline/Timeline.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace figlift::entry {

/// Totals of the work of one back end that this entry refused early. The
/// planner counts them as demand, which agents cannot report.
struct RefusedWork {
  RefusedWork(metrics::Registry &Into, const std::string &BackEnd);

  metrics::Counter &PrefillTokens;
  metrics::Counter &DecodeTokens;
};

/// Metrics of the request path, made once.
struct CallMetrics {
  explicit CallMetrics(metrics::Registry &Into);

  void ended(ResultCode Code);
  /// Work that this entry refused although no agent has seen it.
  void refusedEarly(const std::string &BackEnd, uint64_t PrefillTokens,
                    uint64_t DecodeTokens);

  metrics::Registry &Metrics;
  metrics::Counter &Attempts;
  metrics::Counter &Retries;
  metrics::Counter &Resumes;
  metrics::Counter &Continuations;
  metrics::Counter &TakenOver;
  metrics::Counter &FramesDropped;
  metrics::Counter &AnswerGaps;
  metrics::Counter &Tokens;
  metrics::Gauge &InFlight;
  metrics::Summary &FirstTokenTime;
  metrics::Summary &WholeTime;
};

/// Requests in flight of each workspace.
class WorkspaceBook {
public:
  /// False when the workspace has \p Maximum in flight.
  bool enter(const std::string &Workspace, unsigned Maximum);
  void leave(const std::string &Workspace);

private:
  std::mutex m_Mutex;
  std::map<std::string, unsigned> m_InFlight;
};

struct CallContext {
  ServingStatePointer &State;
  EventLoop &Timers;
  timeline::Timeline &Events;
  CallMetrics &Metrics;
  UuidGenerator &Ids;
  retry::RetryBudget &Budget;
  retry::HealthTracker &Health;
  WorkspaceBook &Workspaces;
  const route::Policy &Routing;
  const retry::RetrySettings &Retrying;
  /// Highest configuration revision seen anywhere.
  std::function<void(uint64_t)> OnRevision;
  /// A home refused because its slice has moved.
  std::function<void(const std::string &BackEnd)> OnHomeMoved;
};

} // namespace figlift::entry
