//===- EnginePriorities.cpp - Priority of a request at engines ------------===//
//
// The priorities of a service are part of its configuration; the durations of
// streams are measured by this process.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/EnginePriorities.h"

#include <algorithm>

namespace figlift::dispatch {

using engine::Milliseconds;

std::optional<unsigned> EnginePriorities::of(const Configuration &Current,
                                             const Service &Target,
                                             const Route &Entry,
                                             unsigned RequestPriority,
                                             BootTime Now) {
  const std::vector<unsigned> &Priorities = Target.PromptPriorities;
  if (Priorities.size() < 2 || Priorities.front() >= LeastUrgentPriority)
    return std::nullopt;
  const unsigned Priority = hasLongStreams(Current, Target, Entry, Now)
                                ? Priorities.front()
                                : RequestPriority;
  return std::min(Priority, LeastUrgentPriority);
}

/// A stream that ends within the latency target is never long: its request
/// mostly waits for the first event, however short other streams are.
bool EnginePriorities::hasLongStreams(const Configuration &Current,
                                      const Service &Target, const Route &Entry,
                                      BootTime Now) {
  const auto Times = m_Times.find(Entry.Name);
  if (Entry.Kind != RouteKind::Streaming || Times == m_Times.end())
    return false;
  const Milliseconds Mean = Times->second.mean(Now);
  if (Mean <= Milliseconds(Entry.LatencyTarget))
    return false;
  const auto Shortest = shortestStreams(Current, Target, Now);
  return Shortest && Mean > *Shortest * LongStreamFactor;
}

std::optional<Milliseconds>
EnginePriorities::shortestStreams(const Configuration &Current,
                                  const Service &Target, BootTime Now) {
  ShortestStreams &Known = m_Shortest[Target.Name];
  if (Known.ConfigurationVersion == Current.Version &&
      Known.LookedUpAt != BootTime{} && Now - Known.LookedUpAt < LookupInterval)
    return Known.Mean;
  Known = {Current.Version, Now, std::nullopt};
  for (const uint32_t Index : Target.PromptStreams) {
    const auto Times = m_Times.find(Current.Routes[Index].Name);
    if (Times == m_Times.end() || !Times->second.measured(Now))
      continue;
    const Milliseconds Mean = Times->second.mean(Now);
    Known.Mean = std::min(Known.Mean.value_or(Mean), Mean);
  }
  return Known.Mean;
}

} // namespace figlift::dispatch
