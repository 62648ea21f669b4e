//===- TargetTable.cpp - Cached view of the server list -------------------===//
//
// Merges complete lists and single changes into one table.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/TargetTable.h"

#include <algorithm>
#include <utility>

namespace figlift::dispatch {

TargetTable::TargetTable(TargetTableOptions Options) : m_Options(Options) {}

void TargetTable::recordStoreFailure(BootTime Now) {
  m_StoreUnavailable = true;
  m_LastFailure = Now;
}

void TargetTable::recordStoreAnswer(BootTime Now) {
  if (!m_StoreUnavailable)
    return;
  m_StoreUnavailable = false;
  m_GraceUntil = std::min(Now + m_Options.ReregistrationTime,
                          m_LastFailure + m_Options.TimeAfterLastFailure);
}

bool TargetTable::isDelayedWrite(const Target &Current, const Target &Entry) {
  if (!Entry.isOlderThan(Current)) {
    m_SuspectEntries.erase(Entry.Id);
    return false;
  }
  const auto [Suspect, IsFirst] = m_SuspectEntries.try_emplace(Entry.Id, Entry);
  if (IsFirst)
    return true;
  const bool IsAdvancing = Suspect->second.Started == Entry.Started &&
                           Suspect->second.isOlderThan(Entry);
  Suspect->second = Entry;
  if (!IsAdvancing)
    return true;
  m_SuspectEntries.erase(Entry.Id);
  return false;
}

void TargetTable::apply(Target Entry, std::vector<TargetEvent> &Out) {
  m_Missing.erase(Entry.Id);
  if (m_ShuttingDown.contains(Entry.start()))
    Entry.Draining = true;
  if (isStaleRemovedEntry(Entry))
    return;
  const auto [Found, IsNew] = m_Targets.try_emplace(Entry.Id, Entry);
  if (IsNew) {
    Out.emplace_back(TargetAdded{Entry});
    return;
  }
  if (isDelayedWrite(Found->second, Entry))
    return;
  if (Found->second.Started != Entry.Started) {
    Found->second = Entry;
    Out.emplace_back(TargetRemoved{Entry.Id});
    Out.emplace_back(TargetAdded{Entry});
    return;
  }
  if (Found->second.equalsIgnoringHeartbeat(Entry)) {
    Found->second.Heartbeat = Entry.Heartbeat;
    return;
  }
  const bool DrainsNow = Entry.Draining && !Found->second.Draining;
  Found->second = Entry;
  if (DrainsNow)
    Out.emplace_back(TargetDraining{Entry.Id});
  else
    Out.emplace_back(TargetChanged{Entry});
}

void TargetTable::drop(const std::string &Id, BootTime Now,
                       std::vector<TargetEvent> &Out) {
  m_Missing.erase(Id);
  m_SuspectEntries.erase(Id);
  const auto Found = m_Targets.find(Id);
  if (Found == m_Targets.end())
    return;
  m_Removed.insert_or_assign(Id, std::pair(Found->second, Now));
  m_Targets.erase(Found);
  Out.emplace_back(TargetRemoved{Id});
}

/// Whether \p Entry is no newer than the last entry of a removed server.
bool TargetTable::isStaleRemovedEntry(const Target &Entry) {
  const auto Found = m_Removed.find(Entry.Id);
  if (Found == m_Removed.end())
    return false;
  const Target &LastEntry = Found->second.first;
  if (!LastEntry.isOlderThan(Entry) &&
      (Entry.Heartbeat == LastEntry.Heartbeat ||
       isDelayedWrite(LastEntry, Entry)))
    return true;
  m_Removed.erase(Found);
  return false;
}

std::vector<TargetEvent>
TargetTable::replaceAll(const std::vector<Target> &Listed, BootTime Now) {
  recordStoreAnswer(Now);
  std::vector<TargetEvent> Out;
  std::set<std::string> Unlisted;
  for (const auto &[Id, Entry] : m_Targets)
    Unlisted.insert(Id);
  for (const Target &Entry : Listed) {
    Unlisted.erase(Entry.Id);
    apply(Entry, Out);
  }
  for (const std::string &Id : Unlisted) {
    if (m_GraceUntil && Now < *m_GraceUntil)
      m_Missing.insert(Id);
    else
      drop(Id, Now, Out);
  }
  return Out;
}

std::vector<TargetEvent> TargetTable::update(const Target &Entry,
                                             BootTime Now) {
  recordStoreAnswer(Now);
  std::vector<TargetEvent> Out;
  apply(Entry, Out);
  return Out;
}

std::vector<TargetEvent> TargetTable::remove(const std::string &Id,
                                             BootTime Now) {
  recordStoreAnswer(Now);
  std::vector<TargetEvent> Out;
  if (m_GraceUntil && Now < *m_GraceUntil && m_Targets.contains(Id))
    m_Missing.insert(Id);
  else
    drop(Id, Now, Out);
  return Out;
}

std::vector<TargetEvent> TargetTable::recordShutdown(const ServerStart &Server,
                                                     BootTime Now) {
  m_ShuttingDown.insert_or_assign(Server, Now);
  std::vector<TargetEvent> Out;
  const auto Found = m_Targets.find(Server.TargetId);
  if (Found != m_Targets.end() && Found->second.start() == Server &&
      !std::exchange(Found->second.Draining, true))
    Out.emplace_back(TargetDraining{Server.TargetId});
  return Out;
}

/// An entry may be missing for a moment, and come back from a copy of the store
/// for as long as that of a removed server.
void TargetTable::forgetOldShutdowns(BootTime Now) {
  for (auto &[Server, ListedAt] : m_ShuttingDown)
    if (const Target *Listed = find(Server.TargetId);
        Listed && Listed->start() == Server)
      ListedAt = Now;
  std::erase_if(m_ShuttingDown, [&](const auto &Entry) {
    return Now - Entry.second > m_Options.RemovedEntryRetention;
  });
}

std::vector<TargetEvent> TargetTable::tick(BootTime Now) {
  std::vector<TargetEvent> Out;
  forgetOldShutdowns(Now);
  std::erase_if(m_Removed, [&](const auto &Removed) {
    return Now - Removed.second.second > m_Options.RemovedEntryRetention;
  });
  if (!m_GraceUntil || Now < *m_GraceUntil || m_StoreUnavailable)
    return Out;
  m_GraceUntil.reset();
  for (const std::string &Id : std::set<std::string>(std::move(m_Missing)))
    drop(Id, Now, Out);
  m_Missing.clear();
  return Out;
}

const Target *TargetTable::find(const std::string &Id) const {
  const auto Found = m_Targets.find(Id);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

} // namespace figlift::dispatch
