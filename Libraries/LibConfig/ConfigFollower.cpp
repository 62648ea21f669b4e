//===- ConfigFollower.cpp - Follows the configuration ---------------------===//
//
// Each event updates the state. Afterwards, one place decides which changes to
// fetch and whether to serve.
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
  std::visit([&](const auto &Alternative) { on(Alternative, Now, Out); },
             Event);
  fetchMissingChanges(Now, Out);
  updateServing(Now, Out);
  return Out;
}

void ConfigFollower::on(const Tick &, BootTime Now, Actions &Out) {
  if (!m_Options.PollsStore || m_PollPending || Now < m_NextPoll)
    return;
  m_PollPending = true;
  m_PollStarted = Now;
  m_NextPoll = Now + m_Options.PollInterval;
  Out.push_back(PollHead{});
}

/// The table is authoritative for the head. A higher revision that was reported
/// before the poll began does not exist, and is discarded so that an invalid
/// message of a peer cannot stop this process permanently. A revision reported
/// during the poll may be newer than the result.
void ConfigFollower::on(const HeadPolled &Event, BootTime Now, Actions &) {
  m_PollPending = false;
  m_StoreDown = false;
  m_LastContact = Now;
  if (m_HighestKnown > Event.Revision && m_HighestKnownSince < m_PollStarted)
    m_HighestKnown = Event.Revision;
  recordRevision(Event.Revision, Now);
}

/// During an outage, each failed poll triggers a fetch from peers, so that a
/// change committed just before the outage still spreads.
void ConfigFollower::on(const StoreFailed &, BootTime Now, Actions &Out) {
  m_PollPending = false;
  m_StoreFetchPending = false;
  m_StoreDown = true;
  if (m_Snapshot)
    fetchFromPeers(Now, Out);
}

void ConfigFollower::on(const ChangesFetched &Event, BootTime Now,
                        Actions &Out) {
  m_StoreFetchPending = false;
  m_StoreDown = false;
  m_LastContact = Now;
  m_NextFetch = Now + m_Options.RetryInterval;
  // A table without records is a valid, empty configuration.
  bool IsComplete = Event.Changes.Full || Event.Changes.Base == 0;
  if (!m_Snapshot && IsComplete && Event.Changes.Head == 0) {
    m_Snapshot = Snapshot::empty();
    Out.push_back(Publish{m_Snapshot});
  }
  apply(Event.Changes, Out);
  recordRevision(Event.Changes.Head, Now);
}

void ConfigFollower::on(const PeersFetched &Event, BootTime Now, Actions &Out) {
  m_PeerFetchPending = false;
  m_LastContact = Now;
  m_NextFetch = Now + m_Options.RetryInterval;
  apply(Event.Changes, Out);
  recordRevision(Event.Changes.Head, Now);
}

void ConfigFollower::on(const PeersFailed &, BootTime Now, Actions &) {
  m_PeerFetchPending = false;
  m_NextFetch = Now + m_Options.RetryInterval;
}

void ConfigFollower::on(const ChangesPushed &Event, BootTime Now,
                        Actions &Out) {
  m_LastContact = Now;
  apply(Event.Changes, Out);
  recordRevision(Event.Changes.Head, Now);
}

void ConfigFollower::on(const RevisionSeen &Event, BootTime Now, Actions &) {
  m_LastContact = Now;
  recordRevision(Event.Revision, Now);
}

void ConfigFollower::on(const PeerAlive &, BootTime Now, Actions &) {
  m_LastContact = Now;
}

/// Snapshot::apply() rejects stale deltas and deltas with a gap. A late
/// response would otherwise revert the process to an older configuration, and a
/// gap would hide a change permanently.
void ConfigFollower::apply(const Delta &Changes, Actions &Out) {
  SnapshotPointer Base = m_Snapshot ? m_Snapshot : Snapshot::empty();
  SnapshotPointer Next = Base->apply(Changes);
  if (!Next)
    return;
  m_Snapshot = std::move(Next);
  Out.push_back(Publish{m_Snapshot});
}

void ConfigFollower::recordRevision(uint64_t Revision, BootTime Now) {
  if (Revision <= m_HighestKnown)
    return;
  m_HighestKnown = Revision;
  m_HighestKnownSince = Now;
}

void ConfigFollower::fetchMissingChanges(BootTime Now, Actions &Out) {
  if (!isMissingChanges() || Now < m_NextFetch)
    return;
  if (!m_Options.PollsStore || m_StoreDown)
    return fetchFromPeers(Now, Out);
  if (m_StoreFetchPending)
    return;
  m_StoreFetchPending = true;
  Out.push_back(FetchChanges{revision()});
}

void ConfigFollower::fetchFromPeers(BootTime, Actions &Out) {
  if (m_PeerFetchPending)
    return;
  m_PeerFetchPending = true;
  Out.push_back(FetchFromPeers{revision(), !m_Snapshot});
}

void ConfigFollower::updateServing(BootTime Now, Actions &Out) {
  bool Behind = m_Snapshot && m_HighestKnown > revision();
  if (!Behind)
    m_BehindSince.reset();
  else if (!m_BehindSince)
    m_BehindSince = Now;

  std::optional<StopReason> Required;
  if (!m_Snapshot)
    Required = StopReason::NoConfiguration;
  else if (Now - *m_LastContact > m_Options.IsolationBound)
    Required = StopReason::Isolated;
  else if (Behind && Now - *m_BehindSince > m_Options.BehindBound)
    Required = StopReason::Behind;

  if (Required == m_StopReason)
    return;
  m_StopReason = Required;
  if (Required)
    Out.push_back(StopServing{*Required});
  else
    Out.push_back(ResumeServing{});
}

} // namespace figlift::config
