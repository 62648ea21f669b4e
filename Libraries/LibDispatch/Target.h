//===- Target.h - Entries of the platform's server list ---------*- C++ -*-===//
//
// Typed entries of the server list.
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

/// The stage of inference that an engine performs.
enum class Stage {
  /// Plain service without inference stages.
  None,
  /// Processes prompts and transfers the KV cache to a decode engine.
  Prefill,
  /// Generates tokens. Can also prefill prompts, but more slowly.
  Decode,
};

/// Wall-clock time at which a server started. A server that restarts under the
/// same id has another start time and none of its earlier state.
using StartTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Identifies one start of a server.
struct ServerStart {
  std::string TargetId;
  std::optional<StartTime> Started;

  auto operator<=>(const ServerStart &) const = default;
};

/// One start of a server.
struct Target {
  std::string Id;
  /// Unset if the server does not report it.
  std::optional<StartTime> Started;
  /// Number of entries that this start has written. An entry with a lower
  /// number was written earlier, regardless of when it arrives.
  uint64_t Heartbeat = 0;
  std::string Service;
  Endpoint Address;
  std::string Zone;
  /// Number of requests that are processed concurrently.
  unsigned Slots = 1;
  /// The server is about to leave and accepts no new work.
  bool Draining = false;
  Stage EngineStage = Stage::None;
  /// Version of the server's program, not of its weights. Servers of several
  /// versions may serve side by side, and a stream may go on only at the
  /// version that began it.
  std::string SoftwareVersion;

  ServerStart start() const { return {Id, Started}; }
  bool operator==(const Target &) const = default;
  /// Whether \p Other describes the same start with the same values, except
  /// for the heartbeat.
  bool equalsIgnoringHeartbeat(Target Other) const {
    Other.Heartbeat = Heartbeat;
    return Other == *this;
  }
};

} // namespace figlift::dispatch
