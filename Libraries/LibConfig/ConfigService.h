//===- ConfigService.h - Configuration of a process -------------*- C++ -*-===//
//
// Runs a ConfigFollower on one thread: feeds it events and time, performs its
// reads at the ConfigSource and publishes snapshots.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/ConfigFollower.h"
#include "LibConfig/ConfigSource.h"
#include "LibConfig/ConfigWriter.h"
#include "LibConfig/SnapshotCell.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace figlift::config {

/// Called in sequence on the service's thread; must not block for long.
struct ConfigCallbacks {
  /// Called once the snapshot is in force; the diff can be pushed to peers.
  std::function<void(const SnapshotPointer &)> OnSnapshot;
  /// Empty if new work may be accepted, otherwise why it must be rejected.
  std::function<void(std::optional<follower::StopReason>)> OnServing;
};

class ConfigService {
public:
  ConfigService(FollowerOptions Options, std::shared_ptr<ConfigSource> Source,
                ConfigCallbacks Callbacks);
  /// Stops the thread; later responses of the source are ignored.
  ~ConfigService();

  /// For lock-free reads on the request path.
  const SnapshotCell &snapshots() const { return m_Shared->Cell; }
  SnapshotPointer current() const { return m_Shared->Cell.get(); }
  /// 0 before the first snapshot.
  uint64_t revision() const { return m_Shared->Revision; }
  bool serving() const { return m_Shared->Serving; }

  /// Applies changes that a peer pushed (SyncUp).
  void push(Delta Changes);
  /// Applies a change that this process has committed, without reading it back.
  /// If it were read back, a change acknowledged right before an outage of the
  /// store would not be in force anywhere until the store is available again.
  void onCommitted(const ChangeOutcome &Outcome);
  /// Called for the revision in every message from another process; cheap if it
  /// is not newer.
  void observeRevision(uint64_t Revision);

  /// Calls \p Done once: with true as soon as \p Revision is in force here, or
  /// with false after \p Timeout. Used to delay a message that carries a newer
  /// revision than this process has. Triggers a fetch.
  void whenReached(uint64_t Revision, std::chrono::milliseconds Timeout,
                   std::function<void(bool)> Done);

private:
  struct Waiter {
    BootTime Deadline;
    std::function<void(bool)> Done;
  };
  /// Outlives the service while responses of the source are pending.
  struct Shared {
    SnapshotCell Cell;
    std::atomic<uint64_t> Revision = 0;
    std::atomic<bool> Serving = false;
    std::atomic<bool> PeerAlive = false;

    std::mutex Mutex;
    std::condition_variable Changed;
    std::deque<follower::Event> Events;
    std::multimap<uint64_t, Waiter> Waiters;
    bool Stopped = false;

    void post(follower::Event Event);
  };

  void run();
  std::deque<follower::Event> takeEvents();
  void perform(const follower::Action &Action);
  void on(const follower::PollHead &);
  void on(const follower::FetchChanges &Action);
  void on(const follower::FetchFromPeers &Action);
  void on(const follower::Publish &Action);
  void on(const follower::ResumeServing &);
  void on(const follower::StopServing &Action);
  void completeWaiters(BootTime Now);

  const std::shared_ptr<Shared> m_Shared;
  const std::shared_ptr<ConfigSource> m_Source;
  const ConfigCallbacks m_Callbacks;
  ConfigFollower m_Follower;
  std::thread m_Thread;
};

} // namespace figlift::config
