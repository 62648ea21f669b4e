//===- CallContext.h - State shared by all calls of an entry ----*- C++ -*-===//
//
// Services and trackers that calls use. They outlive every call.
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

/// Totals of the work that this entry refused for one back end before any agent
/// received it. The planner adds them to the demand that agents report.
struct RefusedWork {
  RefusedWork(metrics::Registry &Registry, const std::string &BackEnd);

  metrics::Counter &PrefillTokens;
  metrics::Counter &DecodeTokens;
};

/// Metrics of the request path.
struct CallMetrics {
  explicit CallMetrics(metrics::Registry &Registry);

  void recordEnd(ResultCode Code);
  /// Records work that was refused before any agent received it.
  void recordRefusal(const std::string &BackEnd, uint64_t PrefillTokens,
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
  metrics::Summary &RequestTime;
};

/// Counts the requests in flight of each workspace.
class WorkspaceTracker {
public:
  /// Returns false when the workspace has \p Maximum requests in flight.
  bool tryAcquire(const std::string &Workspace, unsigned Maximum);
  void release(const std::string &Workspace);

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
  WorkspaceTracker &Workspaces;
  const route::Policy &Routing;
  const retry::RetrySettings &RetryOptions;
  /// Called with every configuration revision seen in a message.
  std::function<void(uint64_t)> OnRevision;
  /// Called when the home of a key is unknown, unreachable or has moved.
  std::function<void(const std::string &BackEnd)> OnHomeMoved;
};

} // namespace figlift::entry
