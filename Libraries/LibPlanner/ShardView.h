//===- ShardView.h - The planner's interfaces to its entry ------*- C++ -*-===//
//
// The entry implements these interfaces; tests implement them with fakes.
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

/// Unit of planning that one lease covers: a back end in a region.
struct ShardId {
  std::string BackEnd;
  std::string Region;

  auto operator<=>(const ShardId &) const = default;
  std::string toString() const { return BackEnd + "/" + Region; }
};

/// State of a target as a home of slices.
enum class HomeState {
  /// Reachable and accepting work.
  Serving,
  /// Draining or shutting down.
  Draining,
  /// Listed as live but not reachable; it may still be executing calls.
  Unreachable,
  /// Removed from the platform's list, or retired and idle; it has stopped.
  Stopped,
};

struct ShardTarget {
  plan::TargetState Engine;
  HomeState Home = HomeState::Unreachable;
  /// Totals since the agent's start, used to estimate demand.
  uint64_t OfferedPrefillTokens = 0;
  uint64_t OfferedDecodeTokens = 0;
};

/// Tokens of the requests that this entry has rejected since its start, without
/// sending them to an agent.
struct RejectedTotals {
  uint64_t PrefillTokens = 0;
  uint64_t DecodeTokens = 0;
};

class ShardView {
public:
  virtual ~ShardView() = default;
  /// All shards: each configured back end in each region that has targets.
  virtual std::vector<ShardId> shards() const = 0;
  virtual record::BackEnd specification(const ShardId &Shard) const = 0;
  virtual std::vector<ShardTarget> targets(const ShardId &Shard) const = 0;
  virtual RejectedTotals rejectedTotals(const ShardId &Shard) const = 0;
  /// Ids of the region's entries on the platform's list, including this entry.
  virtual std::vector<std::string> entries() const = 0;
  /// Whether the platform's VM list has been read at least once.
  virtual bool listKnown() const = 0;
};

class OrderSender {
public:
  virtual ~OrderSender() = default;
  using Done = std::function<void(Result<wire::OrderReply>)>;
  /// Error PeerUnreachable: no reply was received; the order may have been
  /// executed.
  virtual void send(const std::string &Target, wire::OrderRequest Order,
                    Done OnReply) = 0;
};

/// Callbacks for the events that are recorded for operators.
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

/// Runs a task on the planner's thread; can be called from any thread.
using lease::Post;

} // namespace figlift::planner
