//===- TargetState.h - What an entry knows of one target --------*- C++ -*-===//
//
// Three sources tell about a target: the platform's list, which lags; the
// operators' records; and its own agent, over the Sync stream.
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

/// What an agent says that it is doing.
enum class AgentState { Recovering, Serving, Draining, Drained };

/// The state of a name on the wire; an unknown name is Recovering, which
/// gives it no work.
AgentState agentStateFromName(std::string_view Name);
std::string_view agentStateName(AgentState State);

/// An agent's last report.
struct TargetReport {
  AgentState State = AgentState::Recovering;
  /// False while its target cannot take work, whatever the state.
  bool Accepting = false;
  std::string Role;
  /// "name@version".
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
  /// This entry keeps a channel to it.
  bool InSubset = false;
  bool Connected = false;
  std::optional<TargetReport> Report;
  record::TargetIntent Wish = record::TargetIntent::Serve;

  /// Whether new work may go there.
  bool acceptsWork() const;
  /// One word for operators: the agent's state, or "unreachable", "gone".
  std::string_view describe() const;
};

} // namespace figlift::membership
