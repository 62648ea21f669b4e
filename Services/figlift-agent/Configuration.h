//===- Configuration.h - Keeps the configuration up to date -----*- C++ -*-===//
//
// Executes the actions of the configuration follower: applies what entries push
// and queries entries when a message shows that this agent is behind. Requests
// that were sent under a newer revision wait for it for a short time. Event
// loop's thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Fleet.h"
#include "PeerClient.h"
#include "StreamWriter.h"

#include "LibConfig/ConfigFollower.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace figlift::agent {

class Configuration {
public:
  struct Dependencies {
    StreamWriter &Writer;
    PeerClient &Client;
    Fleet &Peers;
  };
  struct Observers {
    /// Called after a newer revision came into force.
    std::function<void()> Changed;
    /// Called with whether the configuration permits new work.
    std::function<void(bool)> Serving;
  };

  Configuration(Context Shared, Dependencies Services, Observers Callbacks);

  void onSync(const wire::SyncUp &Message);
  void onConfiguration(StreamId Stream,
                       const wire::ConfigurationRequest &Request);
  /// Calls \p Done with true as soon as \p Revision is in force, or with false
  /// on timeout. Calls it immediately if the revision is in force already.
  void awaitRevision(uint64_t Revision, std::function<void(bool)> Done);
  /// Records that an entry is connected, which shows that it is alive.
  void peerHeard() { step(config::follower::PeerAlive{}); }
  void tick();

  const config::SnapshotPointer &inForce() const {
    return m_Follower.snapshot();
  }
  uint64_t revision() const { return m_Follower.revision(); }
  /// Targets whose record says drain or retire.
  std::set<std::string> leavingTargets() const;

private:
  struct PendingRequest {
    uint64_t Revision;
    std::function<void(bool)> Done;
    BootTime Deadline;
  };
  /// State of the queries that were sent to several entries together.
  struct QueryRound {
    size_t Unanswered = 0;
    std::optional<config::Delta> Newest;
  };

  void step(const config::follower::Event &Event);
  void perform(const config::follower::Publish &Action);
  void perform(const config::follower::FetchFromPeers &Action);
  void perform(const config::follower::ResumeServing &);
  void perform(const config::follower::StopServing &Action);
  /// Agents do not read the table; this action and FetchChanges report a
  /// failure to the follower.
  void perform(const config::follower::PollHead &);
  void perform(const config::follower::FetchChanges &);
  void answered(const std::shared_ptr<QueryRound> &Round, uint64_t After,
                const Result<std::string> &Answer);
  void completePending();

  Context m_Shared;
  Dependencies m_Dependencies;
  Observers m_Observers;
  config::ConfigFollower m_Follower;
  std::vector<PendingRequest> m_Pending;
  /// Index of the first entry of the next query. It advances after failures, so
  /// that an unreachable entry is not queried every time.
  size_t m_NextEntry = 0;
};

} // namespace figlift::agent
