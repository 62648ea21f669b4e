//===- BreakingServer.cpp - A stand-in that breaks off uploads ------------===//
//
// One request for each connection.
//
//===----------------------------------------------------------------------===//

#include "BreakingServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <utility>

namespace figlift::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

class BreakingServer::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(BreakingServer &Owner, tcp::socket Socket)
      : m_Owner(Owner), m_Socket(std::move(Socket)),
        m_Timer(m_Socket.get_executor()) {}

  void start() {
    asio::async_read_until(
        m_Socket, asio::dynamic_buffer(m_Input), "\r\n\r\n",
        [Self = shared_from_this()](const ErrorCode &Code, size_t HeadSize) {
          if (!Code)
            Self->receiveBody(HeadSize);
        });
  }

private:
  void receiveBody(size_t HeadSize) {
    m_Answer = m_Owner.answerTo(m_Input.substr(0, HeadSize));
    const size_t Arrived = m_Input.size() - HeadSize;
    const size_t Missing =
        m_Answer.BytesRead > Arrived ? m_Answer.BytesRead - Arrived : 0;
    asio::async_read(
        m_Socket, asio::dynamic_buffer(m_Input),
        asio::transfer_exactly(Missing),
        [Self = shared_from_this()](const ErrorCode &Code, size_t) {
          if (!Code)
            Self->respond();
        });
  }
  void respond() {
    asio::async_write(
        m_Socket, asio::buffer(m_Answer.Bytes),
        [Self = shared_from_this()](const ErrorCode &Code, size_t) {
          if (!Code)
            Self->waitAndEnd();
        });
  }
  void waitAndEnd() {
    if (m_Answer.Pause == std::chrono::milliseconds(0))
      return end();
    m_Timer.expires_after(m_Answer.Pause);
    m_Timer.async_wait(
        [Self = shared_from_this()](const ErrorCode &) { Self->end(); });
  }
  void end() {
    ErrorCode Ignored; // The peer may have closed the connection already.
    const bool EndsInOrder = m_Answer.End == UploadEnd::EndAndReset ||
                             m_Answer.End == UploadEnd::EndAndReadAll;
    if (EndsInOrder)
      m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    if (m_Answer.End == UploadEnd::EndAndReadAll)
      return readAll();
    if (m_Answer.End != UploadEnd::CloseUnread)
      m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    m_Socket.close(Ignored);
  }
  void readAll() {
    m_Socket.async_read_some(
        asio::buffer(m_Discarded),
        [Self = shared_from_this()](const ErrorCode &Code, size_t) {
          if (!Code)
            Self->readAll();
        });
  }

  BreakingServer &m_Owner;
  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  std::string m_Input;
  std::array<char, 65536> m_Discarded;
  EarlyAnswer m_Answer;
};

BreakingServer::BreakingServer(asio::io_context &Loop, Behaviour Chosen)
    : m_Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}),
      m_Behaviour(std::move(Chosen)) {
  accept();
}

Endpoint BreakingServer::address() const {
  return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
}

void BreakingServer::accept() {
  m_Acceptor.async_accept([this](const ErrorCode &Code, tcp::socket Socket) {
    if (Code)
      return;
    std::make_shared<Connection>(*this, std::move(Socket))->start();
    accept();
  });
}

EarlyAnswer BreakingServer::answerTo(const std::string &Head) {
  if (Head.starts_with("GET /v1/kv-list"))
    return {"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n"
            R"({"epoch":"a","next":0,"held":[]} )",
            UploadEnd::EndAndReadAll};
  ++m_Requests;
  return m_Behaviour(Head);
}

} // namespace figlift::testing
