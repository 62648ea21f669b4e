//===- LeaseKeeper.h - A lease that is a row of the table -------*- C++ -*-===//
//
// Carries out the actions of a LeaseMachine on one row.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibLease/LeaseMachine.h"
#include "LibPlatform/Platform.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figlift::lease {

/// Runs a function on the thread that owns the keeper.
using Post = std::function<void(std::function<void()>)>;

/// Lives on one thread; answers of the table that come after its end
/// are dropped.
class LeaseKeeper : public std::enable_shared_from_this<LeaseKeeper> {
public:
  struct Observer {
    std::function<void(uint64_t Epoch)> Gained;
    std::function<void(uint64_t Epoch)> Lost;
  };

  /// \p Key names the row.
  LeaseKeeper(platform::Table &Store, Post Run, std::string Key,
              LeaseOptions Options, Observer Told);

  void tick();
  /// The store came back from a copy: authority ends, and is taken anew.
  void storeCameBack(uint64_t Era) { step(StoreCameBack{Era}); }
  /// Gives the lease back, so that a successor need not wait for its end.
  void stop();
  bool stopped() const { return m_Machine.stopped(); }
  /// The epoch for orders that are sent right now; empty without authority.
  std::optional<uint64_t> epoch() const;

private:
  void step(const Event &What);
  void act(const ReadRow &);
  void act(const CommitRow &What);
  void act(const BecomeHolder &What);
  void act(const LoseAuthority &What);
  void act(const Released &) {}
  void rowRead(const Result<platform::Row> &Read);
  void committed(const Result<std::monostate> &Done);

  platform::Table &m_Store;
  Post m_Run;
  const std::string m_Key;
  LeaseMachine m_Machine;
  Observer m_Told;
};

} // namespace figlift::lease
