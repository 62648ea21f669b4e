//===- SliceManager.cpp - Moves slices between homes ----------------------===//
//
// Only the row of grants in the table determines the home of a slice. Messages
// merely cause the row to be read sooner.
//
//===----------------------------------------------------------------------===//

#include "SliceManager.h"

#include "ClaimsMessage.h"

#include "LibIdempotency/GrantRow.h"
#include "LibLog/Log.h"

#include <algorithm>
#include <utility>

namespace figlift::agent {

using namespace idempotency;

/// Intervals between reads of the row of grants: regularly, while a change of
/// the row is expected, and after a failed read.
static constexpr std::chrono::milliseconds SlowReadInterval{5000};
static constexpr std::chrono::milliseconds FastReadInterval{100};
static constexpr std::chrono::milliseconds OutageReadInterval{500};
/// How long the row is read at the fast interval after claims were received.
static constexpr std::chrono::milliseconds FastReadTime{10000};
/// Slices move only after the set of homes has not changed for this time. The
/// platform's list lags and flaps, and moving slices on each flap would refuse
/// more calls than leaving them where they are.
static constexpr std::chrono::milliseconds StableTime{3000};
/// A leaving home selects another successor if it cannot connect to the
/// preferred one within this time.
static constexpr std::chrono::milliseconds ConnectTimeout{1000};
/// A home that did not accept claims is not tried again within this time.
static constexpr std::chrono::milliseconds RefusalBackoff{2000};

SliceManager::SliceManager(Context Shared, Dependencies Services,
                           WallTime PortBoundAt)
    : m_Shared(Shared), m_Dependencies(Services), m_PortBoundAt(PortBoundAt) {}

void SliceManager::start() {
  read();
  m_Shared.Loop.every(SlowReadInterval, [this] { read(); });
}

void SliceManager::readAfter(std::chrono::milliseconds Delay) {
  if (m_ReadScheduled)
    return;
  m_ReadScheduled = true;
  m_Shared.Loop.after(Delay, [this] {
    m_ReadScheduled = false;
    read();
  });
}

void SliceManager::read() {
  if (m_Reading)
    return;
  m_Reading = true;
  m_Dependencies.Store.read(
      grantRowKey(m_Shared.Settings.Target.BackEnd),
      [this](Result<platform::Row> Row) {
        m_Shared.Loop.post([this, Row = std::move(Row)] { onRowRead(Row); });
      });
}

void SliceManager::onRowRead(const Result<platform::Row> &Row) {
  m_Reading = false;
  if (Row)
    applyRow(Row.value());
  for (const auto &Callback : std::exchange(m_ReadCallbacks, {}))
    Callback();
  const bool ChangeExpected = !m_RowRead || !m_PendingGrants.empty() ||
                              !m_GrantsToRenew.empty() ||
                              BootClock::now() < m_FastReadUntil;
  if (ChangeExpected && !m_Writing)
    return readAfter(Row ? FastReadInterval : OutageReadInterval);
  // Some slices have no grant yet (epoch 0), as in a new back end; the planner
  // grants them soon.
  if (std::ranges::any_of(
          m_Grants, [](const Grant &RowGrant) { return RowGrant.Epoch == 0; }))
    readAfter(OutageReadInterval);
}

void SliceManager::applyRow(const platform::Row &Row) {
  // Replies may overtake each other, so ignore an older version of the row.
  if (m_RowRead && Row.Version < m_RowVersion)
    return;
  const auto Grants = readGrantRow(Row.Value);
  if (!Grants) {
    log::logError(log::Level::Error, "grant-row-malformed", Grants.error());
    return;
  }
  m_RowVersion = Row.Version;
  for (SliceId Slice = 0; Slice < SliceCount; ++Slice)
    applyGrant(Slice, Grants.value()[Slice]);
  m_Grants = Grants.value();
  m_RowRead = true;
  completePendingGrants();
  writePendingGrants();
}

GrantReason SliceManager::grantReason(SliceId Slice,
                                      const Grant &RowGrant) const {
  if (const auto Found = m_ReceivedClaimEpochs.find(Slice);
      Found != m_ReceivedClaimEpochs.end() && Found->second == RowGrant.Epoch)
    return GrantReason::Handover;
  if (m_GrantsToRenew.contains(Slice))
    return GrantReason::SameSlotRestart;
  const Grant &Previous = m_Grants[Slice];
  return Previous.Epoch == 0 && RowGrant.Epoch == 1
             ? GrantReason::Initial
             : GrantReason::TableTakeover;
}

void SliceManager::applyGrant(SliceId Slice, const Grant &RowGrant) {
  if (RowGrant.Epoch == 0)
    return;
  if (RowGrant.Home != m_Shared.Settings.Process.Id) {
    m_GrantsToRenew.erase(Slice);
    return m_Dependencies.Calls->step(SliceLost{Slice, RowGrant.Epoch});
  }
  // The first row that this process reads may hold grants of its predecessor in
  // the slot, whose last write may still be in flight. That write would grant
  // the slice to another home after this one had served new keys, which would
  // then run a second time there. So the grant is used only after this process
  // has rewritten the row, which makes the condition of the older write fail.
  if (!m_RowRead) {
    m_GrantsToRenew.insert(Slice);
    return;
  }
  if (m_Grants[Slice] == RowGrant)
    return;
  const GrantReason Reason = grantReason(Slice, RowGrant);
  m_GrantsToRenew.erase(Slice);
  const WallTime GrantedAt =
      Reason == GrantReason::SameSlotRestart ? m_PortBoundAt : wallNow();
  m_Shared.Events.record(
      timeline::kinds::SlicesTaken,
      {timeline::SubjectType::Slice, std::to_string(Slice)},
      {{"epoch", RowGrant.Epoch}, {"reason", static_cast<int>(Reason)}});
  m_Dependencies.Calls->step(
      SliceGranted{Slice, RowGrant.Epoch, Reason, GrantedAt});
}

void SliceManager::awaitEpoch(std::string_view Key, uint64_t Epoch,
                              std::function<void()> Done) {
  // Read the row only for an epoch above the known one. A home that has handed
  // the slice over has newer information than the entry.
  const SliceId Slice = sliceOf(Key);
  if (m_RowRead && Epoch <= m_Grants[Slice].Epoch)
    return Done();
  m_ReadCallbacks.push_back(std::move(Done));
  read();
}

void SliceManager::onHandover(StreamId Stream,
                              const wire::HandoverRequest &Message) {
  wire::HandoverReply Reply;
  const bool SameBackEnd =
      Message.back_end() == m_Shared.Settings.Target.BackEnd;
  if (!SameBackEnd)
    Reply.set_code(static_cast<uint32_t>(ResultCode::UnknownBackEnd));
  else
    Reply.set_code(static_cast<uint32_t>(receiveClaims(Message)));
  if (SameBackEnd && moreFollows(Message))
    return;
  Reply.set_clock(m_Shared.Events.clockToSend());
  m_Dependencies.Writer.send(Stream, Reply);
  m_Dependencies.Writer.finish(Stream);
}

/// A leaving home accepts no slices: two homes that leave at the same time
/// would hand their slices back and forth. Outcomes of calls that were open at
/// an earlier handover are always accepted.
ResultCode SliceManager::receiveClaims(const wire::HandoverRequest &Message) {
  for (const ClaimsReceived &Claims : readClaims(Message)) {
    if (Claims.Complete && !m_AcceptingSlices)
      return ResultCode::Draining;
    m_Dependencies.Calls->step(Claims);
  }
  return ResultCode::Success;
}

void SliceManager::perform(const Action &Action) {
  std::visit([this](const auto &Chosen) { perform(Chosen); }, Action);
}

void SliceManager::perform(const SendClaims &Action) {
  std::vector<std::string> Messages;
  for (const wire::HandoverRequest &Message :
       writeClaims(Action, m_Shared.Settings.Target.BackEnd,
                   m_Shared.Settings.Process.Id))
    Messages.push_back(Message.SerializeAsString());
  const SliceId Slice = Action.Slice;
  const uint64_t Epoch = Action.Epoch;
  const bool Complete = Action.Complete;
  const platform::Vm *Successor = m_Dependencies.Peers.find(Action.Successor);
  if (!Successor) {
    if (Complete)
      endHandover(Slice, HandoverFailed{Slice});
    return;
  }
  m_Dependencies.Client.query(
      Successor->Peer, wire::Method::Handover, std::move(Messages),
      [this, Slice, Epoch, Complete,
       Home = Action.Successor](const Result<std::string> &Answer) {
        if (!Complete)
          return;
        wire::HandoverReply Reply;
        const bool Accepted = Answer && Reply.ParseFromString(Answer.value()) &&
                              Reply.code() == 0;
        if (Accepted)
          m_Dependencies.Calls->step(HandoverAcknowledged{Slice, Epoch});
        else
          onClaimsRefused(Slice, Home);
      });
}

void SliceManager::onClaimsRefused(SliceId Slice, const std::string &Home) {
  m_RefusedAt[Home] = BootClock::now();
  endHandover(Slice, HandoverFailed{Slice});
}

void SliceManager::perform(const AcknowledgeClaims &Action) {
  m_ReceivedClaimEpochs[Action.Slice] = Action.Epoch;
  m_FastReadUntil = BootClock::now() + FastReadTime;
  readAfter(FastReadInterval);
}

void SliceManager::perform(const CommitGrant &Action) {
  m_PendingGrants[Action.Slice] = Action;
  // Posted, so that the handovers of a shutdown are written in few
  // transactions.
  m_Shared.Loop.post([this] { read(); });
}

void SliceManager::perform(const AnnounceGrant &Action) {
  m_Shared.Events.record(
      timeline::kinds::SlicesHandedOver,
      {timeline::SubjectType::Slice, std::to_string(Action.Slice)},
      {{"epoch", Action.Epoch}, {"successor", Action.Successor}});
}

void SliceManager::endHandover(SliceId Slice, const Event &End) {
  m_OpenHandovers.erase(Slice);
  m_PendingGrants.erase(Slice);
  m_Dependencies.Calls->step(End);
}

/// Ends the pending grants whose outcome the row shows.
void SliceManager::completePendingGrants() {
  const auto Pending = m_PendingGrants;
  for (const auto &[Slice, Commit] : Pending) {
    const Grant &RowGrant = m_Grants[Slice];
    if (RowGrant.Home == Commit.Successor && RowGrant.Epoch == Commit.Epoch)
      endHandover(Slice, GrantCommitted{Slice, Commit.Epoch});
    else if (RowGrant.Epoch != Commit.FromEpoch)
      // The row holds another grant, so the condition of the pending one can
      // never hold again. applyGrant() has passed the row to the home machine.
      endHandover(Slice, HandoverFailed{Slice});
  }
}

/// Writes all pending grants into the row as it was last read. The condition on
/// the row's version ensures that at most one of several writes takes effect.
void SliceManager::writePendingGrants() {
  if ((m_PendingGrants.empty() && m_GrantsToRenew.empty()) || m_Writing)
    return;
  m_Writing = true;
  GrantTable Grants = m_Grants;
  for (const auto &[Slice, Commit] : m_PendingGrants)
    Grants[Slice] = {Commit.Successor, Commit.Epoch};
  for (const SliceId Slice : m_GrantsToRenew)
    Grants[Slice].Epoch = nextTakeoverEpoch(m_Grants[Slice].Epoch);
  const std::string Key = grantRowKey(m_Shared.Settings.Target.BackEnd);
  m_Dependencies.Store.commit(
      {{{Key, m_RowVersion}}, {{Key, writeGrantRow(Grants)}}},
      [this](const Result<std::monostate> &Written) {
        // The outcome is taken from the row, whatever the
        // reply says.
        m_Shared.Loop.post([this, Done = bool(Written)] {
          m_Writing = false;
          return Done ? read() : readAfter(FastReadInterval);
        });
      });
}

void SliceManager::rebalance(bool Leaving,
                             const std::set<std::string> &Excluded) {
  std::vector<std::string> Homes = m_Dependencies.Peers.homes();
  const std::string &Self = m_Shared.Settings.Process.Id;
  std::erase_if(Homes, [&](const std::string &Id) {
    return Excluded.contains(Id) || (Leaving && Id == Self);
  });
  std::ranges::sort(Homes);
  const BootTime Now = BootClock::now();
  if (Homes != m_LastHomes) {
    m_LastHomes = Homes;
    m_HomesStableSince = Now;
  }
  if (!Leaving && Now - m_HomesStableSince < StableTime)
    return;
  for (SliceId Slice = 0; Slice < SliceCount; ++Slice) {
    if (!m_Dependencies.Calls->home().serves(Slice) ||
        m_OpenHandovers.contains(Slice))
      continue;
    const std::string Successor = chooseSuccessor(Slice, Homes, Leaving);
    if (Successor.empty())
      continue;
    m_OpenHandovers.insert(Slice);
    m_Dependencies.Calls->step(HandoverRequested{Slice, Successor});
  }
}

/// The keys of a slice are refused during a handover, so it is not attempted
/// with a home that is listed but unreachable. A leaving home falls back to the
/// next preferred home that it can reach.
std::string SliceManager::chooseSuccessor(SliceId Slice,
                                          std::vector<std::string> Homes,
                                          bool Leaving) {
  const std::string &Self = m_Shared.Settings.Process.Id;
  while (true) {
    std::string Candidate = SliceMap::preferredHome(Slice, Homes);
    if (Candidate.empty() || Candidate == Self)
      return {};
    const bool Refused = refusedRecently(Candidate);
    if (!Refused && reachable(Candidate))
      return Candidate;
    if (!Leaving || !(Refused || connectTimedOut(Candidate)))
      return {};
    std::erase(Homes, Candidate);
  }
}

bool SliceManager::reachable(const std::string &Home) {
  const platform::Vm *Vm = m_Dependencies.Peers.find(Home);
  if (Vm && m_Dependencies.Client.reachable(Vm->Peer)) {
    m_UnreachableSince.erase(Home);
    return true;
  }
  m_UnreachableSince.try_emplace(Home, BootClock::now());
  return false;
}

bool SliceManager::refusedRecently(const std::string &Home) const {
  const auto Found = m_RefusedAt.find(Home);
  return Found != m_RefusedAt.end() &&
         BootClock::now() - Found->second < RefusalBackoff;
}

bool SliceManager::connectTimedOut(const std::string &Home) const {
  const auto Found = m_UnreachableSince.find(Home);
  return Found != m_UnreachableSince.end() &&
         BootClock::now() - Found->second > ConnectTimeout;
}

std::vector<wire::SliceGrant> SliceManager::held() const {
  std::vector<wire::SliceGrant> Result;
  for (SliceId Slice = 0; Slice < SliceCount; ++Slice) {
    if (!m_Dependencies.Calls->home().serves(Slice))
      continue;
    Result.emplace_back().set_slice(Slice);
    Result.back().set_epoch(m_Dependencies.Calls->home().epochOf(Slice));
  }
  return Result;
}

} // namespace figlift::agent
