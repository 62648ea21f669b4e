//===- VersionConfirmation.cpp - Servers that may have restarted ----------===//
//
// See VersionConfirmation.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/VersionConfirmation.h"

#include <algorithm>

namespace figlift::dispatch {

bool VersionConfirmation::recordRefusal(const ServerStart &Server,
                                        BootTime Now) {
  if (!Server.Started)
    return false;
  const auto [Found, IsNew] = m_Unconfirmed.try_emplace(Server);
  Entry &Refused = Found->second;
  if (IsNew)
    Refused.UnconfirmedSince = Now;
  Refused.ListedAt = Now;
  Refused.RefusedAt = Now;
  Refused.HasRead = false;
  Refused.HasFullRead = false;
  return IsNew;
}

std::optional<BootClock::duration>
VersionConfirmation::recordEntry(const Target &Entry, Read Kind, BootTime Now) {
  const auto Found = m_Unconfirmed.find(Entry.start());
  if (Found == m_Unconfirmed.end())
    return std::nullopt;
  auto &Refused = Found->second;
  // Between two reads of changes, the entry may have been written unseen: what
  // peers announce in between is not read again.
  const bool HasBaseline =
      Kind == Read::Full ? Refused.HasFullRead : Refused.HasRead;
  if (HasBaseline && Entry.Heartbeat > Refused.Heartbeat) {
    const auto Since = Refused.UnconfirmedSince;
    m_Unconfirmed.erase(Found);
    return Now - Since;
  }
  Refused.Heartbeat = std::max(Refused.Heartbeat, Entry.Heartbeat);
  return std::nullopt;
}

void VersionConfirmation::recordRead(Read Kind, BootTime KnownAt) {
  for (auto &[Server, Refused] : m_Unconfirmed) {
    if (KnownAt < Refused.RefusedAt)
      continue;
    Refused.HasRead = true;
    if (Kind == Read::Full)
      Refused.HasFullRead = true;
  }
}

} // namespace figlift::dispatch
