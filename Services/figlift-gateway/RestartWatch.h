//===- RestartWatch.h - Detects servers that may have restarted -*- C++ -*-===//
//
// The list of servers shows a restart only some time after it, and until then
// names the software version of the earlier start. The end of a process closes
// its connections and its listener. Connections also end while the process goes
// on: links reset them, and servers break off. After a connection has ended,
// the gateway therefore probes the address: only an address that refuses makes
// the version unconfirmed. A process that restarts between two probes is not
// detected.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "DecisionLog.h"

#include "LibDispatch/TargetTable.h"
#include "LibDispatch/VersionConfirmation.h"
#include "LibUpstream/ServerProbe.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>

namespace figlift::gateway {

class RestartWatch {
public:
  RestartWatch(boost::asio::io_context &Loop, DecisionLog &Log,
               const dispatch::TargetTable &Table)
      : m_Loop(Loop), m_Log(Log), m_Table(Table) {}

  /// A connection to the server was lost, or could not be established.
  void connectionLost(const dispatch::ServerStart &Server);
  /// See VersionConfirmation.
  void entryRead(const dispatch::Target &Entry,
                 dispatch::VersionConfirmation::Read Kind);
  void listRead(dispatch::VersionConfirmation::Read Kind, BootTime KnownAt) {
    m_Versions.recordRead(Kind, KnownAt);
  }
  void tick(BootTime Now);

  /// Whether the software version of this start is that of the process which
  /// answers at the address, as far as is known.
  bool isConfirmed(const dispatch::Target &Server) const {
    return m_Versions.isConfirmed(Server.start());
  }
  bool allConfirmed() const { return m_Versions.allConfirmed(); }
  /// Whether an entry that is listed now has to be confirmed.
  bool needsEntries() const;
  /// Starts whose version became unconfirmed.
  uint64_t refusals() const { return m_Refusals; }

private:
  /// A killed process may lose its connections before its listener, and its
  /// successor needs some time to listen: one probe could find either of them.
  static constexpr unsigned Probes = 3;
  static constexpr std::chrono::milliseconds ProbePause{15};
  /// Connections that are lost meanwhile begin the count anew, up to this many
  /// probes in a row. The next ones follow after a pause: a server that resets
  /// connections, because it has too many, must not get more of them.
  static constexpr unsigned MaximumProbes = 6;
  static constexpr std::chrono::milliseconds SeriesPause{500};
  /// As for the probes of CrashWatch.
  static constexpr std::chrono::milliseconds ProbeTimeout{600};

  /// Probes in a row of one server.
  struct Series {
    unsigned Left = 0;
    unsigned Sent = 0;
    bool IsRunning = false;
    /// A connection was lost that no probe has followed.
    bool IsWanted = false;
    BootTime EndedAt{};
  };

  /// Null if this start of the server is not listed.
  const dispatch::Target *listed(const dispatch::ServerStart &Server) const;
  void start(const dispatch::ServerStart &Server, Series &Next);
  void end(const dispatch::ServerStart &Server);
  void probe(const dispatch::ServerStart &Server);
  void probeEnded(const dispatch::ServerStart &Server,
                  upstream::ProbeResult Result);
  void refused(const dispatch::ServerStart &Server);

  boost::asio::io_context &m_Loop;
  DecisionLog &m_Log;
  const dispatch::TargetTable &m_Table;
  dispatch::VersionConfirmation m_Versions;
  /// Of servers that are being probed, or were in the last SeriesPause.
  std::map<dispatch::ServerStart, Series> m_Series;
  uint64_t m_Refusals = 0;
};

} // namespace figlift::gateway
