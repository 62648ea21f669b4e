//===- LateEntries.cpp - Entries that are late, lapse or go ---------------===//
//
// See LateEntries.h.
//
//===----------------------------------------------------------------------===//

#include "LateEntries.h"

#include <algorithm>
#include <map>

#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds HeartbeatInterval{400};
/// The store removes an entry after three intervals without a heartbeat.
constexpr milliseconds ExpiryTime = 3 * HeartbeatInterval;
constexpr unsigned PercentOfLateWrites = 50;
/// Writes are late for some time, and then for some time not.
constexpr unsigned MinimumSpellMs = 1500;
constexpr unsigned MaximumSpellMs = 2500;
/// Writes of a spell come in their order, as they do where a link is slow.
constexpr unsigned MinimumLatenessMs = 3000;
constexpr unsigned MaximumLatenessMs = 6000;
/// Late writes are known as such by later ones that are performed in time.
constexpr milliseconds TimeUntilKnown = 3 * HeartbeatInterval;
constexpr unsigned MinimumWithdrawalPauseMs = 200;
constexpr unsigned MaximumWithdrawalPauseMs = 1500;
/// Servers that have left serve on for this long, until another one is at their
/// address.
constexpr unsigned MinimumServingMs = 4000;
constexpr unsigned MaximumServingMs = 8000;
/// Until the gateways know each other and have some requests in progress.
constexpr milliseconds OutagePause{8000};
constexpr milliseconds TimeUntilLapse{2000};
constexpr milliseconds TimeUntilReturn{1300};
constexpr milliseconds TimeUntilHeartbeat{1300};

} // namespace

unsigned LateEntries::draw(unsigned Minimum, unsigned Maximum) {
  return std::uniform_int_distribution<unsigned>(Minimum, Maximum)(m_Random);
}

void LateEntries::tick(BootTime Now, bool AllowNew) {
  advanceOutage(Now, AllowNew);
  performLateWrites(Now);
  expire(Now);
  endWithdrawals(Now);
  if (Now >= m_NextBeat && m_Phase != Phase::Away && m_Phase != Phase::Lapsed)
    beat(Now, AllowNew);
  if (m_HasLapsed && !isAnyPlainReady())
    m_Checker.expectUse("plain", Now);
  if (AllowNew && m_Phase == Phase::Calm && Now >= m_NextWithdrawal)
    withdraw(Now);
}

bool LateEntries::isAnyPlainReady() const {
  for (unsigned I = 0; I < m_Fleet.servers(); ++I)
    if (m_Fleet.isPlain(I) && m_Fleet.isReady(I))
      return true;
  return false;
}

bool LateEntries::isLapsed(unsigned Server) const {
  return std::find(m_Lapsing.begin(), m_Lapsing.end(), Server) !=
         m_Lapsing.end();
}

void LateEntries::beat(BootTime Now, bool AllowLate) {
  m_NextBeat = Now + HeartbeatInterval;
  if (Now >= m_NextSpell) {
    m_IsDelaying = !m_IsDelaying;
    m_NextSpell = Now + milliseconds(draw(MinimumSpellMs, MaximumSpellMs));
    m_Lateness = milliseconds(draw(MinimumLatenessMs, MaximumLatenessMs));
  }
  for (unsigned I = 0; I < m_Fleet.servers(); ++I) {
    if (isLapsed(I) || !m_Fleet.isListed(I))
      continue;
    if (!AllowLate || !m_IsDelaying || draw(1, 100) > PercentOfLateWrites) {
      m_Fleet.beat(I);
      continue;
    }
    m_DelayedAt = Now;
    m_LateWrites.push_back(
        {Now + m_Lateness, m_Fleet.serverId(I), m_Fleet.nextEntry(I)});
  }
}

