//===- SliceKeeper.h - Slices that this home holds --------------*- C++ -*-===//
//
// Moves slices: learns grants from the table, hands slices over to the homes
// that should have them and writes their grants. Loop thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Fleet.h"
#include "PeerClient.h"
#include "Replies.h"
#include "ServiceCalls.h"

#include "LibIdempotency/SliceMap.h"
#include "LibPlatform/Platform.h"

#include <functional>
#include <map>
#include <set>

namespace figlift::agent {

class SliceKeeper {
public:
  struct Parts {
    platform::Table &Store;
    Fleet &Peers;
    PeerClient &Client;
    Replies &Back;
    /// Set once, before any other member is called.
    ServiceCalls *Calls = nullptr;
  };

  /// \p BoundAt: wall time at which the agent's port was already bound.
  SliceKeeper(Context Shared, Parts Of, WallTime BoundAt);
  void setCalls(ServiceCalls &Calls) { m_Parts.Calls = &Calls; }

  void start();
  /// Whether slices of other homes are taken.
  void setTaking(bool Taking) { m_Taking = Taking; }
  /// An entry believes that this home holds the key's slice under \p Epoch.
  /// Calls \p Then at once, or after the row was read when that is news.
  void hint(std::string_view Key, uint64_t Epoch, std::function<void()> Then);
  void onHandover(StreamId Stream, const wire::HandoverRequest &Message);
  /// SendClaims, AcknowledgeClaims, CommitGrant, AnnounceGrant.
  void carryOut(const idempotency::Action &What);
  /// Hands slices to the homes that rendezvous hashing prefers. While this
  /// target leaves, it is no home itself.
  void rebalance(bool Leaving, const std::set<std::string> &Excluded);
  std::vector<wire::SliceGrant> held() const;
  /// Handovers that have not ended.
  size_t moving() const { return m_Moving.size(); }
  bool grantsKnown() const { return m_Known; }

private:
  void act(const idempotency::SendClaims &What);
  void act(const idempotency::AcknowledgeClaims &What);
  void act(const idempotency::CommitGrant &What);
  void act(const idempotency::AnnounceGrant &What);
  template <typename Other> void act(const Other &) {}

  void read();
  void readAfter(std::chrono::milliseconds Delay);
  void rowRead(const Result<platform::Row> &Read);
  void learn(const platform::Row &Read);
  void learnLine(idempotency::SliceId Slice, const idempotency::Grant &Line);
  idempotency::GrantReason reasonFor(idempotency::SliceId Slice,
                                     const idempotency::Grant &Line) const;
  std::string chooseSuccessor(idempotency::SliceId Slice,
                              std::vector<std::string> Homes, bool Leaving);
  bool reachable(const std::string &Home);
  bool refusedLately(const std::string &Home) const;
  bool givenUp(const std::string &Home) const;
  void refused(idempotency::SliceId Slice, const std::string &Home);
  ResultCode takeClaims(const wire::HandoverRequest &Message);
  void writePending();
  void settlePending();
  void ended(idempotency::SliceId Slice, const idempotency::Event &How);

  Context m_Shared;
  Parts m_Parts;
  const WallTime m_BoundAt;
  /// The row as read last.
  idempotency::GrantTable m_Lines{};
  uint64_t m_RowVersion = 0;
  bool m_Known = false;
  bool m_Reading = false;
  /// A timer for the next read runs.
  bool m_ReadDue = false;
  bool m_Writing = false;
  /// Grants to be written; each is on top of the line it names.
  std::map<idempotency::SliceId, idempotency::CommitGrant> m_Pending;
  /// Slices that the first row names this target for; not served before the
  /// row shows another grant than that one.
  std::set<idempotency::SliceId> m_Renewals;
  /// Slices between HandoverRequested and its end.
  std::set<idempotency::SliceId> m_Moving;
  /// Epoch of the claims that a predecessor gave us.
  std::map<idempotency::SliceId, uint64_t> m_ClaimsOf;
  /// Calls that wait for the row that is being read.
  std::vector<std::function<void()>> m_AfterRead;
  /// While claims were taken and the grant was not seen yet, until then.
  BootTime m_ReadSoonUntil{};
  /// The preferred homes must stay the same for a while before slices move.
  std::vector<std::string> m_LastHomes;
  BootTime m_HomesSince{};
  /// Preferred homes without a connection, since when.
  std::map<std::string, BootTime> m_UnreachableSince;
  /// Homes that did not take claims, and when.
  std::map<std::string, BootTime> m_RefusedAt;
  /// This home takes slices of others.
  bool m_Taking = true;
};

} // namespace figlift::agent
