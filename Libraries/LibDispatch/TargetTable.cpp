//===- TargetTable.cpp - The servers that may get work --------------------===//
//
// Merges whole lists and single changes into one table.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/TargetTable.h"

#include <algorithm>

namespace figlift::dispatch {

TargetTable::TargetTable(TargetTableOptions Options) : m_Options(Options) {}

void TargetTable::storeLost(BootTime Now) {
  m_StoreLost = true;
  m_LastFailure = Now;
}

void TargetTable::storeAnswered(BootTime Now) {
  if (!m_StoreLost)
    return;
  m_StoreLost = false;
  m_GraceUntil = std::min(Now + m_Options.ReregistrationTime,
                          m_LastFailure + m_Options.TimeAfterLastFailure);
}

bool TargetTable::isLateWrite(const Target &Known, const Target &Entry) {
  if (!Entry.isOlderThan(Known)) {
    m_Doubted.erase(Entry.Id);
    return false;
  }
  const auto [Before, IsFirst] = m_Doubted.try_emplace(Entry.Id, Entry);
  if (IsFirst)
    return true;
  const bool Goes = Before->second.Started == Entry.Started &&
                    Before->second.isOlderThan(Entry);
  Before->second = Entry;
  if (!Goes)
    return true;
  m_Doubted.erase(Entry.Id);
  return false;
}

void TargetTable::apply(const Target &Entry, std::vector<TargetEvent> &Out) {
  m_Missing.erase(Entry.Id);
  if (isStaleEntryOfGone(Entry))
    return;
  const auto [Found, IsNew] = m_Targets.try_emplace(Entry.Id, Entry);
  if (IsNew) {
    Out.emplace_back(TargetCame{Entry});
    return;
  }
  if (isLateWrite(Found->second, Entry))
    return;
  if (Found->second.Started != Entry.Started) {
    Found->second = Entry;
    Out.emplace_back(TargetGone{Entry.Id});
    Out.emplace_back(TargetCame{Entry});
    return;
  }
  if (Found->second.saysTheSame(Entry)) {
    Found->second.Heartbeat = Entry.Heartbeat;
    return;
  }
  const bool DrainsNow = Entry.Draining && !Found->second.Draining;
  Found->second = Entry;
  if (DrainsNow)
    Out.emplace_back(TargetDrains{Entry.Id});
  else
    Out.emplace_back(TargetChanged{Entry});
}

void TargetTable::drop(const std::string &Id, BootTime Now,
                       std::vector<TargetEvent> &Out) {
  m_Missing.erase(Id);
  m_Doubted.erase(Id);
  const auto Found = m_Targets.find(Id);
  if (Found == m_Targets.end())
    return;
  m_Gone.insert_or_assign(Id, std::pair(Found->second, Now));
  m_Targets.erase(Found);
  Out.emplace_back(TargetGone{Id});
}

/// Whether \p Entry says nothing later of a server than was known when it went.
bool TargetTable::isStaleEntryOfGone(const Target &Entry) {
  const auto Found = m_Gone.find(Entry.Id);
  if (Found == m_Gone.end())
    return false;
  const Target &Last = Found->second.first;
  if (!Last.isOlderThan(Entry) &&
      (Entry.Heartbeat == Last.Heartbeat || isLateWrite(Last, Entry)))
    return true;
  m_Gone.erase(Found);
  return false;
}

std::vector<TargetEvent>
TargetTable::replaceAll(const std::vector<Target> &Listed, BootTime Now) {
  storeAnswered(Now);
  std::vector<TargetEvent> Out;
  std::set<std::string> Absent;
  for (const auto &[Id, Entry] : m_Targets)
    Absent.insert(Id);
  for (const Target &Entry : Listed) {
    Absent.erase(Entry.Id);
    apply(Entry, Out);
  }
  for (const std::string &Id : Absent) {
    if (m_GraceUntil && Now < *m_GraceUntil)
      m_Missing.insert(Id);
    else
      drop(Id, Now, Out);
  }
  return Out;
}

std::vector<TargetEvent> TargetTable::update(const Target &Entry,
                                             BootTime Now) {
  storeAnswered(Now);
  std::vector<TargetEvent> Out;
  apply(Entry, Out);
  return Out;
}

std::vector<TargetEvent> TargetTable::remove(const std::string &Id,
                                             BootTime Now) {
  storeAnswered(Now);
  std::vector<TargetEvent> Out;
  if (m_GraceUntil && Now < *m_GraceUntil && m_Targets.contains(Id))
    m_Missing.insert(Id);
  else
    drop(Id, Now, Out);
  return Out;
}

std::vector<TargetEvent> TargetTable::tick(BootTime Now) {
  std::vector<TargetEvent> Out;
  std::erase_if(m_Gone, [&](const auto &Each) {
    return Now - Each.second.second > m_Options.RememberGone;
  });
  if (!m_GraceUntil || Now < *m_GraceUntil || m_StoreLost)
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
