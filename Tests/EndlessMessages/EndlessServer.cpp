//===- EndlessServer.cpp - A stand-in server that never ends --------------===//
//
// One request for each connection.
//
//===----------------------------------------------------------------------===//

#include "EndlessServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace figlift::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

class EndlessServer::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(EndlessServer &Owner, tcp::socket Socket)
      : m_Owner(Owner), m_Socket(std::move(Socket)) {
    ++m_Owner.m_Open;
    constexpr size_t PieceBytes = 32 << 10;
    while (m_Piece.size() < PieceBytes)
      m_Piece += m_Owner.m_Bytes.Repeated;
  }
  ~Connection() { --m_Owner.m_Open; }

  void start() {
    asio::async_read_until(
        m_Socket, asio::dynamic_buffer(m_Head), "\r\n\r\n",
        [Self = shared_from_this()](const ErrorCode &Code, size_t) {
          if (Code)
            return;
          ++Self->m_Owner.m_Requests;
          Self->write(Self->m_Owner.m_Bytes.Beginning);
        });
  }

private:
  void write(const std::string &Bytes) {
    asio::async_write(
        m_Socket, asio::buffer(Bytes),
        [Self = shared_from_this()](const ErrorCode &Code, size_t Count) {
          Self->m_Written += Count;
          Self->m_Owner.m_Written += Count;
          if (Code)
            return;
          if (Self->m_Written < Self->m_Owner.m_Most)
            return Self->write(Self->m_Piece);
          Self->waitForEnd();
        });
  }
  void waitForEnd() {
    m_Socket.async_wait(tcp::socket::wait_read,
                        [Self = shared_from_this()](const ErrorCode &) {});
  }

  EndlessServer &m_Owner;
  tcp::socket m_Socket;
  std::string m_Head;
  std::string m_Piece;
  size_t m_Written = 0;
};

EndlessServer::EndlessServer(asio::io_context &Loop, EndlessBytes Bytes,
                             size_t Most)
    : m_Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}),
      m_Bytes(std::move(Bytes)), m_Most(Most) {
  accept();
}

Endpoint EndlessServer::address() const {
  return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
}

void EndlessServer::accept() {
  m_Acceptor.async_accept([this](const ErrorCode &Code, tcp::socket Socket) {
    if (Code)
      return;
    std::make_shared<Connection>(*this, std::move(Socket))->start();
    accept();
  });
}

} // namespace figlift::testing
