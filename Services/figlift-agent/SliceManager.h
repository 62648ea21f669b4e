//===- SliceManager.h - Moves slices between homes --------------*- C++ -*-===//
//
// Reads grants from the table, hands slices over to their preferred homes and
// writes the grants of these homes. Event loop's thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Fleet.h"
#include "PeerClient.h"
#include "ServiceCalls.h"
#include "StreamWriter.h"

#include "LibIdempotency/SliceMap.h"
#include "LibPlatform/Platform.h"

#include <functional>
#include <map>
#include <set>

namespace figlift::agent {

class SliceManager {
public:
  struct Dependencies {
    platform::Table &Store;
    Fleet &Peers;
    PeerClient &Client;
    StreamWriter &Writer;
    /// Set by setCalls() before any other member is called.
    ServiceCalls *Calls = nullptr;
  };

  /// \p PortBoundAt is a wall time at which the agent's port was bound already.
  SliceManager(Context Shared, Dependencies Services, WallTime PortBoundAt);
  void setCalls(ServiceCalls &Calls) { m_Dependencies.Calls = &Calls; }

  void start();
  /// Sets whether this home accepts slices from other homes.
  void setAcceptingSlices(bool Accepting) { m_AcceptingSlices = Accepting; }
  /// Calls \p Done after reading the row of grants if \p Epoch, under which an
  /// entry assumes that this home holds the key's slice, is newer than the
  /// known one. Otherwise calls it immediately.
  void awaitEpoch(std::string_view Key, uint64_t Epoch,
                  std::function<void()> Done);
  void onHandover(StreamId Stream, const wire::HandoverRequest &Message);
  /// Executes SendClaims, AcknowledgeClaims, CommitGrant and AnnounceGrant.
  void perform(const idempotency::Action &Action);
  /// Hands slices over to the homes that rendezvous hashing prefers, among
  /// those not in \p Excluded. A leaving target is not a home itself.
  void rebalance(bool Leaving, const std::set<std::string> &Excluded);
  std::vector<wire::SliceGrant> held() const;
  /// Number of handovers that have not ended.
  size_t openHandovers() const { return m_OpenHandovers.size(); }
  bool grantsKnown() const { return m_RowRead; }

private:
  void perform(const idempotency::SendClaims &Action);
  void perform(const idempotency::AcknowledgeClaims &Action);
  void perform(const idempotency::CommitGrant &Action);
  void perform(const idempotency::AnnounceGrant &Action);
  template <typename Other> void perform(const Other &) {}

  void read();
  void readAfter(std::chrono::milliseconds Delay);
  void onRowRead(const Result<platform::Row> &Row);
  void applyRow(const platform::Row &Row);
  void applyGrant(idempotency::SliceId Slice,
                  const idempotency::Grant &RowGrant);
  idempotency::GrantReason
  grantReason(idempotency::SliceId Slice,
              const idempotency::Grant &RowGrant) const;
  std::string chooseSuccessor(idempotency::SliceId Slice,
                              std::vector<std::string> Homes, bool Leaving);
  bool reachable(const std::string &Home);
  bool refusedRecently(const std::string &Home) const;
  bool connectTimedOut(const std::string &Home) const;
  void onClaimsRefused(idempotency::SliceId Slice, const std::string &Home);
  ResultCode receiveClaims(const wire::HandoverRequest &Message);
  void writePendingGrants();
  void completePendingGrants();
  void endHandover(idempotency::SliceId Slice, const idempotency::Event &End);

  Context m_Shared;
  Dependencies m_Dependencies;
  const WallTime m_PortBoundAt;
  /// The row as it was last read.
  idempotency::GrantTable m_Grants{};
  uint64_t m_RowVersion = 0;
  bool m_RowRead = false;
  bool m_Reading = false;
  /// A timer for the next read is set.
  bool m_ReadScheduled = false;
  bool m_Writing = false;
  /// Grants to be written. Each replaces the grant with its FromEpoch.
  std::map<idempotency::SliceId, idempotency::CommitGrant> m_PendingGrants;
  /// Slices that were granted to this target in the first row that was read.
  /// They are not served until the row shows a newer grant.
  std::set<idempotency::SliceId> m_GrantsToRenew;
  /// Slices whose handover has been requested and has not ended.
  std::set<idempotency::SliceId> m_OpenHandovers;
  /// Epochs of the claims that were received from predecessors.
  std::map<idempotency::SliceId, uint64_t> m_ReceivedClaimEpochs;
  /// Callbacks that wait for the row that is being read.
  std::vector<std::function<void()>> m_ReadCallbacks;
  /// The row is read at the fast interval until then, because claims were
  /// received whose grant is expected.
  BootTime m_FastReadUntil{};
  /// The set of homes and the time of its last change.
  std::vector<std::string> m_LastHomes;
  BootTime m_HomesStableSince{};
  /// Preferred homes without a connection, with the time of the first attempt.
  std::map<std::string, BootTime> m_UnreachableSince;
  /// Homes that did not accept claims, with the time of the last refusal.
  std::map<std::string, BootTime> m_RefusedAt;
  bool m_AcceptingSlices = true;
};

} // namespace figlift::agent
