//===- ConnectionPool.h - Connections to one server -------------*- C++ -*-===//
//
// Keeps connections to one target for reuse, up to this process's share of the
// connections that the target accepts from all clients together. Above that
// total the target resets connections, regardless of which client opened them.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibUpstream/ServerConnection.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace figlift::upstream {

struct PoolSettings {
  ConnectionTimeouts Timeouts;
  /// Idle time after which a connection is not reused, if the server has not
  /// announced an idle timeout.
  std::chrono::milliseconds DefaultIdleTimeout{4000};
  /// A connection this close to the server's idle timeout is not reused: the
  /// server could close it while the request is in transit, and a request that
  /// must not be retried would end with an unknown outcome.
  std::chrono::milliseconds ExpiryMargin{1200};
  /// See ServerLiveness.
  std::function<BootTime()> LastAwake = {};
};

/// Whether an idle connection suits an exchange; empty if any does.
using ConnectionFilter = std::function<bool(const ServerConnection &)>;

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  ConnectionPool(boost::asio::io_context &Loop, Endpoint Peer,
                 PoolSettings Settings);

  /// Returns the most recently used idle connection that \p IsSuitable, or a
  /// new one; null if the limit is reached. At the limit, an idle connection
  /// that is not suitable makes room for the new one.
  std::shared_ptr<ServerConnection>
  acquire(BootTime Now, const ConnectionFilter &IsSuitable = {});
  /// Sets the maximum number of connections of this pool.
  void setLimit(size_t Connections) { m_Limit = Connections; }
  /// Sets a listener that is called when an idle connection is closed by the
  /// server, or by the link, before it may have expired.
  void onUnexpectedClose(std::function<void()> Listener) {
    m_OnUnexpectedClose = std::move(Listener);
  }
  /// Closes idle connections; those in use are closed after their exchange.
  void retire();

  /// For connections to the same server that do not belong to the pool.
  const std::shared_ptr<ServerLiveness> &liveness() const { return m_Liveness; }

  size_t openConnections() const { return m_OpenConnections; }
  uint64_t totalOpened() const { return m_TotalOpened; }

private:
  std::shared_ptr<ServerConnection>
  takeIdle(BootTime Now, const ConnectionFilter &IsSuitable);
  void closeOldestIdle();
  std::shared_ptr<ServerConnection> open();
  void onConnectionChange(ServerConnection &Connection);
  bool isReusable(const ServerConnection &Connection, BootTime Now) const;

  boost::asio::io_context &m_Loop;
  Endpoint m_Peer;
  PoolSettings m_Settings;
  const std::shared_ptr<ServerLiveness> m_Liveness;
  size_t m_Limit = 16;
  /// Connections that are not closed, including idle ones.
  size_t m_OpenConnections = 0;
  /// Connections opened since the creation of the pool.
  uint64_t m_TotalOpened = 0;
  bool m_Retired = false;
  /// The most recently used one is last.
  std::vector<std::shared_ptr<ServerConnection>> m_Idle;
  std::function<void()> m_OnUnexpectedClose;
};

} // namespace figlift::upstream
