//===- ServerList.cpp - What the store lists ------------------------------===//
//
// See ServerList.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerList.h"

#include <algorithm>
#include <set>
#include <utility>

namespace figlift::dispatch {

namespace {

/// Servers count their entries from 1, some from 0.
constexpr uint64_t FirstHeartbeat = 1;
constexpr std::chrono::seconds ForgetInterval{1};

} // namespace

std::string_view describe(LateReason Reason) {
  switch (Reason) {
  case LateReason::OlderHeartbeat:
    return "older heartbeat";
  case LateReason::EndedStart:
    return "ended start";
  case LateReason::UnknownLastWrite:
    return "last heartbeat unknown";
  case LateReason::EarlierStart:
    return "earlier start";
  }
  return {};
}

ServerList::EndedStart *
ServerList::findEnded(Server &Known, const std::optional<StartTime> &Started) {
  const auto Found = std::find_if(
      Known.Ended.begin(), Known.Ended.end(),
      [&](const EndedStart &Ended) { return Ended.Started == Started; });
  return Found == Known.Ended.end() ? nullptr : &*Found;
}

std::optional<LateReason> ServerList::findLateReason(const EndedStart &Ended,
                                                     const ServerChange &Row,
                                                     Source From,
                                                     BootTime Now) const {
  const Target &Entry = *Row.Entry;
  // The peer has seen that the server runs. Before that time, it may be a peer
  // that has just started and takes a late write for an entry.
  if (From == Source::Announced && Now - Ended.EndedAt > timeUntilNoneIsLate())
    return std::nullopt;
  if (!Ended.WasRemoved || Entry.Heartbeat < Ended.Heartbeat)
    return LateReason::EndedStart;
  if (Ended.MayBeExpired)
    return std::nullopt;
  if (Entry.Heartbeat == Ended.Heartbeat)
    return LateReason::EndedStart;
  const bool MayBeLate = Now - Ended.EndedAt <= timeUntilNoneIsLate() ||
                         Row.Version.Era != Ended.LastVersion.Era;
  if (From == Source::Read && !Ended.IsLastWriteKnown && MayBeLate)
    return LateReason::UnknownLastWrite;
  return std::nullopt;
}

std::optional<LateReason> ServerList::findLateReason(const Server &Known,
                                                     const ServerChange &Row,
                                                     Source From,
                                                     BootTime Now) const {
  const Target &Entry = *Row.Entry;
  if (Known.Listed && Known.Listed->Started == Entry.Started) {
    // Without a start time, a restart is told by its heartbeats alone.
    const bool MayHaveRestarted =
        !Entry.Started.has_value() && From == Source::Announced;
    if (Entry.Heartbeat >= Known.Listed->Heartbeat || MayHaveRestarted)
      return std::nullopt;
    return LateReason::OlderHeartbeat;
  }
  for (const EndedStart &Ended : Known.Ended)
    if (Ended.Started == Entry.Started)
      return findLateReason(Ended, Row, From, Now);
  if (From == Source::Announced || (!Known.Listed && Known.Ended.empty()))
    return std::nullopt;
  const std::optional<StartTime> &Last =
      Known.Listed ? Known.Listed->Started : Known.Ended.back().Started;
  if (Entry.Started < Last)
    return LateReason::EarlierStart;
  return std::nullopt;
}

bool ServerList::isKnownStart(Server &Known,
                              const std::optional<StartTime> &Started) {
  // Starts without a time cannot be told apart.
  return Started.has_value() &&
         ((Known.Listed && Known.Listed->Started == Started) ||
          findEnded(Known, Started) != nullptr);
}

bool ServerList::isRunning(Server &Known, const Target &Entry,
                           BootTime Now) const {
  const uint64_t Heartbeat = Entry.Heartbeat;
  if (!Known.Suspected || Known.Suspected->Started != Entry.Started ||
      Heartbeat <= Known.Suspected->LastHeartbeat) {
    Known.Suspected = {Entry.Started, Heartbeat, Heartbeat, Now};
    return false;
  }
  Known.Suspected->LastHeartbeat = Heartbeat;
  // The first two entries of a start that was not seen before.
  if (!isKnownStart(Known, Entry.Started) &&
      Known.Suspected->FirstHeartbeat <= FirstHeartbeat)
    return true;
  return Now - Known.Suspected->Since > timeUntilNoneIsLate();
}

void ServerList::end(Server &Known, EndedStart Ended) const {
  std::erase_if(Known.Ended, [&](const EndedStart &Other) {
    return Other.Started == Ended.Started;
  });
  if (Known.Ended.size() >= m_Options.MaximumEndedStarts)
    Known.Ended.erase(Known.Ended.begin());
  Known.Ended.push_back(Ended);
}

void ServerList::accept(Server &Known, const ServerChange &Row, BootTime Now,
                        ListUpdate &Out) {
  const Target &Entry = *Row.Entry;
  // A peer that has just started may list the late write.
  const bool OnlyHeartbeat = Known.Listed &&
                             Known.Listed->equalsIgnoringHeartbeat(Entry) &&
                             Known.LateVersion <= Known.Version;
  if (Known.Listed && Known.Listed->Started != Entry.Started)
    end(Known, {Known.Listed->Started, Known.Listed->Heartbeat, Now,
                Known.Version, false, false, false});
  std::erase_if(Known.Ended, [&](const EndedStart &Ended) {
    return Ended.Started == Entry.Started;
  });
  Known.Listed = Entry;
  Known.Version = Row.Version;
  Known.Suspected.reset();
  Out.Changes.push_back({{Row.Version, Row.Id, Entry, {}}, OnlyHeartbeat});
}

void ServerList::applyEntry(Server &Known, const ServerChange &Row, Source From,
                            BootTime Now, ListUpdate &Out) {
  const Target &Entry = *Row.Entry;
  const auto Late = findLateReason(Known, Row, From, Now);
  if (!Late || (From == Source::Read && isRunning(Known, Entry, Now)))
    return accept(Known, Row, Now, Out);
  if (From == Source::Read)
    Known.LateVersion = Row.Version;
  uint64_t KnownHeartbeat = 0;
  if (Known.Listed)
    KnownHeartbeat = Known.Listed->Heartbeat;
  else if (!Known.Ended.empty())
    KnownHeartbeat = Known.Ended.back().Heartbeat;
  Out.Late.push_back({Entry, Row.Version, *Late, KnownHeartbeat});
}

void ServerList::remove(Server &Known, const ServerChange &Row, Source From,
                        Removals Kind, BootTime Now, ListUpdate &Out) {
  const StoreVersion LastVersion = std::exchange(Known.Version, Row.Version);
  Known.Suspected.reset();
  if (!Known.Listed) {
    Out.Changes.push_back({{Row.Version, Row.Id, {}, {}}, false});
    return;
  }
  const Target Last = *std::exchange(Known.Listed, std::nullopt);
  std::optional<LastWrite> Written;
  if (From == Source::Announced) {
    if (Row.Last && Row.Last->Started == Last.Started)
      Written = Row.Last;
  } else if (Known.ReadUpTo >= m_SkippedUpTo) {
    Written = {Last.Started, Last.Heartbeat};
  }
  const uint64_t Heartbeat =
      std::max(Last.Heartbeat, Written ? Written->Heartbeat : 0);
  end(Known, {Last.Started, Heartbeat, Now, LastVersion, true,
              Written.has_value(), Kind == Removals::MayBeExpired});
  Out.Changes.push_back({{Row.Version, Row.Id, {}, Written}, false});
}

void ServerList::applyRow(const ServerChange &Row, Source From, Removals Kind,
                          BootTime Now, ListUpdate &Out) {
  if (!m_Servers.contains(Row.Id) && Row.Version <= m_Version)
    return;
  Server &Known = m_Servers[Row.Id];
  const StoreVersion Judged = From == Source::Read
                                  ? std::max(Known.Version, Known.LateVersion)
                                  : Known.Version;
  if (Row.Version <= Judged)
    return;
  if (Row.Entry)
    applyEntry(Known, Row, From, Now, Out);
  else
    remove(Known, Row, From, Kind, Now, Out);
}

ListUpdate ServerList::replaceAll(const std::vector<ServerChange> &Rows,
                                  StoreVersion Version, Removals Kind,
                                  BootTime Now) {
  ListUpdate Out;
  if (Version < m_Version)
    return Out;
  std::set<std::string> Present;
  for (const ServerChange &Row : Rows) {
    Present.insert(Row.Id);
    Server &Known = m_Servers[Row.Id];
    if (Row.Version > std::max(Known.Version, Known.LateVersion))
      applyEntry(Known, Row, Source::Read, Now, Out);
    Known.ReadUpTo = Version;
  }
  for (auto &[Id, Known] : m_Servers) {
    if (Present.contains(Id) || Known.Version > Version)
      continue;
    if (Known.Listed)
      remove(Known, {Version, Id, {}, {}}, Source::Read, Kind, Now, Out);
    else
      Known.Version = Version;
  }
  m_Version = Version;
  return Out;
}

ListUpdate ServerList::applyRead(const std::vector<ServerChange> &Rows,
                                 StoreVersion Version, Removals Kind,
                                 BootTime Now) {
  ListUpdate Out;
  for (const ServerChange &Row : Rows) {
    applyRow(Row, Source::Read, Kind, Now, Out);
    if (const auto Found = m_Servers.find(Row.Id);
        Found != m_Servers.end() && Row.Entry)
      Found->second.ReadUpTo = std::max(Found->second.ReadUpTo, Row.Version);
  }
  m_Version = std::max(m_Version, Version);
  return Out;
}

void ServerList::learnLastWrite(const ServerChange &Removal) {
  const auto Found = m_Servers.find(Removal.Id);
  if (Found == m_Servers.end())
    return;
  EndedStart *Ended = findEnded(Found->second, Removal.Last->Started);
  // The start may have been listed again since that removal.
  if (!Ended || !Ended->WasRemoved || Removal.Version <= Ended->LastVersion)
    return;
  Ended->Heartbeat = std::max(Ended->Heartbeat, Removal.Last->Heartbeat);
  Ended->IsLastWriteKnown = true;
}

ListUpdate ServerList::applyAnnounced(const std::vector<ServerChange> &Changes,
                                      StoreVersion Version, Removals Kind,
                                      BootTime Now) {
  ListUpdate Out;
  for (const ServerChange &Change : Changes) {
    applyRow(Change, Source::Announced, Kind, Now, Out);
    if (!Change.Entry && Change.Last)
      learnLastWrite(Change);
  }
  if (Version > m_Version)
    m_Version = m_SkippedUpTo = Version;
  return Out;
}

void ServerList::forgetEnded(BootTime Now) {
  if (Now - m_ForgottenAt < ForgetInterval)
    return;
  m_ForgottenAt = Now;
  for (auto &[Id, Known] : m_Servers)
    std::erase_if(Known.Ended, [&](const EndedStart &Ended) {
      return Now - Ended.EndedAt > m_Options.EndedStartRetention;
    });
  std::erase_if(m_Servers, [&](const auto &Entry) {
    const Server &Known = Entry.second;
    // A late write stays in the store until it expires.
    return !Known.Listed && Known.Ended.empty() &&
           Known.LateVersion <= Known.Version;
  });
}

const Target *ServerList::find(const std::string &Id) const {
  const auto Found = m_Servers.find(Id);
  return Found == m_Servers.end() || !Found->second.Listed
             ? nullptr
             : &*Found->second.Listed;
}

bool ServerList::isCurrent(const Target &Entry) const {
  const Target *Listed = find(Entry.Id);
  return Listed && Listed->Started == Entry.Started &&
         Listed->Heartbeat == Entry.Heartbeat;
}

size_t ServerList::endedStarts() const {
  size_t Count = 0;
  for (const auto &[Id, Known] : m_Servers)
    Count += Known.Ended.size();
  return Count;
}

} // namespace figlift::dispatch
