//===- ConnectionPool.cpp - Connections to one server ---------------------===//
//
// The idle connection that was used last is used first, so that those a calm
// hour does not need expire.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/ConnectionPool.h"

#include <algorithm>

namespace figlift::upstream {

ConnectionPool::ConnectionPool(boost::asio::io_context &Loop, Endpoint Peer,
                               PoolSettings Settings)
    : m_Loop(Loop), m_Peer(std::move(Peer)), m_Settings(Settings) {}

bool ConnectionPool::usable(const ServerConnection &Connection,
                            BootTime Now) const {
  std::chrono::milliseconds Kept = m_Settings.DefaultIdleTimeout;
  if (const auto Announced = Connection.announcedIdleTimeout())
    Kept = *Announced;
  const auto Margin = std::min(m_Settings.ExpiryMargin, Kept / 2);
  return Now - Connection.idleSince() < Kept - Margin;
}

std::shared_ptr<ServerConnection> ConnectionPool::take(BootTime Now) {
  while (!m_Idle.empty()) {
    auto Connection = std::move(m_Idle.back());
    m_Idle.pop_back();
    if (!Connection->isFree())
      continue;
    if (usable(*Connection, Now))
      return Connection;
    Connection->abort();
  }
  if (m_Open >= m_Limit)
    return nullptr;
  auto Connection =
      std::make_shared<ServerConnection>(m_Loop, m_Peer, m_Settings.Timeouts);
  Connection->onStateChange(
      [Pool = weak_from_this()](ServerConnection &Changed) {
        if (const auto Self = Pool.lock())
          Self->changed(Changed);
      });
  ++m_Open;
  ++m_Opened;
  return Connection;
}

void ConnectionPool::changed(ServerConnection &Connection) {
  if (!Connection.isOpen()) {
    --m_Open;
    std::erase_if(m_Idle,
                  [&](const auto &Each) { return Each.get() == &Connection; });
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
