//===- Fleet.h - Connections to the targets ---------------------*- C++ -*-===//
//
// Executes the actions of the membership state machine: polls the platform's VM
// list, maintains the links to agents, pushes the configuration to them and
// publishes the serving state. Members are used on the control thread unless
// documented otherwise.
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

/// Snapshot of the fleet for status pages.
struct FleetStatus {
  std::vector<membership::TargetState> Targets;
  std::vector<platform::Vm> Peers;
};

class Fleet {
public:
  struct Dependencies {
    const settings::EntrySettings &Settings;
    EventLoop &Control;
    wire::Client &Transport;
    timeline::Timeline &Events;
    metrics::Registry &Metrics;
    platform::VmList &List;
    ServingStatePointer &Published;
  };
  /// Called when the endpoints of the other entries change.
  using PeersObserver = std::function<void(std::vector<Endpoint>)>;
  /// Called on any thread with a configuration revision seen in a message.
  using RevisionObserver = std::function<void(uint64_t)>;

  explicit Fleet(Dependencies Services);

  void start(PeersObserver OnPeers, RevisionObserver OnRevision);
  /// Puts a configuration in force and pushes it to the agents.
  void setConfiguration(config::SnapshotPointer Next);
  /// Sets the reason for refusing new requests, or none to accept them.
  void setNotReady(std::optional<Error> Reason);
  /// Adds the homes of a back end's slices that were read from the table.
  void learnHomes(const std::string &BackEnd,
                  const idempotency::GrantTable &Grants);
  /// Connected channels to agents.
  std::vector<std::shared_ptr<wire::Channel>> upChannels() const;
  /// \name Interface of the planner; control thread only.
  /// @{
  struct LastReport {
    wire::SyncDown Message;
    BootTime ArrivedAt;
  };
  const membership::Membership &membership() const { return m_Membership; }
  /// Null until the target's agent has reported on its current connection.
  const LastReport *lastReport(const std::string &Target) const;
  /// Ids of all VMs on the platform's list, in every region.
  const std::set<std::string> &listedIds() const { return m_ListedIds; }
  /// Null until a configuration has been set.
  const config::SnapshotPointer &configuration() const {
    return m_Configuration;
  }
  /// Null when the target is not connected.
  std::shared_ptr<wire::Channel> channelTo(const std::string &Target) const;
  /// Sets the back ends for which this entry connects to every target, not just
  /// to its subset.
  void setPlanned(std::set<std::string> BackEnds);
  /// @}
  /// Drops every link. Requests in flight keep their links open.
  void stop();

  /// Thread-safe.
  std::shared_ptr<const FleetStatus> status() const { return m_Status.load(); }
  retry::HealthTracker &healthBook() { return m_Health; }

private:
  void pollList();
  void recordListedIds(const std::vector<platform::Vm> &Listed);
  void onList(Result<std::vector<platform::Vm>> VmList);
  void step(const membership::Event &Event);
  void perform(const membership::Connect &Action);
  void perform(const membership::Disconnect &Action);
  void perform(const membership::NotifyLeaving &Action);
  std::vector<platform::Vm> selectPeers(std::vector<platform::Vm> Peers) const;
  void perform(const membership::PeersChanged &Action);
  void perform(const membership::RoutingChanged &Action);
  void onConnection(const std::string &Target, uint64_t Generation, bool Up);
  void onReport(const std::string &Target, uint64_t Generation,
                const wire::SyncDown &Report);
  void learnSlices(const std::string &Target, const wire::SyncDown &Report);
  void openSync(TargetLink &Link);
  void schedulePublish();
  void publish();
  std::optional<Error> notReady() const;
  wire::SyncUp syncMessage(uint64_t After);
  void pushConfiguration(uint64_t After);
  route::TargetView targetView(const membership::TargetState &Target);
  std::map<std::string, route::ClassBounds> classBounds() const;
  std::chrono::milliseconds jittered(std::chrono::milliseconds Mean);

  struct LinkEntry {
    std::shared_ptr<TargetLink> Link;
    /// Distinguishes callbacks of this link from those of an earlier one.
    uint64_t Generation = 0;
  };

  const Dependencies m_Dependencies;
  membership::Membership m_Membership;
  route::InFlightTracker m_InFlight;
  retry::HealthTracker m_Health;
  PeersObserver m_OnPeers;
  RevisionObserver m_OnRevision;
  std::map<std::string, LinkEntry> m_Links;
  std::map<std::string, LastReport> m_Reports;
  std::set<std::string> m_ListedIds;
  /// Null until a configuration has been set.
  config::SnapshotPointer m_Configuration;
  std::optional<Error> m_NotReady;
  ByName<idempotency::HomeDirectory> m_Homes;
  std::atomic<std::shared_ptr<const FleetStatus>> m_Status{
      std::make_shared<const FleetStatus>()};
  uint64_t m_LastGeneration = 0;
  bool m_PublishPending = false;
  bool m_Stopped = false;
  std::mt19937_64 m_Random;
};

} // namespace figlift::entry
