//===- DrawnCaller.h - A caller that draws its requests ---------*- C++ -*-===//
//
// Sends one request after another to a gateway, on kept connections, and
// records their answers in the ledger.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "RunLedger.h"

#include "LibCore/Endpoint.h"
#include "LibProxy/ResponseParser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <random>
#include <string>

namespace figlift::testing {

class DrawnCaller {
public:
  /// \p Requests: number of requests to send.
  DrawnCaller(boost::asio::io_context &Loop, RunLedger &Ledger, uint64_t Seed,
              std::string Name, Endpoint Gateway, unsigned Requests);

  void start();
  bool isDone() const { return m_Sent == m_Requests && !m_IsBusy; }

private:
  void send();
  void read();
  void finish(unsigned Status);
  std::string drawRequest();

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Pause;
  RunLedger &m_Ledger;
  std::mt19937_64 m_Random;
  const std::string m_Name;
  const Endpoint m_Gateway;
  const unsigned m_Requests;
  unsigned m_Sent = 0;
  bool m_IsBusy = false;
  std::string m_AttemptId;
  std::string m_Output;
  std::string m_Body;
  std::array<char, 8192> m_Buffer;
  proxy::ResponseParser m_Parser;
};

} // namespace figlift::testing
