//===- ShardView.h - What a planner sees and may do -------------*- C++ -*-===//
//
// Interfaces between the planner and the entry that it lives in. Tests put
// mocks behind them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibLease/LeaseKeeper.h"
#include "LibPlan/PlanTypes.h"
#include "LibWire/Messages.pb.h"

#include <compare>
#include <functional>
#include <string>
#include <vector>

namespace figlift::planner {

/// What one lease covers.
struct ShardId {
  std::string BackEnd;
  std::string Region;

  auto operator<=>(const ShardId &) const = default;
  std::string toString() const { return BackEnd + "/" + Region; }
};

/// Where a target stands as far as its slices matter.
enum class HomeState {
  /// Reachable and taking work.
  Serving,
  /// Draining, or on its way out.
  Leaving,
  /// Listed as live and not reachable: it may still run calls.
  CutOff,
  /// Off the platform's list, or retired and idle: it has stopped.
  Gone,
};

struct ShardTarget {
  plan::TargetState Engine;
  HomeState Home = HomeState::CutOff;
  /// Totals since the agent's start, for the estimate of demand.
  uint64_t OfferedPrefillTokens = 0;
  uint64_t OfferedDecodeTokens = 0;
};

/// Totals since this entry's start of what it refused before any agent saw it.
struct RefusedTotals {
  uint64_t PrefillTokens = 0;
  uint64_t DecodeTokens = 0;
};

class ShardView {
public:
  virtual ~ShardView() = default;
  /// Shards of all back ends in force and the regions that have targets.
  virtual std::vector<ShardId> shards() const = 0;
  virtual record::BackEnd specification(const ShardId &Shard) const = 0;
  virtual std::vector<ShardTarget> targets(const ShardId &Shard) const = 0;
  virtual RefusedTotals refusedHere(const ShardId &Shard) const = 0;
  /// Ids of the region's entries on the platform's list, this one included.
  virtual std::vector<std::string> entries() const = 0;
  /// The list of machines has been read at least once.
  virtual bool listKnown() const = 0;
};

class OrderSender {
public:
  virtual ~OrderSender() = default;
  using Done = std::function<void(Result<wire::OrderReply>)>;
  /// Error PeerUnreachable: no answer came; the order may be carried out.
  virtual void send(const std::string &Target, wire::OrderRequest Order,
                    Done Answered) = 0;
};

/// Told of everything that an operator may want to see explained.
struct PlannerObserver {
  std::function<void(const ShardId &, uint64_t Epoch)> LeaseGained;
  std::function<void(const ShardId &, uint64_t Epoch)> LeaseLost;
  std::function<void(const ShardId &, const plan::TargetOrder &,
                     const std::string &OrderId)>
      OrderGiven;
  std::function<void(const ShardId &, const std::string &Target, ResultCode)>
      OrderEnded;
  std::function<void(const ShardId &, size_t Slices)> SlicesGranted;
};

/// Runs a task on the planner's thread; may be called from any thread.
using lease::Post;

} // namespace figlift::planner
