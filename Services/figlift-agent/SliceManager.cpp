//===- SliceKeeper.cpp - Slices that this home holds ----------------------===//
//
// Grants in, handovers out. The table's row is the only truth about who is the
// home of a slice; messages only speed its reading up.
//
//===----------------------------------------------------------------------===//

#include "SliceKeeper.h"

#include "ClaimsMessage.h"

#include "LibIdempotency/GrantRow.h"
#include "LibLog/Log.h"

#include <algorithm>
#include <utility>

namespace figlift::agent {

using namespace idempotency;

static constexpr std::chrono::milliseconds SlowInterval{5000};
static constexpr std::chrono::milliseconds FastInterval{100};
static constexpr std::chrono::milliseconds OutageInterval{500};
/// How long the row is read often after claims were taken over.
static constexpr std::chrono::milliseconds ReadSoonTime{10000};
/// The platform's list lags and flaps; moving slices on each flap would cost
/// more refusals than a slice that stays where it is.
static constexpr std::chrono::milliseconds StableTime{3000};
/// A home that leaves looks for another successor after this time.
static constexpr std::chrono::milliseconds ConnectLimit{1000};
/// A home that did not take claims is not asked again so soon.
static constexpr std::chrono::milliseconds RefusalMemory{2000};

SliceKeeper::SliceKeeper(Context Shared, Parts Of, WallTime BoundAt)
    : m_Shared(Shared), m_Parts(Of), m_BoundAt(BoundAt) {}

void SliceKeeper::start() {
  read();
  m_Shared.Decisions.every(SlowInterval, [this] { read(); });
}

void SliceKeeper::readAfter(std::chrono::milliseconds Delay) {
  if (m_ReadDue)
    return;
  m_ReadDue = true;
  m_Shared.Decisions.after(Delay, [this] {
    m_ReadDue = false;
    read();
  });
}

void SliceKeeper::read() {
  if (m_Reading)
    return;
  m_Reading = true;
  m_Parts.Store.read(grantRowKey(m_Shared.Settings.Target.BackEnd),
                     [this](Result<platform::Row> Read) {
                       m_Shared.Decisions.post(
                           [this, Read = std::move(Read)] { rowRead(Read); });
                     });
}

void SliceKeeper::rowRead(const Result<platform::Row> &Read) {
  m_Reading = false;
  if (Read)
    learn(Read.value());
  for (const auto &Then : std::exchange(m_AfterRead, {}))
    Then();
  const bool Soon = !m_Known || !m_Pending.empty() || !m_Renewals.empty() ||
                    BootClock::now() < m_ReadSoonUntil;
  if (Soon && !m_Writing)
    return readAfter(Read ? FastInterval : OutageInterval);
  // A new back end: the planner is about to grant its slices.
  if (std::ranges::any_of(m_Lines,
                          [](const Grant &Line) { return Line.Epoch == 0; }))
    readAfter(OutageInterval);
}

void SliceKeeper::learn(const platform::Row &Read) {
  // Answers may overtake each other; an older row says nothing new.
  if (m_Known && Read.Version < m_RowVersion)
    return;
  const auto Lines = readGrantRow(Read.Value);
  if (!Lines) {
    log::logError(log::Level::Error, "grant-row-malformed", Lines.error());
    return;
  }
  m_RowVersion = Read.Version;
  for (SliceId Slice = 0; Slice < SliceCount; ++Slice)
    learnLine(Slice, Lines.value()[Slice]);
  m_Lines = Lines.value();
  m_Known = true;
  settlePending();
  writePending();
}

GrantReason SliceKeeper::reasonFor(SliceId Slice, const Grant &Line) const {
  if (const auto Found = m_ClaimsOf.find(Slice);
      Found != m_ClaimsOf.end() && Found->second == Line.Epoch)
    return GrantReason::Handover;
  if (m_Renewals.contains(Slice))
    return GrantReason::SameSlotRestart;
  const Grant &Before = m_Lines[Slice];
  return Before.Epoch == 0 && Line.Epoch == 1 ? GrantReason::Initial
                                              : GrantReason::TableTakeover;
}

void SliceKeeper::learnLine(SliceId Slice, const Grant &Line) {
  if (Line.Epoch == 0)
    return;
  if (Line.Home != m_Shared.Settings.Process.Id) {
    m_Renewals.erase(Slice);
    return m_Parts.Calls->step(SliceLost{Slice, Line.Epoch});
  }
  // The first row that this process reads may name a predecessor in its slot,
  // whose last write may still be on its way: it would give the slice to
  // another home after this one had served new keys, which would run there a
  // second time. So the grant counts only when the row has been written anew;
  // the older write then fails its condition.
  if (!m_Known) {
    m_Renewals.insert(Slice);
    return;
  }
  if (m_Lines[Slice] == Line)
    return;
  const GrantReason How = reasonFor(Slice, Line);
  m_Renewals.erase(Slice);
  const WallTime TakenAt =
      How == GrantReason::SameSlotRestart ? m_BoundAt : wallNow();
  m_Shared.Events.record(
      timeline::kinds::SlicesTaken,
      {timeline::SubjectType::Slice, std::to_string(Slice)},
      {{"epoch", Line.Epoch}, {"reason", static_cast<int>(How)}});
  m_Parts.Calls->step(SliceGranted{Slice, Line.Epoch, How, TakenAt});
}

void SliceKeeper::hint(std::string_view Key, uint64_t Epoch,
                       std::function<void()> Then) {
  // Only an epoch above the row's is news; a home that has given the slice
  // away knows better than the entry.
  const SliceId Slice = sliceOf(Key);
  if (m_Known && Epoch <= m_Lines[Slice].Epoch)
    return Then();
  m_AfterRead.push_back(std::move(Then));
  read();
}

void SliceKeeper::onHandover(StreamId Stream,
                             const wire::HandoverRequest &Message) {
  wire::HandoverReply Reply;
  const bool Ours = Message.back_end() == m_Shared.Settings.Target.BackEnd;
  if (!Ours)
    Reply.set_code(static_cast<uint32_t>(ResultCode::UnknownBackEnd));
  else
    Reply.set_code(static_cast<uint32_t>(takeClaims(Message)));
  if (Ours && moreFollows(Message))
    return;
  Reply.set_clock(m_Shared.Events.clockToSend());
  m_Parts.Back.send(Stream, Reply);
  m_Parts.Back.finish(Stream);
}

/// Two homes that leave together would pass their slices to and fro, so a
/// home that leaves takes none. Outcomes of calls that were open at an earlier
/// handover are taken at any time.
ResultCode SliceKeeper::takeClaims(const wire::HandoverRequest &Message) {
  for (const ClaimsReceived &Claims : readClaims(Message)) {
    if (Claims.Complete && !m_Taking)
      return ResultCode::Draining;
    m_Parts.Calls->step(Claims);
  }
  return ResultCode::Success;
}

void SliceKeeper::carryOut(const Action &What) {
  std::visit([this](const auto &Which) { act(Which); }, What);
}

void SliceKeeper::act(const SendClaims &What) {
  std::vector<std::string> Messages;
  for (const wire::HandoverRequest &Message :
       writeClaims(What, m_Shared.Settings.Target.BackEnd,
                   m_Shared.Settings.Process.Id))
    Messages.push_back(Message.SerializeAsString());
  const SliceId Slice = What.Slice;
  const uint64_t Epoch = What.Epoch;
  const bool Complete = What.Complete;
  const platform::Vm *Successor = m_Parts.Peers.find(What.Successor);
  if (!Successor) {
    if (Complete)
      ended(Slice, HandoverFailed{Slice});
    return;
  }
  m_Parts.Client.ask(
      Successor->Peer, wire::Method::Handover, std::move(Messages),
      [this, Slice, Epoch, Complete,
       Home = What.Successor](const Result<std::string> &Answer) {
        if (!Complete)
          return;
        wire::HandoverReply Reply;
        const bool Taken = Answer && Reply.ParseFromString(Answer.value()) &&
                           Reply.code() == 0;
        if (Taken)
          m_Parts.Calls->step(HandoverAcknowledged{Slice, Epoch});
        else
          refused(Slice, Home);
      });
}

void SliceKeeper::refused(SliceId Slice, const std::string &Home) {
  m_RefusedAt[Home] = BootClock::now();
  ended(Slice, HandoverFailed{Slice});
}

void SliceKeeper::act(const AcknowledgeClaims &What) {
  m_ClaimsOf[What.Slice] = What.Epoch;
  m_ReadSoonUntil = BootClock::now() + ReadSoonTime;
  readAfter(FastInterval);
}

void SliceKeeper::act(const CommitGrant &What) {
  m_Pending[What.Slice] = What;
  // All handovers of one stop are written by few transactions.
  m_Shared.Decisions.post([this] { read(); });
}

void SliceKeeper::act(const AnnounceGrant &What) {
  m_Shared.Events.record(
      timeline::kinds::SlicesHandedOver,
      {timeline::SubjectType::Slice, std::to_string(What.Slice)},
      {{"epoch", What.Epoch}, {"successor", What.Successor}});
}

void SliceKeeper::ended(SliceId Slice, const Event &How) {
  m_Moving.erase(Slice);
  m_Pending.erase(Slice);
  m_Parts.Calls->step(How);
}

/// Ends those pending grants whose fate the row shows.
void SliceKeeper::settlePending() {
  const auto Pending = m_Pending;
  for (const auto &[Slice, Wanted] : Pending) {
    const Grant &Line = m_Lines[Slice];
    if (Line.Home == Wanted.Successor && Line.Epoch == Wanted.Epoch)
      ended(Slice, GrantCommitted{Slice, Wanted.Epoch});
    else if (Line.Epoch != Wanted.FromEpoch)
      // Another grant is there: ours fails its condition for ever. The row
      // has been told to the machine already.
      ended(Slice, HandoverFailed{Slice});
  }
}

/// Writes all pending grants on top of the row as read. The condition on the
/// row's version lets at most one of several sendings take effect.
void SliceKeeper::writePending() {
  if ((m_Pending.empty() && m_Renewals.empty()) || m_Writing)
    return;
  m_Writing = true;
  GrantTable Lines = m_Lines;
  for (const auto &[Slice, Wanted] : m_Pending)
    Lines[Slice] = {Wanted.Successor, Wanted.Epoch};
  for (const SliceId Slice : m_Renewals)
    Lines[Slice].Epoch = nextTakeoverEpoch(m_Lines[Slice].Epoch);
  const std::string Key = grantRowKey(m_Shared.Settings.Target.BackEnd);
  m_Parts.Store.commit({{{Key, m_RowVersion}}, {{Key, writeGrantRow(Lines)}}},
                       [this](const Result<std::monostate> &Written) {
                         // Whatever the answer, the row itself tells.
                         m_Shared.Decisions.post([this, Done = bool(Written)] {
                           m_Writing = false;
                           return Done ? read() : readAfter(FastInterval);
                         });
                       });
}

void SliceKeeper::rebalance(bool Leaving,
                            const std::set<std::string> &Excluded) {
  std::vector<std::string> Homes = m_Parts.Peers.homes();
  const std::string &Self = m_Shared.Settings.Process.Id;
  std::erase_if(Homes, [&](const std::string &Id) {
    return Excluded.contains(Id) || (Leaving && Id == Self);
  });
  std::ranges::sort(Homes);
  const BootTime Now = BootClock::now();
  if (Homes != m_LastHomes) {
    m_LastHomes = Homes;
    m_HomesSince = Now;
  }
  if (!Leaving && Now - m_HomesSince < StableTime)
    return;
  for (SliceId Slice = 0; Slice < SliceCount; ++Slice) {
    if (!m_Parts.Calls->home().serves(Slice) || m_Moving.contains(Slice))
      continue;
    const std::string Next = chooseSuccessor(Slice, Homes, Leaving);
    if (Next.empty())
      continue;
    m_Moving.insert(Slice);
    m_Parts.Calls->step(HandoverRequested{Slice, Next});
  }
}

/// While a handover is tried the slice's keys are refused, so it is not tried
/// with a process that is listed and dead. A home that leaves takes the next
/// best one that it can reach.
std::string SliceKeeper::chooseSuccessor(SliceId Slice,
                                         std::vector<std::string> Homes,
                                         bool Leaving) {
  const std::string &Self = m_Shared.Settings.Process.Id;
  while (true) {
    std::string Next = SliceMap::preferredHome(Slice, Homes);
    if (Next.empty() || Next == Self)
      return {};
    const bool Refused = refusedLately(Next);
    if (!Refused && reachable(Next))
      return Next;
    if (!Leaving || !(Refused || givenUp(Next)))
      return {};
    std::erase(Homes, Next);
  }
}

bool SliceKeeper::reachable(const std::string &Home) {
  const platform::Vm *Known = m_Parts.Peers.find(Home);
  if (Known && m_Parts.Client.reachable(Known->Peer)) {
    m_UnreachableSince.erase(Home);
    return true;
  }
  m_UnreachableSince.try_emplace(Home, BootClock::now());
  return false;
}

bool SliceKeeper::refusedLately(const std::string &Home) const {
  const auto Found = m_RefusedAt.find(Home);
  return Found != m_RefusedAt.end() &&
         BootClock::now() - Found->second < RefusalMemory;
}

bool SliceKeeper::givenUp(const std::string &Home) const {
  const auto Found = m_UnreachableSince.find(Home);
  return Found != m_UnreachableSince.end() &&
         BootClock::now() - Found->second > ConnectLimit;
}

std::vector<wire::SliceGrant> SliceKeeper::held() const {
  std::vector<wire::SliceGrant> Out;
  for (SliceId Slice = 0; Slice < SliceCount; ++Slice) {
    if (!m_Parts.Calls->home().serves(Slice))
      continue;
    Out.emplace_back().set_slice(Slice);
    Out.back().set_epoch(m_Parts.Calls->home().epochOf(Slice));
  }
  return Out;
}

} // namespace figlift::agent
