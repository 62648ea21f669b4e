//===- ConfigFollower.h - Keeping up with the configuration -----*- C++ -*-===//
//
// The state machine by which a process follows the configuration: it polls the
// head revision or is pushed changes, fetches what it lacks from the table or
// from a peer, publishes snapshots, and says when this process must take no
// new work because its configuration may be out of date.
//
// Invariants: published revisions only grow; a delta that begins after the
// current revision is never applied.
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
  /// Entries poll the table; agents live on pushes and fetches from peers.
  bool PollsStore = true;
  std::chrono::milliseconds PollInterval{500};
  /// Between two fetches that did not bring what is missing.
  std::chrono::milliseconds RetryInterval{100};
  /// New work stops when a known newer revision is still missing after this.
  std::chrono::milliseconds BehindBound{250};
  /// New work stops when for this long neither the table nor any peer was
  /// heard. A mere outage of the table leaves the peers, so work goes on.
  std::chrono::milliseconds IsolationBound{5000};
};

namespace follower {

struct Tick {};
struct PolledHead {
  uint64_t Revision = 0;
};
/// A poll or a fetch from the table failed.
struct StoreFailed {};
/// From the table, the answer to FetchChanges.
struct ChangesFetched {
  Delta Changes;
};
/// From the peer with the newest revision, the answer to FetchFromPeers.
struct PeersFetched {
  Delta Changes;
};
/// No peer answered FetchFromPeers.
struct PeersFailed {};
/// A peer sent changes unasked.
struct PushedByPeer {
  Delta Changes;
};
/// A message of a peer carried this revision.
struct SeenRevision {
  uint64_t Revision = 0;
};
/// Any sign of life of a peer.
struct PeerHeard {};
using Event =
    std::variant<Tick, PolledHead, StoreFailed, ChangesFetched, PeersFetched,
                 PeersFailed, PushedByPeer, SeenRevision, PeerHeard>;

/// Answered by PolledHead or StoreFailed.
struct PollHead {};
/// Answered by ChangesFetched or StoreFailed. After 0: everything.
struct FetchChanges {
  uint64_t After = 0;
};
/// Answered by PeersFetched or PeersFailed. AskAll: this process has nothing
/// yet and wants the newest that any peer has, not that of the first.
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

  /// A new process serves only after the first ResumeServing.
  std::vector<follower::Action> step(const follower::Event &Event,
                                     BootTime Now);

  /// Null before the first.
  const SnapshotPointer &snapshot() const { return m_Snapshot; }
  uint64_t revision() const { return m_Snapshot ? m_Snapshot->revision() : 0; }
  bool serving() const { return !m_Stopped; }

private:
  using Actions = std::vector<follower::Action>;

  void on(const follower::Tick &, BootTime Now, Actions &Out);
  void on(const follower::PolledHead &Event, BootTime Now, Actions &Out);
  void on(const follower::StoreFailed &, BootTime Now, Actions &Out);
  void on(const follower::ChangesFetched &Event, BootTime Now, Actions &Out);
  void on(const follower::PeersFetched &Event, BootTime Now, Actions &Out);
  void on(const follower::PeersFailed &, BootTime Now, Actions &Out);
  void on(const follower::PushedByPeer &Event, BootTime Now, Actions &Out);
  void on(const follower::SeenRevision &Event, BootTime Now, Actions &Out);
  void on(const follower::PeerHeard &, BootTime Now, Actions &Out);

  void apply(const Delta &Changes, Actions &Out);
  void learn(uint64_t Revision, BootTime Now);
  void fetchWhatIsMissing(BootTime Now, Actions &Out);
  void fetchFromPeers(BootTime Now, Actions &Out);
  void judgeServing(BootTime Now, Actions &Out);
  bool missing() const { return !m_Snapshot || m_Known > revision(); }

  const FollowerOptions m_Options;
  SnapshotPointer m_Snapshot;
  /// Highest revision heard of, and since when.
  uint64_t m_Known = 0;
  BootTime m_KnownSince{};
  /// When this process noticed that it is behind; reset when it is not.
  std::optional<BootTime> m_BehindSince;
  /// At most one question of each kind is open.
  bool m_PollOpen = false;
  bool m_StoreFetchOpen = false;
  bool m_PeerFetchOpen = false;
  BootTime m_PollStarted{};
  BootTime m_NextPoll{};
  BootTime m_NextFetch{};
  bool m_StoreDown = false;
  std::optional<BootTime> m_LastContact;
  std::optional<follower::StopReason> m_Stopped =
      follower::StopReason::NoConfiguration;
};

} // namespace figlift::config
