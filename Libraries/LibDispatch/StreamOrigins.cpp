//===- StreamOrigins.cpp - Software versions at which streams began -------===//
//
// See StreamOrigins.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StreamOrigins.h"

#include <utility>

namespace figlift::dispatch {

void StreamOrigins::recordEvent(const StreamKey &Stream,
                                const StreamOrigin &Origin, BootTime Now) {
  record(Stream, Origin, false, Now);
  m_Open.insert(Stream);
  m_New.insert(Stream);
}

void StreamOrigins::applyUpdate(const StreamOriginUpdate &Update,
                                BootTime Now) {
  m_Versions.recordTold(Update.Origin, Now);
  if (Update.Streams.empty())
    m_Versions.recordToldRecorded(Update.Origin);
  for (const StreamKey &Stream : Update.Streams)
    record(Stream, Update.Origin, true, Now);
}

/// A stream keeps the origin that was heard of first.
void StreamOrigins::record(const StreamKey &Stream, const StreamOrigin &Origin,
                           bool FromPeer, BootTime Now) {
  forgetOld(Now);
  const auto [Found, IsNew] = m_Streams.try_emplace(Stream);
  Entry &Known = Found->second;
  if (IsNew) {
    m_Order.push_back(Stream);
    Known = {Origin, FromPeer, Now, std::prev(m_Order.end())};
  } else {
    m_Order.splice(m_Order.end(), m_Order, Known.Position);
    Known.HeardAt = Now;
  }
  if (m_Streams.size() > m_Options.MaximumStreams)
    eraseOldest();
}

void StreamOrigins::forgetOld(BootTime Now) {
  while (!m_Order.empty() &&
         Now - m_Streams.at(m_Order.front()).HeardAt > m_Options.Retention)
    eraseOldest();
}

void StreamOrigins::eraseOldest() {
  m_New.erase(m_Order.front());
  m_Open.erase(m_Order.front());
  m_Streams.erase(m_Order.front());
  m_Order.pop_front();
}

std::vector<StreamOriginUpdate> StreamOrigins::takeUpdates(BootTime Now) {
  std::set<StreamKey> Told = std::exchange(m_New, {});
  if (Now - m_ToldAllAt >= m_Options.RetellInterval) {
    m_ToldAllAt = Now;
    Told.insert(m_Open.begin(), m_Open.end());
  }
  std::map<StreamOrigin, std::vector<StreamKey>> ByOrigin;
  for (const StreamKey &Stream : Told) {
    Entry &Known = m_Streams.at(Stream);
    m_Order.splice(m_Order.end(), m_Order, Known.Position);
    Known.HeardAt = Now;
    ByOrigin[Known.Origin].push_back(Stream);
  }
  std::vector<StreamOriginUpdate> Updates;
  for (StreamOrigin &Recorded : m_Versions.takeNewlyRecorded())
    Updates.push_back({std::move(Recorded), {}});
  for (const auto &[Origin, Streams] : ByOrigin)
    for (size_t I = 0; I < Streams.size(); ++I) {
      if (I % m_Options.MaximumPerUpdate == 0)
        Updates.push_back({Origin, {}});
      Updates.back().Streams.push_back(Streams[I]);
    }
  return Updates;
}

OriginLookup StreamOrigins::find(const std::optional<StreamKey> &Stream,
                                 const std::string &Service, BootTime ResumedAt,
                                 BootTime Now) const {
  if (Stream)
    if (const auto Known = m_Streams.find(*Stream);
        Known != m_Streams.end() &&
        Now - Known->second.HeardAt <= m_Options.Retention)
      return KnownOrigin{Known->second.Origin, Known->second.FromPeer,
                         Now - Known->second.HeardAt};
  return std::visit([](const auto &Found) -> OriginLookup { return Found; },
                    m_Versions.find(Service, ResumedAt, Now));
}

} // namespace figlift::dispatch
