//===- Configuration.h - Keeps the configuration up to date -----*- C++ -*-===//
//
// Shell of the configuration follower: takes what entries push, and asks
// entries when a message shows that this agent is behind. Work that was sent
// under a newer revision waits for it, for a short time. Loop thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Fleet.h"
#include "PeerClient.h"
#include "Replies.h"

#include "LibConfig/ConfigFollower.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace figlift::agent {

class Configuration {
public:
  struct Parts {
    Replies &Back;
    PeerClient &Client;
    Fleet &Peers;
  };
  struct Observers {
    /// A newer revision is in force.
    std::function<void()> Changed;
    /// New work may be taken, or must be refused.
    std::function<void(bool)> Serving;
  };

  Configuration(Context Shared, Parts Of, Observers Told);

  void onSync(const wire::SyncUp &Message);
  void onConfiguration(StreamId Stream,
                       const wire::ConfigurationRequest &Request);
  /// Calls \p Then with true as soon as \p Revision is in force, at once when
  /// it is already, and with false when it could not be had in time.
  void require(uint64_t Revision, std::function<void(bool)> Then);
  /// An entry is connected, which is a sign of life.
  void peerHeard() { step(config::follower::PeerAlive{}); }
  void tick();

  const config::SnapshotPointer &inForce() const {
    return m_Follower.snapshot();
  }
  uint64_t revision() const { return m_Follower.revision(); }
  /// Targets that operators drain or retire.
  std::set<std::string> leavingTargets() const;

private:
  struct Waiting {
    uint64_t Revision;
    std::function<void(bool)> Then;
    BootTime Until;
  };
  /// Answers of the entries that were asked together.
  struct Round {
    size_t Missing = 0;
    std::optional<config::Delta> Newest;
  };

  void step(const config::follower::Event &What);
  void act(const config::follower::Publish &What);
  void act(const config::follower::FetchFromPeers &What);
  void act(const config::follower::ResumeServing &);
  void act(const config::follower::StopServing &What);
  /// The table is the entries' to ask.
  void act(const config::follower::PollHead &);
  void act(const config::follower::FetchChanges &);
  void answered(const std::shared_ptr<Round> &Of, uint64_t After,
                const Result<std::string> &Answer);
  void endWaits();

  Context m_Shared;
  Parts m_Parts;
  Observers m_Told;
  config::ConfigFollower m_Follower;
  std::vector<Waiting> m_Waiting;
  /// Entry that is asked next, so that a dead one is asked but once in a while.
  size_t m_NextEntry = 0;
};

} // namespace figlift::agent
