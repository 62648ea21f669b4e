//===- LeaseKeeper.h - The lease of one shard, kept in the table *- C++ -*-===//
//
// Carries out the actions of a LeaseMachine on the row lease/<shard>.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibLease/LeaseMachine.h"
#include "LibPlanner/ShardView.h"
#include "LibPlatform/Platform.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figlift::planner {

/// Lives on the planner's thread; answers of the table that come after its end
/// are dropped.
class LeaseKeeper : public std::enable_shared_from_this<LeaseKeeper> {
public:
  struct Observer {
    std::function<void(uint64_t Epoch)> Gained;
    std::function<void(uint64_t Epoch)> Lost;
  };

  LeaseKeeper(platform::Table &Store, Post Run, const ShardId &Shard,
              lease::LeaseOptions Options, Observer Told);

  void tick();
  /// Gives the lease back, so that a successor need not wait for its end.
  void stop();
  bool stopped() const { return m_Machine.stopped(); }
  /// The epoch for orders that are sent right now; empty without authority.
  std::optional<uint64_t> epoch() const;

private:
  void step(const lease::Event &What);
  void act(const lease::ReadRow &);
  void act(const lease::CommitRow &What);
  void act(const lease::BecomeHolder &What);
  void act(const lease::LoseAuthority &What);
  void act(const lease::Released &) {}
  void rowRead(const Result<platform::Row> &Read);
  void committed(const Result<std::monostate> &Done);

  platform::Table &m_Store;
  Post m_Run;
  const std::string m_Key;
  lease::LeaseMachine m_Machine;
  Observer m_Told;
};

} // namespace figlift::planner
