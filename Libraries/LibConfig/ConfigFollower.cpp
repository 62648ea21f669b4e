//===- ConfigFollower.cpp - Keeping up with the configuration -------------===//
//
// Each event changes what is known; afterwards it is decided, in one place,
// what to fetch and whether to serve.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigFollower.h"

#include <algorithm>

namespace figlift::config {

using namespace follower;

std::string_view stopReasonName(StopReason Reason) {
  switch (Reason) {
  case StopReason::NoConfiguration:
    return "no-configuration";
  case StopReason::Behind:
    return "behind";
  case StopReason::Isolated:
    return "isolated";
  }
  return "unknown";
}

ConfigFollower::ConfigFollower(FollowerOptions Options) : m_Options(Options) {}

std::vector<Action> ConfigFollower::step(const Event &Event, BootTime Now) {
  if (!m_LastContact)
    m_LastContact = Now;
  Actions Out;
  std::visit([&](const auto &What) { on(What, Now, Out); }, Event);
  fetchWhatIsMissing(Now, Out);
  judgeServing(Now, Out);
  return Out;
}

void ConfigFollower::on(const Tick &, BootTime Now, Actions &Out) {
  if (!m_Options.PollsStore || m_PollOpen || Now < m_NextPoll)
    return;
  m_PollOpen = true;
  m_PollStarted = Now;
  m_NextPoll = Now + m_Options.PollInterval;
  Out.push_back(PollHead{});
}

/// The table is the authority on the head. A higher revision that was heard of
/// before the poll began can't exist, so a peer's garbage does not stop this
/// process for ever; one heard of during the poll may be newer than the answer.
void ConfigFollower::on(const PolledHead &Event, BootTime Now, Actions &) {
  m_PollOpen = false;
  m_StoreDown = false;
  m_LastContact = Now;
  if (m_Known > Event.Revision && m_KnownSince < m_PollStarted)
    m_Known = Event.Revision;
  learn(Event.Revision, Now);
}

/// In an outage the peers are asked at the pace of the polls, so that a change
/// committed just before it spreads all the same.
void ConfigFollower::on(const StoreFailed &, BootTime Now, Actions &Out) {
  m_PollOpen = false;
  m_StoreFetchOpen = false;
  m_StoreDown = true;
  if (m_Snapshot)
    fetchFromPeers(Now, Out);
}

void ConfigFollower::on(const ChangesFetched &Event, BootTime Now,
                        Actions &Out) {
  m_StoreFetchOpen = false;
  m_StoreDown = false;
  m_LastContact = Now;
  m_NextFetch = Now + m_Options.RetryInterval;
  // A table without a record is a configuration too: the empty one.
  bool Whole = Event.Changes.Full || Event.Changes.Base == 0;
  if (!m_Snapshot && Whole && Event.Changes.Head == 0) {
    m_Snapshot = Snapshot::empty();
    Out.push_back(Publish{m_Snapshot});
  }
  apply(Event.Changes, Out);
  learn(Event.Changes.Head, Now);
}

void ConfigFollower::on(const PeersFetched &Event, BootTime Now, Actions &Out) {
  m_PeerFetchOpen = false;
  m_LastContact = Now;
  m_NextFetch = Now + m_Options.RetryInterval;
  apply(Event.Changes, Out);
  learn(Event.Changes.Head, Now);
}

void ConfigFollower::on(const PeersFailed &, BootTime Now, Actions &) {
  m_PeerFetchOpen = false;
  m_NextFetch = Now + m_Options.RetryInterval;
}

void ConfigFollower::on(const PushedByPeer &Event, BootTime Now, Actions &Out) {
  m_LastContact = Now;
  apply(Event.Changes, Out);
  learn(Event.Changes.Head, Now);
}

void ConfigFollower::on(const SeenRevision &Event, BootTime Now, Actions &) {
  m_LastContact = Now;
  learn(Event.Revision, Now);
}

void ConfigFollower::on(const PeerHeard &, BootTime Now, Actions &) {
  m_LastContact = Now;
}

/// Without this check a late answer would take the process back to an older
/// configuration, and a delta with a gap would hide a change for good.
void ConfigFollower::apply(const Delta &Changes, Actions &Out) {
  SnapshotPointer Base = m_Snapshot ? m_Snapshot : Snapshot::empty();
  SnapshotPointer Next = Base->with(Changes);
  if (!Next)
    return;
  m_Snapshot = std::move(Next);
  Out.push_back(Publish{m_Snapshot});
}

void ConfigFollower::learn(uint64_t Revision, BootTime Now) {
  if (Revision <= m_Known)
    return;
  m_Known = Revision;
  m_KnownSince = Now;
}

void ConfigFollower::fetchWhatIsMissing(BootTime Now, Actions &Out) {
  if (!missing() || Now < m_NextFetch)
    return;
  if (!m_Options.PollsStore || m_StoreDown)
    return fetchFromPeers(Now, Out);
  if (m_StoreFetchOpen)
    return;
  m_StoreFetchOpen = true;
  Out.push_back(FetchChanges{revision()});
}

void ConfigFollower::fetchFromPeers(BootTime, Actions &Out) {
  if (m_PeerFetchOpen)
    return;
  m_PeerFetchOpen = true;
  Out.push_back(FetchFromPeers{revision(), !m_Snapshot});
}

void ConfigFollower::judgeServing(BootTime Now, Actions &Out) {
  bool Behind = m_Snapshot && m_Known > revision();
  if (!Behind)
    m_BehindSince.reset();
  else if (!m_BehindSince)
    m_BehindSince = Now;

  std::optional<StopReason> Wanted;
  if (!m_Snapshot)
    Wanted = StopReason::NoConfiguration;
  else if (Now - *m_LastContact > m_Options.IsolationBound)
    Wanted = StopReason::Isolated;
  else if (Behind && Now - *m_BehindSince > m_Options.BehindBound)
    Wanted = StopReason::Behind;

  if (Wanted == m_Stopped)
    return;
  m_Stopped = Wanted;
  if (Wanted)
    Out.push_back(StopServing{*Wanted});
  else
    Out.push_back(ResumeServing{});
}

} // namespace figlift::config
