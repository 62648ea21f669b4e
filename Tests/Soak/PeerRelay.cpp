//===- PeerRelay.cpp - Datagrams between gateways that may be lost --------===//
//
// See PeerRelay.h.
//
//===----------------------------------------------------------------------===//

#include "PeerRelay.h"

#include <boost/asio/buffer.hpp>

namespace figlift::soak {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

PeerRelay::Port::Port(asio::io_context &Loop)
    : Socket(Loop, {asio::ip::address_v4::loopback(), 0}) {}

PeerRelay::PeerRelay(asio::io_context &Loop, std::vector<Endpoint> Gateways) {
  for (const Endpoint &Gateway : Gateways) {
    m_Ports.push_back(std::make_unique<Port>(Loop));
    Port &New = *m_Ports.back();
    New.Address = {asio::ip::make_address_v4(Gateway.Address), Gateway.Port};
    m_Senders[New.Address] = &New;
    receive(New);
  }
}

Endpoint PeerRelay::address(unsigned Gateway) const {
  return {"127.0.0.1", m_Ports[Gateway]->Socket.local_endpoint().port()};
}

void PeerRelay::receive(Port &Target) {
  Target.Socket.async_receive_from(
      asio::buffer(Target.Buffer), Target.Sender,
      [this, &Target](const ErrorCode &Code, size_t Bytes) {
        if (Code == asio::error::operation_aborted)
          return;
        // While a gateway is down, the next read after a send to it fails.
        if (!Code)
          forward(Target, Bytes);
        receive(Target);
      });
}

void PeerRelay::forward(Port &Target, size_t Bytes) {
  const auto Known = m_Senders.find(Target.Sender);
  if (Known == m_Senders.end())
    return;
  Port &Source = *Known->second;
  ++Target.Datagrams;
  if (isLost(Target.LossTo, Target.Datagrams) ||
      isLost(Source.LossFrom, Target.Datagrams))
    return;
  ErrorCode Ignored; // The gateway may be down.
  Source.Socket.send_to(asio::buffer(Target.Buffer.data(), Bytes),
                        Target.Address, 0, Ignored);
}

} // namespace figlift::soak
