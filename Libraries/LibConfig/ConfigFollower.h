//===- ConfigFollower.h - Follows the configuration -------------*- C++ -*-===//
//
// State machine by which a process follows the configuration. It polls the head
// revision or receives pushed changes, fetches missing changes from the table
// or from a peer, publishes snapshots, and decides when this process must stop
// accepting work because its configuration may be stale.
//
// Invariants: published revisions strictly increase; a delta whose base is
// above the current revision is never applied.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Snapshot.h"
#include "LibCore/Clock.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace figlift::config {

struct FollowerOptions {
  /// Entries poll the table. Agents do not; they receive pushed changes and
  /// fetch from peers.
  bool PollsStore = true;
  std::chrono::milliseconds PollInterval{500};
  /// Minimum time between fetches while changes are still missing.
  std::chrono::milliseconds RetryInterval{100};
  /// New work is rejected if a known newer revision is still missing after this
  /// time.
  std::chrono::milliseconds BehindBound{250};
  /// New work is rejected if neither the table nor any peer has responded for
  /// this time. During an outage of the table alone, peers still respond and
  /// work continues.
  std::chrono::milliseconds IsolationBound{5000};
};

namespace follower {

struct Tick {};
/// The head row has this revision.
struct HeadPolled {
  uint64_t Revision = 0;
};
/// A poll of the table or a fetch from it failed.
struct StoreFailed {};
/// Result of FetchChanges, from the table.
struct ChangesFetched {
  Delta Changes;
};
/// Result of FetchFromPeers, from the peer with the newest revision.
struct PeersFetched {
  Delta Changes;
};
/// FetchFromPeers got no response from any peer.
struct PeersFailed {};
/// A peer pushed changes.
struct ChangesPushed {
  Delta Changes;
};
/// A message from a peer carried this revision.
struct RevisionSeen {
  uint64_t Revision = 0;
};
/// Any message from a peer arrived.
struct PeerAlive {};
using Event =
    std::variant<Tick, HeadPolled, StoreFailed, ChangesFetched, PeersFetched,
                 PeersFailed, ChangesPushed, RevisionSeen, PeerAlive>;

/// Followed by HeadPolled or StoreFailed.
struct PollHead {};
/// Followed by ChangesFetched or StoreFailed. After 0: the whole configuration.
struct FetchChanges {
  uint64_t After = 0;
};
/// Followed by PeersFetched or PeersFailed. AskAll: this process has no
/// configuration yet and needs the newest revision of all peers, not that of
/// the first peer that responds.
struct FetchFromPeers {
  uint64_t After = 0;
  bool AskAll = false;
};
struct Publish {
  SnapshotPointer Next;
};
struct ResumeServing {};
enum class StopReason { NoConfiguration, Behind, Isolated };
struct StopServing {
  StopReason Reason = StopReason::NoConfiguration;
};
using Action = std::variant<PollHead, FetchChanges, FetchFromPeers, Publish,
                            ResumeServing, StopServing>;

} // namespace follower

std::string_view stopReasonName(follower::StopReason Reason);

class ConfigFollower {
public:
  explicit ConfigFollower(FollowerOptions Options = {});

  /// A new process does not serve until the first ResumeServing.
  std::vector<follower::Action> step(const follower::Event &Event,
                                     BootTime Now);

  /// Null before the first snapshot.
  const SnapshotPointer &snapshot() const { return m_Snapshot; }
  uint64_t revision() const { return m_Snapshot ? m_Snapshot->revision() : 0; }
  bool serving() const { return !m_StopReason; }

private:
  using Actions = std::vector<follower::Action>;

  void on(const follower::Tick &, BootTime Now, Actions &Out);
  void on(const follower::HeadPolled &Event, BootTime Now, Actions &Out);
  void on(const follower::StoreFailed &, BootTime Now, Actions &Out);
  void on(const follower::ChangesFetched &Event, BootTime Now, Actions &Out);
  void on(const follower::PeersFetched &Event, BootTime Now, Actions &Out);
  void on(const follower::PeersFailed &, BootTime Now, Actions &Out);
  void on(const follower::ChangesPushed &Event, BootTime Now, Actions &Out);
  void on(const follower::RevisionSeen &Event, BootTime Now, Actions &Out);
  void on(const follower::PeerAlive &, BootTime Now, Actions &Out);

  void apply(const Delta &Changes, Actions &Out);
  void recordRevision(uint64_t Revision, BootTime Now);
  void fetchMissingChanges(BootTime Now, Actions &Out);
  void fetchFromPeers(BootTime Now, Actions &Out);
  void updateServing(BootTime Now, Actions &Out);
  bool isMissingChanges() const {
    return !m_Snapshot || m_HighestKnown > revision();
  }

  const FollowerOptions m_Options;
  SnapshotPointer m_Snapshot;
  /// Highest revision known to exist, and since when it is known.
  uint64_t m_HighestKnown = 0;
  BootTime m_HighestKnownSince{};
  /// When this process detected that it is behind; empty if it is not.
  std::optional<BootTime> m_BehindSince;
  /// At most one call of each kind is pending.
  bool m_PollPending = false;
  bool m_StoreFetchPending = false;
  bool m_PeerFetchPending = false;
  BootTime m_PollStarted{};
  BootTime m_NextPoll{};
  BootTime m_NextFetch{};
  bool m_StoreDown = false;
  std::optional<BootTime> m_LastContact;
  std::optional<follower::StopReason> m_StopReason =
      follower::StopReason::NoConfiguration;
};

} // namespace figlift::config
