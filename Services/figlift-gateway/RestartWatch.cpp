//===- RestartWatch.cpp - Detects servers that may have restarted ---------===//
//
// A few connection attempts in a row, closed as soon as they are established.
//
//===----------------------------------------------------------------------===//

#include "RestartWatch.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>

namespace figlift::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using dispatch::ServerStart;
using ErrorCode = boost::system::error_code;

namespace {

/// A connection attempt with its timeout, or the pause before it.
struct ProbeConnection {
  explicit ProbeConnection(asio::io_context &Loop)
      : Socket(Loop), Timer(Loop) {}

  tcp::socket Socket;
  asio::steady_timer Timer;
};

} // namespace

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
  ErrorCode Code;
  const auto Host =
      Listed ? asio::ip::make_address_v4(Listed->Address.Address, Code)
             : asio::ip::address_v4();
  if (!Listed || Code)
    return end(Server);
  ++m_Series[Server].Sent;
  const auto Probe = std::make_shared<ProbeConnection>(m_Loop);
  Probe->Timer.expires_after(ProbeTimeout);
  Probe->Timer.async_wait([Probe](const ErrorCode &Stopped) {
    ErrorCode Ignored; // The attempt ends in any case.
    if (!Stopped)
      Probe->Socket.close(Ignored);
  });
  Probe->Socket.async_connect(
      {Host, Listed->Address.Port},
      [this, Probe, Server](const ErrorCode &Result) {
        Probe->Timer.cancel();
        // The next loss begins another series.
        if (!log::guarded("probe of a server", Server.TargetId,
                          [&] { probeEnded(Server, Result); }))
          end(Server);
      });
}

void RestartWatch::probeEnded(const ServerStart &Server,
                              const ErrorCode &Result) {
  const auto Current = m_Series.find(Server);
  // A running server that has too many connections resets further ones.
  if (Result == asio::error::connection_refused)
    refused(Server);
  // Without an answer, the address is not reached by others either.
  if (Result || Current == m_Series.end() || --Current->second.Left == 0)
    return end(Server);
  const auto Pause = std::make_shared<asio::steady_timer>(m_Loop, ProbePause);
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
