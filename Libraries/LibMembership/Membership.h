//===- Membership.h - Targets and peers of one entry ------------*- C++ -*-===//
//
// State machine that keeps the set of targets which an entry is connected to,
// from the platform's list, the operators' records and what agents report.
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
  /// Targets and peers of other regions are left out.
  std::string Region;
  /// Agents of one back end that the entry is connected to.
  size_t TargetsPerBackEnd = 8;
};

/// The platform's list was read.
struct VmListRead {
  std::vector<platform::Vm> Vms;
};
/// Operators' records about targets changed; targets without one serve.
struct WishesRead {
  std::map<std::string, record::TargetIntent> Wishes;
};
/// The channel of a target came up or went down.
struct ConnectionChanged {
  std::string Target;
  bool Connected = false;
};
struct Reported {
  std::string Target;
  TargetReport Report;
};

/// Back ends that this entry plans for: it is connected to all their targets,
/// because a planner has to see the whole shard.
struct PlannedChanged {
  std::set<std::string> BackEnds;
};

using Event = std::variant<VmListRead, WishesRead, ConnectionChanged, Reported,
                           PlannedChanged>;

/// Connect to the target's agent and keep connected.
struct Connect {
  platform::Vm Target;
};
/// Give the connection up once the requests on it have ended.
struct Disconnect {
  std::string Target;
};
/// Tell the agent that its VM is about to leave; it may not know yet.
struct TellLeaving {
  std::string Target;
};
/// Other entries of the region changed.
struct PeersChanged {
  std::vector<platform::Vm> Peers;
};
/// What routing may use has changed.
struct RoutingChanged {};

using Action = std::variant<Connect, Disconnect, TellLeaving, PeersChanged,
                            RoutingChanged>;

class Membership {
public:
  explicit Membership(Options Settings);

  std::vector<Action> step(const Event &Happened, BootTime Now);

  /// By id; targets that left the list stay while connected.
  const std::map<std::string, TargetState> &targets() const {
    return m_Targets;
  }
  const std::vector<platform::Vm> &peers() const { return m_Peers; }
  /// The list was read at least once.
  bool listKnown() const { return m_ListKnown; }

private:
  using Actions = std::vector<Action>;

  void on(const VmListRead &, Actions &Out);
  void on(const WishesRead &, Actions &Out);
  void on(const ConnectionChanged &, Actions &Out);
  void on(const Reported &, Actions &Out);
  void on(const PlannedChanged &, Actions &Out);

  void takeTargets(const std::vector<platform::Vm> &Listed, Actions &Out);
  void takePeers(const std::vector<platform::Vm> &Listed, Actions &Out);
  void update(TargetState &Known, const platform::Vm &Listed, Actions &Out);
  void chooseSubset(Actions &Out);
  void enter(TargetState &Known, Actions &Out);
  void leave(TargetState &Known, Actions &Out);
  void forgetGone();

  const Options m_Options;
  std::map<std::string, TargetState> m_Targets;
  std::map<std::string, record::TargetIntent> m_Wishes;
  std::set<std::string> m_Planned;
  /// Live entries of the region without this one, ascending by id.
  std::vector<platform::Vm> m_Peers;
  bool m_ListKnown = false;
};

} // namespace figlift::membership
