//===- LeaseKeeper.h - Holds a lease on a row of the table ------*- C++ -*-===//
//
// Carries out the actions of a LeaseMachine on one row of the table.
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

/// Runs a function on the thread that owns the LeaseKeeper.
using Post = std::function<void(std::function<void()>)>;

/// Used on one thread only. Answers of the table that arrive after its
/// destruction are dropped.
class LeaseKeeper : public std::enable_shared_from_this<LeaseKeeper> {
public:
  struct Observer {
    std::function<void(uint64_t Epoch)> Gained;
    std::function<void(uint64_t Epoch)> Lost;
  };

  /// \p Key is the key of the row.
  LeaseKeeper(platform::Table &Store, Post Run, std::string Key,
              LeaseOptions Options, Observer Notify);

  void tick();
  /// The store was restored from a copy: authority ends and has to be acquired
  /// again.
  void storeRestored(uint64_t Era) { step(StoreRestored{Era}); }
  /// Releases the lease, so that a successor need not wait for its expiry.
  void stop();
  bool stopped() const { return m_Machine.stopped(); }
  /// The epoch for orders that are sent now; empty without authority.
  std::optional<uint64_t> epoch() const;

private:
  void step(const Event &Input);
  void act(const ReadRow &);
  void act(const CommitRow &Commit);
  void act(const BecomeHolder &Action);
  void act(const LoseAuthority &Action);
  void act(const Released &) {}
  void rowRead(const Result<platform::Row> &Row);
  void committed(const Result<std::monostate> &Outcome);

  platform::Table &m_Store;
  Post m_Run;
  const std::string m_Key;
  LeaseMachine m_Machine;
  Observer m_Observer;
};

} // namespace figlift::lease
