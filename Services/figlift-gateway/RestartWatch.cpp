//===- RestartWatch.cpp - Detects servers that may have restarted ---------===//
//
// A few probes in a row.
//
//===----------------------------------------------------------------------===//

#include "RestartWatch.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>

namespace figlift::gateway {

using dispatch::ServerStart;
using upstream::ProbeResult;
using ErrorCode = boost::system::error_code;

const dispatch::Target *RestartWatch::listed(const ServerStart &Server) const {
  const dispatch::Target *Found = m_Table.find(Server.TargetId);
  return Found && Found->start() == Server ? Found : nullptr;
}

bool RestartWatch::needsEntries() const {
  return m_Versions.anyUnconfirmed([this](const ServerStart &Server) {
    const dispatch::Target *Listed = listed(Server);
    return Listed && !Listed->Draining;
  });
}

void RestartWatch::connectionLost(const ServerStart &Server) {
  if (!Server.Started)
    return;
  Series &Current = m_Series[Server];
  if (Current.IsRunning && Current.Sent < MaximumProbes) {
    Current.Left = std::min(Probes, MaximumProbes - Current.Sent);
    return;
  }
  Current.IsWanted = true;
  if (!Current.IsRunning && BootClock::now() - Current.EndedAt >= SeriesPause)
    start(Server, Current);
}

void RestartWatch::tick(BootTime Now) {
  const auto IsListed = [this](const ServerStart &Server) {
    return listed(Server) != nullptr;
  };
  m_Versions.expire(IsListed, Now);
  std::erase_if(m_Series, [&](const auto &Entry) {
    const Series &Past = Entry.second;
    return !Past.IsRunning && !Past.IsWanted &&
           Now - Past.EndedAt >= SeriesPause;
  });
  for (auto &[Server, Next] : m_Series)
    if (!Next.IsRunning && Next.IsWanted && Now - Next.EndedAt >= SeriesPause)
      start(Server, Next);
}

void RestartWatch::start(const ServerStart &Server, Series &Next) {
  Next = {.Left = Probes, .IsRunning = true};
  // The exchange that was lost has to end in any case.
  if (!log::guarded("probe of a server", Server.TargetId,
                    [&] { probe(Server); }))
    end(Server);
}

void RestartWatch::end(const ServerStart &Server) {
  const auto Found = m_Series.find(Server);
  if (Found == m_Series.end())
    return;
  Found->second.IsRunning = false;
  Found->second.EndedAt = BootClock::now();
}

void RestartWatch::probe(const ServerStart &Server) {
  const dispatch::Target *Listed = listed(Server);
  if (!Listed)
    return end(Server);
  ++m_Series[Server].Sent;
  upstream::probeServer(
      m_Loop, Listed->Address, {ProbeTimeout},
      [this, Server](ProbeResult Result) {
        // The next loss begins another series.
        if (!log::guarded("probe of a server", Server.TargetId,
                          [&] { probeEnded(Server, Result); }))
          end(Server);
      });
}

void RestartWatch::probeEnded(const ServerStart &Server, ProbeResult Result) {
  const auto Current = m_Series.find(Server);
  // A running server that has too many connections resets further ones.
  if (Result == ProbeResult::Refused)
    refused(Server);
  // Without an answer, the address is not reached by others either.
  if (Result != ProbeResult::Accepted || Current == m_Series.end() ||
      --Current->second.Left == 0)
    return end(Server);
  const auto Pause =
      std::make_shared<boost::asio::steady_timer>(m_Loop, ProbePause);
  Pause->async_wait([this, Pause, Server](const ErrorCode &Stopped) {
    if (!Stopped && !log::guarded("probe of a server", Server.TargetId,
                                  [&] { probe(Server); }))
      end(Server);
  });
}

void RestartWatch::refused(const ServerStart &Server) {
  const BootTime Now = BootClock::now();
  const dispatch::Target *Listed = listed(Server);
  if (!Listed || !m_Versions.recordRefusal(Server, Now))
    return;
  ++m_Refusals;
  if (m_Log.allows(LineKind::State, Now))
    log::logEvent(log::Level::Info, "server-version-unconfirmed",
                  {{"target", Server.TargetId},
                   {"softwareVersion", Listed->SoftwareVersion},
                   {"heartbeat", Listed->Heartbeat}});
}

void RestartWatch::entryRead(const dispatch::Target &Entry,
                             dispatch::VersionConfirmation::Read Kind) {
  const BootTime Now = BootClock::now();
  const auto Unconfirmed = m_Versions.recordEntry(Entry, Kind, Now);
  if (Unconfirmed && m_Log.allows(LineKind::State, Now))
    log::logEvent(
        log::Level::Info, "server-version-confirmed",
        {{"target", Entry.Id},
         {"softwareVersion", Entry.SoftwareVersion},
         {"heartbeat", Entry.Heartbeat},
         {"afterMs", std::chrono::duration<double, std::milli>(*Unconfirmed)}});
}

} // namespace figlift::gateway
