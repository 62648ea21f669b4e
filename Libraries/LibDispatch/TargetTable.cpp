//===- TargetTable.cpp - Servers that are used ----------------------------===//
//
// See TargetTable.h.
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

void TargetTable::applyEntry(Target Entry, std::vector<TargetEvent> &Out) {
  m_Missing.erase(Entry.Id);
  if (m_ShuttingDown.contains(Entry.start()))
    Entry.Draining = true;
  const auto [Found, IsNew] = m_Targets.try_emplace(Entry.Id, Entry);
  if (IsNew) {
    Out.emplace_back(TargetAdded{Entry});
    return;
  }
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

void TargetTable::drop(const std::string &Id, std::vector<TargetEvent> &Out) {
  m_Missing.erase(Id);
  if (m_Targets.erase(Id) > 0)
    Out.emplace_back(TargetRemoved{Id});
}

std::vector<TargetEvent>
TargetTable::apply(const std::vector<ListedChange> &Changes, BootTime Now) {
  std::vector<TargetEvent> Out;
  for (const auto &[Change, OnlyHeartbeat] : Changes) {
    if (Change.Entry)
      applyEntry(*Change.Entry, Out);
    else if (awaitsRegistrations(Now) && m_Targets.contains(Change.Id))
      m_Missing.insert(Change.Id);
    else
      drop(Change.Id, Out);
  }
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

void TargetTable::forgetOldShutdowns(BootTime Now) {
  for (auto &[Server, ListedAt] : m_ShuttingDown)
    if (const Target *Listed = find(Server.TargetId);
        Listed && Listed->start() == Server)
      ListedAt = Now;
  std::erase_if(m_ShuttingDown, [&](const auto &Entry) {
    return Now - Entry.second > m_Options.ShutdownRetention;
  });
}

std::vector<TargetEvent> TargetTable::tick(BootTime Now) {
  std::vector<TargetEvent> Out;
  forgetOldShutdowns(Now);
  if (!m_GraceUntil || Now < *m_GraceUntil || m_StoreUnavailable)
    return Out;
  m_GraceUntil.reset();
  for (const std::string &Id : std::set<std::string>(std::move(m_Missing)))
    drop(Id, Out);
  m_Missing.clear();
  return Out;
}

const Target *TargetTable::find(const std::string &Id) const {
  const auto Found = m_Targets.find(Id);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

} // namespace figlift::dispatch
