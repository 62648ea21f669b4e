//===- EnginePriorities.h - Priority of a request at engines ----*- C++ -*-===//
//
// An engine admits requests in the order of their priorities and preempts less
// urgent ones. A request that is preempted in the middle of its stream pauses,
// and its prompt is prefilled again. Long streams are preempted most often: in
// a trial that sent the priorities of the routes unchanged, the largest tenth
// of the long streams was served 0.35 as often as all requests. So requests of
// routes with long streams are as urgent at engines as the most urgent ones.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/Configuration.h"
#include "LibDispatch/EnginePriority.h"
#include "LibDispatch/StreamTimes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace figlift::dispatch {

class EnginePriorities {
public:
  /// By route.
  using StreamTimesMap = std::map<std::string, StreamTimes>;

  explicit EnginePriorities(const StreamTimesMap &Times) : m_Times(Times) {}

  /// Priority of a request with a prompt at the engines of \p Target, from 0 to
  /// LeastUrgentPriority; empty if all such requests have the same.
  /// \p RequestPriority: that of the tenant or, if it has none, of \p Entry.
  /// \p Current contains both \p Target and \p Entry.
  std::optional<unsigned> of(const Configuration &Current,
                             const Service &Target, const Route &Entry,
                             unsigned RequestPriority, BootTime Now);

private:
  /// Streams are long if they last more than this multiple of those of another
  /// route.
  static constexpr double LongStreamFactor = 4;
  /// The shortest streams are looked up at most this often, as a service may
  /// have ten thousand routes.
  static constexpr std::chrono::milliseconds LookupInterval{1000};

  /// Shortest mean stream duration of the routes to one service.
  struct ShortestStreams {
    uint64_t ConfigurationVersion = 0;
    BootTime LookedUpAt{};
    /// Empty without measurements.
    std::optional<engine::Milliseconds> Mean;
  };

  bool hasLongStreams(const Configuration &Current, const Service &Target,
                      const Route &Entry, BootTime Now);
  std::optional<engine::Milliseconds>
  shortestStreams(const Configuration &Current, const Service &Target,
                  BootTime Now);

  const StreamTimesMap &m_Times;
  /// By service.
  std::map<std::string, ShortestStreams> m_Shortest;
};

} // namespace figlift::dispatch
