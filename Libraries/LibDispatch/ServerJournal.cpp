//===- ServerJournal.cpp - Changes of the list of servers, in order -------===//
//
// A window of versions that slides with time.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerJournal.h"

#include <algorithm>

namespace figlift::dispatch {

void ServerJournal::advance(StoreVersion Version, BootTime KnownAt) {
  m_Version = std::max(m_Version, Version);
  m_KnownAt = std::max(m_KnownAt, KnownAt);
}

void ServerJournal::wholeRead(StoreVersion Version, BootTime AskedAt) {
  if (Version < m_Version)
    return;
  advance(Version, AskedAt);
  m_After = Version;
  m_Changes.clear();
  m_Marks.clear();
}

void ServerJournal::changesRead(StoreVersion Version, BootTime AskedAt,
                                std::vector<ServerChange> Changes) {
  if (Version.Era != m_Version.Era)
    return wholeRead(Version, AskedAt);
  for (ServerChange &Each : Changes)
    if (Each.Version > m_Version)
      m_Changes.push_back(std::move(Each));
  advance(Version, AskedAt);
  m_Marks.push_back({AskedAt, m_Version});
  forgetOld(AskedAt);
}

void ServerJournal::forgetOld(BootTime Now) {
  while (!m_Marks.empty() && Now - m_Marks.front().At > KeepTime) {
    m_After = std::max(m_After, m_Marks.front().Version);
    m_Marks.pop_front();
  }
  while (m_Changes.size() > MaximumChanges)
    m_After = std::max(
        m_After, m_Changes[m_Changes.size() - 1 - MaximumChanges].Version),
    m_Changes.pop_front();
  while (!m_Changes.empty() && m_Changes.front().Version <= m_After)
    m_Changes.pop_front();
}

NewsVerdict ServerJournal::heard(const ServerNews &News, BootTime Now) {
  // Old news that come late, or twice, say nothing of now; nor do those of an
  // era that is over.
  if (News.UpTo < m_Version || News.After > News.UpTo)
    return NothingNew{};
  if (News.After > m_Version)
    return MissingPart{};
  NewChanges Told;
  for (const ServerChange &Each : News.Changes)
    if (Each.Version > m_Version && Each.Version <= News.UpTo)
      Told.Changes.push_back(Each);
  changesRead(News.UpTo, Now - News.Age, Told.Changes);
  if (Told.Changes.empty())
    return NothingNew{};
  return Told;
}

ServerNews ServerJournal::news(BootTime Now) const {
  ServerNews Told;
  Told.After = m_After;
  Told.UpTo = m_Version;
  Told.Age = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(BootClock::duration::zero(), Now - m_KnownAt));
  Told.Changes.assign(m_Changes.begin(), m_Changes.end());
  return Told;
}

} // namespace figlift::dispatch
