//===- PeerRelay.h - Datagrams between gateways that may be lost *- C++ -*-===//
//
// One socket for each gateway. What arrives there goes on to its gateway, from
// the socket of the sender: gateways take the source of a datagram for the
// address of its sender.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <memory>
#include <vector>

namespace figlift::soak {

enum class DatagramLoss { None, All, EverySecond };

class PeerRelay {
public:
  /// \p Gateways: each has an address of its own.
  PeerRelay(boost::asio::io_context &Loop, std::vector<Endpoint> Gateways);

  /// Where the other gateways find the gateway.
  Endpoint address(unsigned Gateway) const;
  void setLossTo(unsigned Gateway, DatagramLoss How) {
    m_Ports[Gateway]->LossTo = How;
  }
  void setLossFrom(unsigned Gateway, DatagramLoss How) {
    m_Ports[Gateway]->LossFrom = How;
  }

private:
  using Udp = boost::asio::ip::udp;
  struct Port {
    explicit Port(boost::asio::io_context &Loop);
    Udp::socket Socket;
    /// Of its gateway.
    Udp::endpoint Address;
    Udp::endpoint Sender;
    std::array<char, 65536> Buffer{};
    DatagramLoss LossTo = DatagramLoss::None;
    DatagramLoss LossFrom = DatagramLoss::None;
    unsigned Datagrams = 0;
  };

  void receive(Port &Target);
  void forward(Port &Target, size_t Bytes);
  static bool isLost(DatagramLoss How, unsigned Datagrams) {
    return How == DatagramLoss::All ||
           (How == DatagramLoss::EverySecond && Datagrams % 2 == 0);
  }

  /// By place of the gateway.
  std::vector<std::unique_ptr<Port>> m_Ports;
  std::map<Udp::endpoint, Port *> m_Senders;
};

} // namespace figlift::soak
