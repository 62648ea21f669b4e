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

constexpr std::chrono::seconds ForgetInterval{1};

/// Whether \p Entry was written before \p Last: by an earlier start, or with an
/// earlier heartbeat of the same start.
bool isOlder(const Target &Entry, const Target &Last) {
  if (Entry.Started != Last.Started)
    return Entry.Started < Last.Started;
  return Entry.Heartbeat < Last.Heartbeat;
}

} // namespace

bool ServerList::isDelayedWrite(Server &Known, const Target &Entry) {
  const std::optional<Target> &Last =
      Known.Listed ? Known.Listed : Known.Removed;
  if (!Last)
    return false;
  const bool IsRemovedEntry = !Known.Listed && !Known.MayBeExpired &&
                              Entry.Started == Last->Started &&
                              Entry.Heartbeat == Last->Heartbeat;
  if (!isOlder(Entry, *Last))
    return IsRemovedEntry;
  const bool IsAdvancing = Known.Suspected &&
                           Known.Suspected->Started == Entry.Started &&
                           isOlder(*Known.Suspected, Entry);
  Known.Suspected = Entry;
  return !IsAdvancing;
}

void ServerList::applyEntry(Server &Known, const ServerChange &Row,
                            ListUpdate &Out) {
  const Target &Entry = *Row.Entry;
  if (isDelayedWrite(Known, Entry)) {
    Known.LateVersion = Row.Version;
    return;
  }
  // A peer that has just started may list the late write.
  const bool OnlyHeartbeat = Known.Listed &&
                             Known.Listed->equalsIgnoringHeartbeat(Entry) &&
                             Known.LateVersion <= Known.Version;
  Known.Listed = Entry;
  Known.Removed.reset();
  Known.Suspected.reset();
  Known.Version = Row.Version;
  Out.Changes.push_back({Row, OnlyHeartbeat});
}

void ServerList::remove(Server &Known, const ServerChange &Row, Removals Kind,
                        BootTime Now, ListUpdate &Out) {
  Known.Version = Row.Version;
  Known.Suspected.reset();
  if (Known.Listed) {
    Known.Removed = std::exchange(Known.Listed, std::nullopt);
    Known.RemovedAt = Now;
    Known.MayBeExpired = Kind == Removals::MayBeExpired;
  }
  Out.Changes.push_back({Row, false});
}

void ServerList::applyRow(const ServerChange &Row, Removals Kind, BootTime Now,
                          ListUpdate &Out) {
  if (!m_Servers.contains(Row.Id) && Row.Version <= m_Version)
    return;
  Server &Known = m_Servers[Row.Id];
  if (Row.Version <= std::max(Known.Version, Known.LateVersion))
    return;
  if (Row.Entry)
    applyEntry(Known, Row, Out);
  else
    remove(Known, Row, Kind, Now, Out);
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
      applyEntry(Known, Row, Out);
  }
  for (auto &[Id, Known] : m_Servers)
    if (Known.Listed && !Present.contains(Id) && Known.Version <= Version)
      remove(Known, {Version, Id, {}}, Kind, Now, Out);
  m_Version = Version;
  return Out;
}

ListUpdate ServerList::applyChanges(const std::vector<ServerChange> &Rows,
                                    StoreVersion Version, Removals Kind,
                                    BootTime Now) {
  ListUpdate Out;
  for (const ServerChange &Row : Rows)
    applyRow(Row, Kind, Now, Out);
  m_Version = std::max(m_Version, Version);
  return Out;
}

void ServerList::forgetRemoved(BootTime Now) {
  if (Now - m_ForgottenAt < ForgetInterval)
    return;
  m_ForgottenAt = Now;
  for (auto &[Id, Known] : m_Servers)
    if (Now - Known.RemovedAt > m_Options.RemovedEntryRetention)
      Known.Removed.reset();
  std::erase_if(m_Servers, [&](const auto &Entry) {
    const Server &Known = Entry.second;
    // A late write stays in the store until it expires.
    return !Known.Listed && !Known.Removed &&
           Known.LateVersion <= Known.Version;
  });
}

const Target *ServerList::find(const std::string &Id) const {
  const auto Found = m_Servers.find(Id);
  return Found == m_Servers.end() || !Found->second.Listed
             ? nullptr
             : &*Found->second.Listed;
}

} // namespace figlift::dispatch
