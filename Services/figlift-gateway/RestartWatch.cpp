//===- RestartWatch.cpp - Detects servers that may have restarted ---------===//
//
// A few connection attempts in a row, closed as soon as they are established.
// Connections that are lost meanwhile begin the count anew.
//
//===----------------------------------------------------------------------===//

#include "RestartWatch.h"

#include "LibLog/Guard.h"
#include "LibLog/Log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

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
  const bool IsNew = m_ProbesLeft.insert_or_assign(Server, Probes).second;
  // The exchange that was lost has to end in any case.
  if (IsNew && !log::guarded("probe of a server", Server.TargetId,
                             [&] { probe(Server); }))
    m_ProbesLeft.erase(Server);
}

void RestartWatch::probe(const ServerStart &Server) {
  const dispatch::Target *Listed = listed(Server);
  ErrorCode Code;
  const auto Host =
      Listed ? asio::ip::make_address_v4(Listed->Address.Address, Code)
             : asio::ip::address_v4();
  if (!Listed || Code) {
    m_ProbesLeft.erase(Server);
    return;
  }
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
          m_ProbesLeft.erase(Server);
      });
}

void RestartWatch::probeEnded(const ServerStart &Server,
                              const ErrorCode &Result) {
  const auto Left = m_ProbesLeft.find(Server);
  // A running server that has too many connections resets further ones.
  if (Result == asio::error::connection_refused)
    refused(Server);
  // Without an answer, the address is not reached by others either.
  if (Result || --Left->second == 0) {
    m_ProbesLeft.erase(Left);
    return;
  }
  const auto Pause = std::make_shared<asio::steady_timer>(m_Loop, ProbePause);
  Pause->async_wait([this, Pause, Server](const ErrorCode &Stopped) {
    if (!Stopped && !log::guarded("probe of a server", Server.TargetId,
                                  [&] { probe(Server); }))
      m_ProbesLeft.erase(Server);
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
