//===- TargetState.h - State of one target as seen by an entry --*- C++ -*-===//
//
// Combines three sources of information about a target: the platform's list,
// which lags; the operators' records; and the reports of the target's agent on
// the Sync stream.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlatform/Platform.h"
#include "LibRecord/Record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::membership {

/// State of the target as its agent reports it.
enum class AgentState { Recovering, Serving, Draining, Drained };

/// State by its name on the wire. An unknown name is read as Recovering, so
/// that the target gets no work.
AgentState agentStateFromName(std::string_view Name);
std::string_view agentStateName(AgentState State);

/// An agent's last report.
struct TargetReport {
  AgentState State = AgentState::Recovering;
  /// False while the target cannot accept work, whatever its state.
  bool Accepting = false;
  std::string Role;
  /// "name@version" of each loaded model.
  std::vector<std::string> Models;
  std::vector<uint64_t> PrefixHashes;
  uint64_t Revision = 0;
  uint64_t HighestEpoch = 0;
  std::string OrderId;
  uint64_t RequestsInFlight = 0;

  bool operator==(const TargetReport &) const = default;
};

struct TargetState {
  platform::Vm Listed;
  /// Whether this entry keeps a channel to the target's agent.
  bool InSubset = false;
  bool Connected = false;
  std::optional<TargetReport> Report;
  record::TargetIntent DesiredState = record::TargetIntent::Serve;

  /// Whether the target may receive new work.
  bool acceptsWork() const;
  /// State name for operators: that of the agent, or "gone", "not-connected" or
  /// "unreachable".
  std::string_view describe() const;
};

} // namespace figlift::membership
