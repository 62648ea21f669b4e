//===- StageDirector.h - Gives engines their stages -------------*- C++ -*-===//
//
// Carries out what the StagePlanner wants, under a lease in the store: while
// one gateway holds it, no other gives orders, and a successor waits until
// none of the holder's orders can still be on its way. The lease is taken only
// when there is something to order, so an idle fleet costs the store nothing.
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

  /// Called regularly, several times a second.
  void tick(BootTime Now);
  /// The store came back from a copy, in \p Era.
  void storeCameBack(uint64_t Era);

private:
  /// One service of engines.
  struct Shard {
    explicit Shard(bool FleetStarts) : Planner(FleetStarts) {}
    dispatch::StagePlanner Planner;
    dispatch::PeakDemand Demand;
    std::shared_ptr<lease::LeaseKeeper> Lease;
    /// Since when a change has been wanted; unset while there is none.
    std::optional<BootTime> WantedSince;
  };

  Shard &shardOf(const std::string &Service);
  void tickService(const dispatch::Service &Which, BootTime Now);
  dispatch::EngineDemand demandOn(const std::string &Service,
                                  BootTime Now) const;
  void begin(const std::string &Service, const dispatch::StageChange &What,
             BootTime Now);
  void reported(const std::string &Service, const dispatch::StageChange &What,
                unsigned Status, const std::string &Body);
  void order(const std::string &Service, const dispatch::StageChange &What,
             uint64_t AcceptedBefore);
  void replied(const std::string &Service, const dispatch::StageChange &What,
               unsigned Status);

  Context &m_Shared;
  platform::Table &m_Leases;
  std::map<std::string, Shard> m_Shards;
};

} // namespace figlift::gateway
