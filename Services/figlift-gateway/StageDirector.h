//===- StageDirector.h - Assigns stages to engines --------------*- C++ -*-===//
//
// Carries out the changes that StagePlanner wants, under a lease in the store:
// while one gateway holds the lease, no other gives orders, and a successor
// waits until none of the holder's orders can still be in transit. The lease is
// acquired only when there is an order to give, so an idle fleet causes no load
// at the store.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibDispatch/StagePlanner.h"
#include "LibLease/LeaseKeeper.h"

#include <map>
#include <memory>
#include <string>

namespace figlift::gateway {

class StageDirector {
public:
  StageDirector(Context &Shared, platform::Table &Leases);

  /// Called periodically, several times a second.
  void tick(BootTime Now);
  /// The store was restored from a copy and is in \p Era now.
  void storeRestored(uint64_t Era);

private:
  /// State of one engine service.
  struct ServiceState {
    explicit ServiceState(bool FleetStarts) : Planner(FleetStarts) {}
    dispatch::StagePlanner Planner;
    dispatch::PeakDemand Demand;
    dispatch::EngineSpeedEstimator Speeds;
    std::shared_ptr<lease::LeaseKeeper> Lease;
    /// Since when the planner has proposed a change without interruption; empty
    /// while it proposes none.
    std::optional<BootTime> WantedSince;
    BootTime NextPlan{};
  };

  ServiceState &stateOf(const std::string &Service);
  void updateSwitching(BootTime Now);
  void updateService(const dispatch::Service &Service, BootTime Now);
  dispatch::EngineDemand fleetDemand(const std::string &Service,
                                     BootTime Now) const;
  void startChange(const std::string &Service,
                   const dispatch::StageChange &Change, BootTime Now);
  void reportReceived(const std::string &Service,
                      const dispatch::StageChange &Change, unsigned Status,
                      const std::string &Body);
  void sendOrder(const std::string &Service,
                 const dispatch::StageChange &Change, uint64_t AcceptedBefore);
  void replyReceived(const std::string &Service,
                     const dispatch::StageChange &Change, unsigned Status);

  Context &m_Shared;
  platform::Table &m_Leases;
  std::map<std::string, ServiceState> m_Services;
};

} // namespace figlift::gateway
