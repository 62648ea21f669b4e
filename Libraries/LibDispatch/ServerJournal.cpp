//===- ServerJournal.cpp - Recent changes of the server list --------------===//
//
// Keeps a sliding window of versions.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerJournal.h"

#include <algorithm>

namespace figlift::dispatch {

void ServerJournal::advance(StoreVersion Version, BootTime KnownAt) {
  m_Version = std::max(m_Version, Version);
  m_KnownAt = std::max(m_KnownAt, KnownAt);
}

void ServerJournal::recordFullRead(StoreVersion Version, BootTime RequestedAt) {
  if (Version < m_Version)
    return;
  advance(Version, RequestedAt);
  m_After = Version;
  m_Changes.clear();
  m_Checkpoints.clear();
}

void ServerJournal::recordChanges(StoreVersion Version, BootTime RequestedAt,
                                  std::vector<ServerChange> Changes) {
  if (Version.Era != m_Version.Era)
    return recordFullRead(Version, RequestedAt);
  for (ServerChange &Change : Changes)
    if (Change.Version > m_Version)
      m_Changes.push_back(std::move(Change));
  advance(Version, RequestedAt);
  m_Checkpoints.push_back({RequestedAt, m_Version});
  dropExpired(RequestedAt);
}

void ServerJournal::dropExpired(BootTime Now) {
  while (!m_Checkpoints.empty() &&
         Now - m_Checkpoints.front().At > RetentionTime) {
    m_After = std::max(m_After, m_Checkpoints.front().Version);
    m_Checkpoints.pop_front();
  }
  while (m_Changes.size() > MaximumChanges)
    m_After = std::max(
        m_After, m_Changes[m_Changes.size() - 1 - MaximumChanges].Version),
    m_Changes.pop_front();
  while (!m_Changes.empty() && m_Changes.front().Version <= m_After)
    m_Changes.pop_front();
}

UpdateResult ServerJournal::applyUpdate(const ServerUpdate &Update,
                                        BootTime Now) {
  // Ignores updates that are outdated, duplicated, or of an earlier era.
  if (Update.UpTo < m_Version || Update.After > Update.UpTo)
    return NoChanges{};
  if (Update.After > m_Version)
    return MissingVersions{};
  ServerChanges Accepted;
  for (const ServerChange &Change : Update.Changes)
    if (Change.Version > m_Version && Change.Version <= Update.UpTo)
      Accepted.Changes.push_back(Change);
  recordChanges(Update.UpTo, Now - Update.Age, Accepted.Changes);
  if (Accepted.Changes.empty())
    return NoChanges{};
  return Accepted;
}

ServerUpdate ServerJournal::makeUpdate(BootTime Now) const {
  ServerUpdate Update;
  Update.After = m_After;
  Update.UpTo = m_Version;
  Update.Age = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(BootClock::duration::zero(), Now - m_KnownAt));
  Update.Changes.assign(m_Changes.begin(), m_Changes.end());
  return Update;
}

} // namespace figlift::dispatch
