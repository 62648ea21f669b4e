//===- ShardPlanner.h - Plans for one shard ---------------------*- C++ -*-===//
//
// Holds the lease of a shard when it can get it, and while it does: plans
// roles and models, gives the orders and grants slices.
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

struct ShardParts {
  platform::Table &Store;
  const ShardView &View;
  OrderSender &Orders;
  UuidGenerator &Ids;
  Post Run;
  PlannerObserver Told;
  lease::LeaseOptions Lease;
  plan::PlannerSettings Planning;
};

/// Lives on the planner's thread.
class ShardPlanner : public std::enable_shared_from_this<ShardPlanner> {
public:
  static std::shared_ptr<ShardPlanner> create(ShardId Shard, ShardParts Parts);

  /// A few times a second.
  void tick();
  void stop() { m_Lease->stop(); }
  bool stopped() const { return m_Lease->stopped(); }
  bool holds() const { return m_Lease->epoch().has_value(); }

private:
  struct Pending {
    wire::OrderRequest Order;
    /// An answer is awaited; otherwise the order is sent again when due.
    bool Asked = false;
    BootTime NextTry{};
  };

  ShardPlanner(ShardId Shard, ShardParts Parts);

  void gained(uint64_t Epoch);
  void lost(uint64_t Epoch);
  void planOnce(BootTime Now);
  void observeRefused(BootTime Now);
  void give(const plan::TargetOrder &Order);
  void sendPending(BootTime Now);
  void answered(const std::string &Target, const std::string &OrderId,
                const Result<wire::OrderReply> &Reply);
  void ended(const std::string &Target, const plan::OrderEnded &How);

  const ShardId m_Shard;
  ShardParts m_Parts;
  std::shared_ptr<lease::LeaseKeeper> m_Lease;
  std::shared_ptr<SliceAssigner> m_Slices;
  /// Fresh with each tenure; absent without the lease.
  std::optional<plan::Planner> m_Planner;
  plan::DemandEstimator m_Demand;
  /// Of this entry, as seen last, and the estimate for all entries.
  RefusedTotals m_RefusedHere;
  RefusedTotals m_RefusedByAll;
  /// Orders without an end, by target.
  std::map<std::string, Pending> m_Pending;
  BootTime m_NextPlan{};
  BootTime m_NextSlices{};
};

} // namespace figlift::planner
