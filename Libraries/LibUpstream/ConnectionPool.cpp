//===- ConnectionPool.cpp - Connections to one server ---------------------===//
//
// The most recently used idle connection is reused first, so that surplus
// connections expire when the load falls.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/ConnectionPool.h"

#include <algorithm>

namespace figlift::upstream {

ConnectionPool::ConnectionPool(boost::asio::io_context &Loop, Endpoint Peer,
                               PoolSettings Settings)
    : m_Loop(Loop), m_Peer(std::move(Peer)), m_Settings(std::move(Settings)),
      m_Liveness(std::make_shared<ServerLiveness>(m_Loop, m_Peer,
                                                  m_Settings.LastAwake)) {}

bool ConnectionPool::isReusable(const ServerConnection &Connection,
                                BootTime Now) const {
  std::chrono::milliseconds IdleTimeout = m_Settings.DefaultIdleTimeout;
  if (const auto Announced = Connection.announcedIdleTimeout())
    IdleTimeout = *Announced;
  const auto Margin = std::min(m_Settings.ExpiryMargin, IdleTimeout / 2);
  return Now - Connection.idleSince() < IdleTimeout - Margin;
}

std::shared_ptr<ServerConnection>
ConnectionPool::acquire(BootTime Now, const ConnectionFilter &IsSuitable) {
  if (auto Connection = takeIdle(Now, IsSuitable))
    return Connection;
  if (m_OpenConnections >= m_Limit && !m_Idle.empty())
    closeOldestIdle();
  return m_OpenConnections < m_Limit ? open() : nullptr;
}

std::shared_ptr<ServerConnection>
ConnectionPool::takeIdle(BootTime Now, const ConnectionFilter &IsSuitable) {
  std::shared_ptr<ServerConnection> Taken;
  std::vector<std::shared_ptr<ServerConnection>> Unsuitable;
  while (!Taken && !m_Idle.empty()) {
    auto Connection = std::move(m_Idle.back());
    m_Idle.pop_back();
    if (!Connection->isFree())
      continue;
    if (!isReusable(*Connection, Now))
      Connection->abort();
    else if (IsSuitable && !IsSuitable(*Connection))
      Unsuitable.push_back(std::move(Connection));
    else
      Taken = std::move(Connection);
  }
  m_Idle.insert(m_Idle.end(), Unsuitable.rbegin(), Unsuitable.rend());
  return Taken;
}

void ConnectionPool::closeOldestIdle() {
  const auto Oldest = m_Idle.front();
  m_Idle.erase(m_Idle.begin());
  Oldest->abort();
}

std::shared_ptr<ServerConnection> ConnectionPool::open() {
  auto Connection = std::make_shared<ServerConnection>(
      m_Loop, m_Peer, m_Settings.Timeouts, m_Liveness);
  Connection->onStateChange(
      [Pool = weak_from_this()](ServerConnection &Changed) {
        if (const auto Self = Pool.lock())
          Self->onConnectionChange(Changed);
      });
  ++m_OpenConnections;
  ++m_TotalOpened;
  return Connection;
}

void ConnectionPool::onConnectionChange(ServerConnection &Connection) {
  if (!Connection.isOpen()) {
    --m_OpenConnections;
    // Those that this process closes are no longer among the idle ones.
    const bool WasIdle = std::erase_if(m_Idle, [&](const auto &Idle) {
                           return Idle.get() == &Connection;
                         }) > 0;
    if (WasIdle && m_OnUnexpectedClose &&
        isReusable(Connection, BootClock::now()))
      m_OnUnexpectedClose();
    return;
  }
  if (m_Retired)
    return Connection.abort();
  m_Idle.push_back(Connection.shared_from_this());
}

void ConnectionPool::retire() {
  m_Retired = true;
  const auto Idle = std::move(m_Idle);
  m_Idle.clear();
  for (const auto &Connection : Idle)
    Connection->abort();
}

} // namespace figlift::upstream
