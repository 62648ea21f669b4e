//===- ConfigService.h - The configuration of a process ---------*- C++ -*-===//
//
// The shell around ConfigFollower: one thread that feeds it events and time,
// asks the ConfigSource and publishes snapshots.
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

/// Called on the service's thread, in order; must not block for long.
struct ConfigCallbacks {
  /// After the snapshot is in force. Push its diff to peers from here.
  std::function<void(const SnapshotPointer &)> OnSnapshot;
  /// Absent: new work may be taken. Otherwise why it must be refused.
  std::function<void(std::optional<follower::StopReason>)> OnServing;
};

class ConfigService {
public:
  ConfigService(FollowerOptions Options, std::shared_ptr<ConfigSource> Source,
                ConfigCallbacks Callbacks);
  /// Ends the thread; answers of the source that are still out are ignored.
  ~ConfigService();

  /// The request path reads here.
  const SnapshotCell &snapshots() const { return m_Shared->Cell; }
  SnapshotPointer current() const { return m_Shared->Cell.get(); }
  /// 0 before the first snapshot.
  uint64_t revision() const { return m_Shared->Revision; }
  bool serving() const { return m_Shared->Serving; }

  /// Changes that a peer sent unasked (SyncUp).
  void push(Delta Changes);
  /// This process has committed a change. It knows what it wrote, and takes it
  /// from there: read back from the store, a change that was acknowledged right
  /// before an outage was in force nowhere until the store returned.
  void committed(const ChangeOutcome &What);
  /// Of every message from another process; cheap when it is nothing new.
  void sawRevision(uint64_t Revision);

  /// Calls \p Done once: true as soon as \p Revision is in force here, false
  /// after \p Limit. For a message that carries a newer revision than this
  /// process has: it waits here, then is served. Sets a fetch going.
  void whenReached(uint64_t Revision, std::chrono::milliseconds Limit,
                   std::function<void(bool)> Done);

private:
  struct Waiter {
    BootTime Until;
    std::function<void(bool)> Done;
  };
  /// Outlives the service while answers of the source are out.
  struct Shared {
    SnapshotCell Cell;
    std::atomic<uint64_t> Revision = 0;
    std::atomic<bool> Serving = false;
    std::atomic<bool> PeerHeard = false;

    std::mutex Mutex;
    std::condition_variable Changed;
    std::deque<follower::Event> Events;
    std::multimap<uint64_t, Waiter> Waiters;
    bool Stopped = false;

    void post(follower::Event Event);
  };

  void run();
  std::deque<follower::Event> nextEvents();
  void perform(const follower::Action &What);
  void on(const follower::PollHead &);
  void on(const follower::FetchChanges &What);
  void on(const follower::FetchFromPeers &What);
  void on(const follower::Publish &What);
  void on(const follower::ResumeServing &);
  void on(const follower::StopServing &What);
  void releaseWaiters(BootTime Now);

  const std::shared_ptr<Shared> m_Shared;
  const std::shared_ptr<ConfigSource> m_Source;
  const ConfigCallbacks m_Callbacks;
  ConfigFollower m_Follower;
  std::thread m_Thread;
};

} // namespace figlift::config
