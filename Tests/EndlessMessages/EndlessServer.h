//===- EndlessServer.h - A stand-in server that never ends ------*- C++ -*-===//
//
// Answers each request with the beginning of a message, and then sends the same
// bytes again and again, as fast as they are read, until its peer closes.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace figlift::testing {

struct EndlessBytes {
  std::string Beginning;
  std::string Repeated;
};

class EndlessServer {
public:
  /// \p Most: a connection falls silent after as many bytes.
  EndlessServer(boost::asio::io_context &Loop, EndlessBytes Bytes,
                size_t Most = SIZE_MAX);

  Endpoint address() const;
  size_t requests() const { return m_Requests; }
  size_t openConnections() const { return m_Open; }
  size_t bytesWritten() const { return m_Written; }

private:
  class Connection;
  void accept();

  boost::asio::ip::tcp::acceptor m_Acceptor;
  EndlessBytes m_Bytes;
  const size_t m_Most;
  size_t m_Requests = 0;
  size_t m_Open = 0;
  size_t m_Written = 0;
};

} // namespace figlift::testing
