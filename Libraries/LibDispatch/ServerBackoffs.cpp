//===- ServerBackoffs.cpp - Servers that asked for a pause ----------------===//
//
// See ServerBackoffs.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerBackoffs.h"

#include <algorithm>

namespace figlift::dispatch {

bool ServerBackoffs::record(const ServerStart &Server,
                            std::chrono::milliseconds Time, BootTime Now) {
  std::erase_if(m_Ends, [&](const auto &Entry) { return Entry.second <= Now; });
  const BootTime End = Now + Time;
  if (End <= Now)
    return false;
  const auto [Entry, IsNew] = m_Ends.try_emplace(Server, End);
  if (!IsNew && End <= Entry->second)
    return false;
  Entry->second = End;
  return true;
}

std::vector<std::string> ServerBackoffs::activeIds(BootTime Now) const {
  std::vector<std::string> Ids;
  for (const auto &[Server, End] : m_Ends)
    if (Now < End)
      Ids.push_back(Server.TargetId);
  return Ids;
}

std::optional<BootClock::duration>
ServerBackoffs::firstEnd(std::span<const Target *const> Servers,
                         BootTime Now) const {
  std::optional<BootClock::duration> First;
  for (const Target *Server : Servers) {
    const auto Entry = m_Ends.find(Server->start());
    if (Entry == m_Ends.end() || Entry->second <= Now)
      continue;
    const BootClock::duration Left = Entry->second - Now;
    First = First ? std::min(*First, Left) : Left;
  }
  return First;
}

} // namespace figlift::dispatch
