//===- ShardPlanner.h - Planner of one shard --------------------*- C++ -*-===//
//
// Competes for the lease of a shard. While it holds the lease, it plans roles
// and models, sends the orders and grants slices.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Ids.h"
#include "LibLease/LeaseKeeper.h"
#include "LibPlan/DemandEstimator.h"
#include "LibPlan/Planner.h"
#include "LibPlanner/SliceAssigner.h"

#include <map>
#include <memory>
#include <optional>

namespace figlift::planner {

struct ShardPlannerDependencies {
  platform::Table &Store;
  const ShardView &View;
  OrderSender &Orders;
  UuidGenerator &Ids;
  Post Run;
  PlannerObserver Observer;
  lease::LeaseOptions Lease;
  plan::PlannerSettings Planning;
};

/// Must be used on the planner's thread only.
class ShardPlanner : public std::enable_shared_from_this<ShardPlanner> {
public:
  static std::shared_ptr<ShardPlanner>
  create(ShardId Shard, ShardPlannerDependencies Dependencies);

  /// Must be called several times a second.
  void tick();
  void stop() { m_Lease->stop(); }
  bool stopped() const { return m_Lease->stopped(); }
  bool holdsLease() const { return m_Lease->epoch().has_value(); }

private:
  struct PendingOrder {
    wire::OrderRequest Order;
    /// A reply is pending; otherwise the order is retried at NextSend.
    bool AwaitsReply = false;
    BootTime NextSend{};
  };

  ShardPlanner(ShardId Shard, ShardPlannerDependencies Dependencies);

  void leaseGained(uint64_t Epoch);
  void leaseLost(uint64_t Epoch);
  void planOnce(BootTime Now);
  void observeRejections(BootTime Now);
  void issue(const plan::TargetOrder &Order);
  void sendPending(BootTime Now);
  void replyReceived(const std::string &Target, const std::string &OrderId,
                     const Result<wire::OrderReply> &Reply);
  void orderEnded(const std::string &Target, const plan::OrderEnded &Outcome);

  const ShardId m_Shard;
  ShardPlannerDependencies m_Dependencies;
  std::shared_ptr<lease::LeaseKeeper> m_Lease;
  std::shared_ptr<SliceAssigner> m_SliceAssigner;
  /// Created anew each time the lease is gained; absent without the lease.
  std::optional<plan::Planner> m_Planner;
  plan::DemandEstimator m_Demand;
  /// Totals of this entry at the last observation.
  RejectedTotals m_LastRejectedHere;
  /// Estimated totals of all entries of the region.
  RejectedTotals m_EstimatedRejected;
  /// Orders whose outcome is not known yet, by target.
  std::map<std::string, PendingOrder> m_Pending;
  BootTime m_NextPlan{};
  BootTime m_NextSlices{};
};

} // namespace figlift::planner
