//===- Context.h - What all parts of the agent share ------------*- C++ -*-===//
//
// The loop, the settings and the observers (time line, metrics).
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMetrics/Registry.h"
#include "LibSettings/Settings.h"
#include "LibTimeline/Timeline.h"

#include "Loop.h"

namespace figlift::agent {

struct Context {
  const settings::AgentSettings &Settings;
  Loop &Decisions;
  timeline::Timeline &Events;
  metrics::Registry &Metrics;
};

} // namespace figlift::agent
