//===- PeerLink.h - Datagrams between gateways ------------------*- C++ -*-===//
//
// Reports the work in progress to the other gateways many times a second,
// announces the state of the store when it was read, and receives the same from
// peers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "PeerList.h"

#include "LibDispatch/StoreUpdate.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>

namespace figlift::gateway {

class PeerLink {
public:
  using UpdateHandler = std::function<void(const dispatch::StoreUpdate &)>;

  PeerLink(Context &Shared, PeerList &Peers, UpdateHandler OnStoreUpdate);

  Result<void> start();
  /// Announces the state of the store to all peers.
  void announce(const dispatch::StoreUpdate &Update);
  /// Datagrams without a valid seal of this fleet.
  uint64_t rejected() const { return m_Rejected; }

private:
  void sendToAll(char Kind, const std::string &Body);
  void scheduleReport();
  void report();
  void receive();
  void received(std::string_view Bytes);
  void reportReceived(std::string_view Body);
  void storeUpdateReceived(std::string_view Body);
  void announceSuspects(const std::vector<dispatch::SuspectUpdate> &Updates);
  void reannounceSuspects(BootTime Now);
  void suspectsReceived(std::string_view Body);

  Context &m_Shared;
  PeerList &m_Peers;
  UpdateHandler m_StoreUpdateHandler;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_ReportTimer;
  std::array<char, 65536> m_Buffer;
  boost::asio::ip::udp::endpoint m_Sender;
  uint64_t m_Rejected = 0;
  /// Reports since suspects were last announced again.
  unsigned m_ReportsSinceReannouncement = 0;
  /// When a report last included learned engine costs.
  BootTime m_EngineCostsSentAt{};
};

} // namespace figlift::gateway
