//===- Membership.h - Targets and peers of one entry ------------*- C++ -*-===//
//
// State machine that selects the targets to which an entry connects and tracks
// their state, from the platform's list, the operators' records and the agents'
// reports.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibMembership/TargetState.h"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace figlift::membership {

struct Options {
  std::string EntryId;
  std::string Zone;
  /// Targets and peers of other regions are ignored.
  std::string Region;
  /// Number of agents of one back end to which the entry connects.
  size_t TargetsPerBackEnd = 8;
};

/// The platform's list was read.
struct VmListRead {
  std::vector<platform::Vm> Vms;
};
/// The operators' records of targets were read. A target without a record
/// serves.
struct DesiredStatesRead {
  std::map<std::string, record::TargetIntent> DesiredStates;
};
/// The channel to a target's agent was connected or lost.
struct ConnectionChanged {
  std::string Target;
  bool Connected = false;
};
/// The agent of a target sent a report.
struct ReportReceived {
  std::string Target;
  TargetReport Report;
};

/// The back ends for which this entry plans changed. It connects to all of
/// their targets, because a planner needs the state of the whole shard.
struct PlannedBackEndsChanged {
  std::set<std::string> BackEnds;
};

using Event = std::variant<VmListRead, DesiredStatesRead, ConnectionChanged,
                           ReportReceived, PlannedBackEndsChanged>;

/// Connect to the target's agent and reconnect when the connection is lost.
struct Connect {
  platform::Vm Target;
};
/// Close the connection once its requests have ended.
struct Disconnect {
  std::string Target;
};
/// Notify the agent that its VM is leaving; it may not know that yet.
struct NotifyLeaving {
  std::string Target;
};
/// The set of other entries in the region changed.
struct PeersChanged {
  std::vector<platform::Vm> Peers;
};
/// State that routing depends on has changed.
struct RoutingChanged {};

using Action = std::variant<Connect, Disconnect, NotifyLeaving, PeersChanged,
                            RoutingChanged>;

class Membership {
public:
  explicit Membership(Options Settings);

  std::vector<Action> step(const Event &Event, BootTime Now);

  /// Targets on the platform's list, by id.
  const std::map<std::string, TargetState> &targets() const {
    return m_Targets;
  }
  const std::vector<platform::Vm> &peers() const { return m_Peers; }
  /// Whether the list has been read at least once.
  bool listKnown() const { return m_ListKnown; }

private:
  using Actions = std::vector<Action>;

  void on(const VmListRead &, Actions &Out);
  void on(const DesiredStatesRead &, Actions &Out);
  void on(const ConnectionChanged &, Actions &Out);
  void on(const ReportReceived &, Actions &Out);
  void on(const PlannedBackEndsChanged &, Actions &Out);

  void updateTargets(const std::vector<platform::Vm> &Listed, Actions &Out);
  void updatePeers(const std::vector<platform::Vm> &Listed, Actions &Out);
  void updateTarget(TargetState &Target, const platform::Vm &Listed,
                    Actions &Out);
  void selectSubset(Actions &Out);
  void addToSubset(TargetState &Target, Actions &Out);
  void removeFromSubset(TargetState &Target, Actions &Out);
  void removeGoneTargets();

  const Options m_Options;
  std::map<std::string, TargetState> m_Targets;
  std::map<std::string, record::TargetIntent> m_DesiredStates;
  std::set<std::string> m_PlannedBackEnds;
  /// Live entries of the region except this one, sorted by id.
  std::vector<platform::Vm> m_Peers;
  bool m_ListKnown = false;
};

} // namespace figlift::membership
