//===- Target.h - Servers as the platform lists them ------------*- C++ -*-===//
//
// Typed entries of the list of servers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace figlift::dispatch {

/// Which part of a model's work an engine does.
enum class Stage {
  /// A plain service.
  None,
  /// Reads prompts and hands the KV cache on.
  Prefill,
  /// Generates tokens; reads prompts too, more slowly.
  Decode,
};

/// When a server started, by the time of day. A server may start again under
/// the id that it had; then this differs, and it knows nothing of before.
using StartTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Names one start of a server.
struct ServerStart {
  std::string TargetId;
  std::optional<StartTime> Started;

  auto operator<=>(const ServerStart &) const = default;
};

/// One start of a server.
struct Target {
  std::string Id;
  /// Absent where servers do not tell.
  std::optional<StartTime> Started;
  /// Counts what this start wrote about itself: an entry with a lower number
  /// was written earlier, whenever it arrives.
  uint64_t Heartbeat = 0;
  std::string Service;
  Endpoint Address;
  std::string Zone;
  /// Requests that it works on at once.
  unsigned Slots = 1;
  /// It leaves soon and takes no new work.
  bool Draining = false;
  Stage EngineStage = Stage::None;

  ServerStart start() const { return {Id, Started}; }
  bool operator==(const Target &) const = default;
  /// Whether \p Other says the same of the same start, though at another
  /// heartbeat.
  bool equalsIgnoringHeartbeat(Target Other) const {
    Other.Heartbeat = Heartbeat;
    return Other == *this;
  }
  /// Whether this was written before \p Other, about an earlier start or by an
  /// earlier heartbeat of the same one.
  bool isOlderThan(const Target &Other) const {
    if (Started != Other.Started)
      return Started < Other.Started;
    return Heartbeat < Other.Heartbeat;
  }
};

} // namespace figlift::dispatch
