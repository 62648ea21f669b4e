//===- Fleet.h - Connections to the targets ---------------------*- C++ -*-===//
//
// Shell of the membership machine: reads the platform's list, holds the links
// to agents, pushes configuration to them and publishes the serving state.
// All members belong to the control thread unless they say otherwise.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/EventLoop.h"
#include "figlift-entry/ServingState.h"

#include "LibLog/Log.h"
#include "LibMembership/Membership.h"
#include "LibMetrics/Registry.h"
#include "LibRetry/TargetHealth.h"
#include "LibSettings/Settings.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figlift::entry {

/// What a status page shows of the fleet.
struct FleetStatus {
  std::vector<membership::TargetState> Targets;
  std::vector<platform::Vm> Peers;
};

class Fleet {
public:
  struct Parts {
    const settings::EntrySettings &Settings;
    EventLoop &Control;
    wire::Client &Transport;
    timeline::Timeline &Events;
    metrics::Registry &Metrics;
    platform::VmList &List;
    ServingStatePointer &Published;
  };
  /// Endpoints of the other entries changed.
  using PeersObserver = std::function<void(std::vector<Endpoint>)>;
  /// A message showed that this revision exists; any thread.
  using RevisionObserver = std::function<void(uint64_t)>;

  explicit Fleet(Parts Of);

  void start(PeersObserver OnPeers, RevisionObserver OnRevision);
  /// Puts a configuration in force and pushes it.
  void setConfiguration(config::SnapshotPointer Next);
  /// Why no new request may be taken; nothing when all is well.
  void setNotReady(std::optional<Error> Reason);
  /// Learns the homes of a back end's slices from the table.
  void learnHomes(const std::string &BackEnd,
                  const idempotency::GrantTable &Grants);
  /// Channels to agents that are up.
  std::vector<std::shared_ptr<wire::Channel>> upChannels() const;
  /// \name What the planner sees; control thread.
  /// @{
  struct LastReport {
    wire::SyncDown Message;
    BootTime ArrivedAt;
  };
  const membership::Membership &membership() const { return m_Membership; }
  /// Null when the target's agent has not reported on its present connection.
  const LastReport *lastReport(const std::string &Target) const;
  /// Ids of all machines on the platform's list, of every region.
  const std::set<std::string> &listedIds() const { return m_ListedIds; }
  /// Null before the first.
  const config::SnapshotPointer &configuration() const {
    return m_Configuration;
  }
  /// Null without a connection.
  std::shared_ptr<wire::Channel> channelTo(const std::string &Target) const;
  /// Back ends to all whose targets this entry stays connected.
  void setPlanned(std::set<std::string> BackEnds);
  /// @}
  /// Drops every link; requests in flight keep theirs.
  void stop();

  /// Any thread.
  std::shared_ptr<const FleetStatus> status() const { return m_Status.load(); }
  retry::HealthTracker &healthBook() { return m_Health; }

private:
  void pollList();
  void noteListed(const std::vector<platform::Vm> &Listed);
  void onList(Result<std::vector<platform::Vm>> Read);
  void step(const membership::Event &Happened);
  void act(const membership::Connect &Which);
  void act(const membership::Disconnect &Which);
  void act(const membership::TellLeaving &Which);
  std::vector<platform::Vm> peersToAsk(std::vector<platform::Vm> Peers) const;
  void act(const membership::PeersChanged &Which);
  void act(const membership::RoutingChanged &Which);
  void onConnection(const std::string &Target, uint64_t Generation, bool Up);
  void onReport(const std::string &Target, uint64_t Generation,
                const wire::SyncDown &Report);
  void learnSlices(const std::string &Target, const wire::SyncDown &Report);
  void openSync(TargetLink &Link);
  void publishSoon();
  void publish();
  std::optional<Error> notReady() const;
  wire::SyncUp syncMessage(uint64_t After);
  void push(uint64_t After);
  route::TargetView viewOf(const membership::TargetState &Known);
  std::map<std::string, route::ClassBounds> bounds() const;
  std::chrono::milliseconds jittered(std::chrono::milliseconds Mean);

  struct Linked {
    std::shared_ptr<TargetLink> Link;
    /// Tells callbacks of this link from those of an earlier one.
    uint64_t Generation = 0;
  };

  const Parts m_Parts;
  membership::Membership m_Membership;
  route::InFlightTracker m_Book;
  retry::HealthTracker m_Health;
  PeersObserver m_OnPeers;
  RevisionObserver m_OnRevision;
  std::map<std::string, Linked> m_Links;
  std::map<std::string, LastReport> m_Reports;
  std::set<std::string> m_ListedIds;
  /// Null before the first.
  config::SnapshotPointer m_Configuration;
  std::optional<Error> m_NotReady;
  ByName<idempotency::HomeDirectory> m_Homes;
  std::atomic<std::shared_ptr<const FleetStatus>> m_Status{
      std::make_shared<const FleetStatus>()};
  uint64_t m_Generations = 0;
  bool m_PublishPending = false;
  bool m_Stopped = false;
  std::mt19937_64 m_Random;
};

} // namespace figlift::entry
