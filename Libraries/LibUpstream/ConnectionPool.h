//===- ConnectionPool.h - Connections to one server -------------*- C++ -*-===//
//
// Keeps connections to one target for reuse, within this process's share of
// what the target accepts from all callers together: beyond that number the
// target resets connections, whoever opened them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibUpstream/ServerConnection.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace figlift::upstream {

struct PoolSettings {
  ConnectionTimeouts Timeouts;
  /// Idle time after which a connection is not used again where the server
  /// has not said how long it keeps one.
  std::chrono::milliseconds DefaultIdleTimeout{4000};
  /// A connection this close to the server's idle timeout is not used: the
  /// server's close and the request would cross, and a request that may not
  /// be repeated would end with an unknown outcome.
  std::chrono::milliseconds ExpiryMargin{1200};
};

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  ConnectionPool(boost::asio::io_context &Loop, Endpoint Peer,
                 PoolSettings Settings);

  /// An idle connection, the one used last, or a new one; null when the share
  /// is used up.
  std::shared_ptr<ServerConnection> take(BootTime Now);
  /// Most connections that this process may have open here.
  void limit(size_t Connections) { m_Limit = Connections; }
  /// Closes what is idle; connections in use are closed as they end.
  void retire();

  size_t open() const { return m_Open; }
  uint64_t opened() const { return m_Opened; }

private:
  void changed(ServerConnection &Connection);
  bool usable(const ServerConnection &Connection, BootTime Now) const;

  boost::asio::io_context &m_Loop;
  Endpoint m_Peer;
  PoolSettings m_Settings;
  size_t m_Limit = 16;
  /// Connections that are not closed, idle ones included.
  size_t m_Open = 0;
  /// Connections made since the start.
  uint64_t m_Opened = 0;
  bool m_Retired = false;
  std::vector<std::shared_ptr<ServerConnection>> m_Idle;
};

} // namespace figlift::upstream
