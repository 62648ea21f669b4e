//===- PeerLink.h - Datagrams between gateways ------------------*- C++ -*-===//
//
// Tells the other gateways, many times a second, what this one has under way,
// and now and then what it read in the store; takes what they tell.
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
  using NewsHandler = std::function<void(const dispatch::StoreUpdate &)>;

  PeerLink(Context &Shared, PeerList &Peers, NewsHandler News);

  Result<void> start();
  /// Tells all peers what was read in the store.
  void tell(const dispatch::StoreUpdate &What);
  /// Datagrams that were not sealed by this fleet.
  uint64_t refused() const { return m_Refused; }

private:
  void sendToAll(char Kind, const std::string &Body);
  void scheduleReport();
  void report();
  void receive();
  void received(std::string_view Bytes);
  void reportReceived(std::string_view Body);
  void newsReceived(std::string_view Body);
  void tellSuspects(const std::vector<dispatch::SuspectUpdate> &What);
  void repeatSuspects(BootTime Now);
  void suspectsReceived(std::string_view Body);

  Context &m_Shared;
  PeerList &m_Peers;
  NewsHandler m_News;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_ReportTimer;
  std::array<char, 65536> m_Buffer;
  boost::asio::ip::udp::endpoint m_Sender;
  uint64_t m_Refused = 0;
  /// Reports since suspects were last told again.
  unsigned m_ReportsSinceRepeat = 0;
  /// When a report last told what was learned of engines.
  BootTime m_FiguresTold{};
};

} // namespace figlift::gateway