void LateEntries::performLateWrites(BootTime Now) {
  std::erase_if(m_LateWrites, [&](const LateWrite &Write) {
    if (Now < Write.Due)
      return false;
    m_Fleet.store().put("servers", Write.Id, Write.Entry);
    m_Expiries.push_back({Write.Id, Now + ExpiryTime});
    m_History.push_back("late write of " + Write.Id);
    return true;
  });
}

unsigned LateEntries::mostDelayed() const {
  std::map<std::string, int> Pending;
  for (const LateWrite &Write : m_LateWrites)
    ++Pending[Write.Id];
  unsigned Most = 0;
  for (unsigned I = 1; I < m_Fleet.servers(); ++I)
    if (Pending[m_Fleet.serverId(I)] > Pending[m_Fleet.serverId(Most)])
      Most = I;
  return Most;
}

/// Removes what late writes have left of servers that write no more.
void LateEntries::expire(BootTime Now) {
  std::erase_if(m_Expiries, [&](const Expiry &Entry) {
    if (Now < Entry.At)
      return false;
    if (!m_Fleet.isListed(Entry.Id))
      m_Fleet.store().remove("servers", Entry.Id);
    return true;
  });
}

void LateEntries::withdraw(BootTime Now) {
  m_NextWithdrawal = Now + milliseconds(draw(MinimumWithdrawalPauseMs,
                                             MaximumWithdrawalPauseMs));
  const unsigned Server = mostDelayed();
  if (Now < m_DelayedAt + TimeUntilKnown || !m_Fleet.isReady(Server))
    return;
  m_Withdrawn.push_back(
      {Server, m_Fleet.serverId(Server),
       Now + milliseconds(draw(MinimumServingMs, MaximumServingMs))});
  m_History.push_back("entry removed of " + m_Fleet.serverId(Server));
  m_Fleet.withdraw(Server);
}

void LateEntries::endWithdrawals(BootTime Now) {
  std::erase_if(m_Withdrawn, [&](const Withdrawal &Entry) {
    // Another fault may have replaced it.
    const bool IsThere = m_Fleet.serverId(Entry.Server) == Entry.Id;
    if (IsThere && Now < Entry.Until)
      return false;
    if (IsThere)
      m_Fleet.replace(Entry.Server);
    return true;
  });
}

void LateEntries::advanceOutage(BootTime Now, bool AllowNew) {
  if (m_Phase == Phase::Away || m_Phase == Phase::Lapsed)
    m_Checker.recordFault(InvariantChecker::AllGateways, Now);
  if (m_NextPhase == BootTime{})
    m_NextPhase = Now + OutagePause;
  if (Now < m_NextPhase)
    return;
  switch (m_Phase) {
  case Phase::Calm:
    if (!AllowNew)
      return;
    m_History.push_back(
        "the store is away, and entries of plain servers lapse");
    m_Fleet.store().Unavailable = true;
    m_Phase = Phase::Away;
    m_NextPhase = Now + TimeUntilLapse;
    return;
  case Phase::Away:
    for (unsigned I = 0; I < m_Fleet.servers(); ++I)
      if (m_Fleet.isPlain(I) && m_Fleet.isReady(I)) {
        m_Lapsing.push_back(I);
        m_Fleet.store().remove("servers", m_Fleet.serverId(I));
      }
    m_Phase = Phase::Lapsed;
    m_NextPhase = Now + TimeUntilReturn;
    return;
  case Phase::Lapsed:
    m_Fleet.store().Unavailable = false;
    m_Phase = Phase::Back;
    m_NextPhase = Now + TimeUntilHeartbeat;
    return;
  case Phase::Back:
    m_HasLapsed = true;
    m_Checker.expectUse("plain", Now);
    for (const unsigned Server : std::exchange(m_Lapsing, {}))
      if (m_Fleet.isReady(Server))
        m_Fleet.beat(Server);
    m_Phase = Phase::Calm;
    m_NextPhase = Now + OutagePause;
    return;
  }
}

} // namespace figlift::soak
