//===- Context.h - Services shared by the agent's components ----*- C++ -*-===//
//
// Settings, event loop, time line and metrics.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMetrics/Registry.h"
#include "LibSettings/Settings.h"
#include "LibTimeline/Timeline.h"

#include "EventLoop.h"

namespace figlift::agent {

struct Context {
  const settings::AgentSettings &Settings;
  EventLoop &Loop;
  timeline::Timeline &Events;
  metrics::Registry &Metrics;
};

} // namespace figlift::agent
