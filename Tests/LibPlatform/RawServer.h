//===- RawServer.h - Scripted server for transport failures -----*- C++ -*-===//
//
// Accepts connections on a free loopback port and handles each request with the
// next step of its script: a response, a closed connection, or no response.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <boost/asio.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace figlift::test {

/// How the server handles one request.
struct Step {
  enum class Action { Respond, CloseConnection, NoResponse } Kind;
  int Status = 200;
  std::string Body = "{}";
  /// Header lines, each with CRLF.
  std::string Headers{};
  /// Delay before each of twenty parts of the body; zero sends it at once.
  std::chrono::milliseconds Delay{0};
};

class RawServer {
public:
  explicit RawServer(std::deque<Step> Script)
      : m_Script(std::move(Script)),
        m_Acceptor(m_Context, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
    m_Thread = std::thread([this] { m_Context.run(); });
  }
  ~RawServer() {
    m_Context.stop();
    m_Thread.join();
  }

  uint16_t port() const { return m_Acceptor.local_endpoint().port(); }
  /// Requests received completely.
  unsigned requests() const { return m_Requests; }
  std::string lastHead() {
    std::lock_guard Lock(m_Mutex);
    return m_LastHead;
  }
  std::string lastBody() {
    std::lock_guard Lock(m_Mutex);
    return m_LastBody;
  }

private:
  struct Connection {
    explicit Connection(boost::asio::io_context &Context) : Socket(Context) {}
    boost::asio::ip::tcp::socket Socket;
    std::string Buffer;
  };
  using Pointer = std::shared_ptr<Connection>;

  void accept() {
    auto Next = std::make_shared<Connection>(m_Context);
    m_Acceptor.async_accept(Next->Socket, [this, Next](auto Code) {
      if (Code)
        return;
      receive(Next);
      accept();
    });
  }

  void receive(const Pointer &Peer) {
    boost::asio::async_read_until(
        Peer->Socket, boost::asio::dynamic_buffer(Peer->Buffer), "\r\n\r\n",
        [this, Peer](auto Code, size_t Length) {
          if (!Code)
            receiveBody(Peer, Length);
        });
  }

  void receiveBody(const Pointer &Peer, size_t HeadLength) {
    size_t Length = 0;
    if (auto Position = Peer->Buffer.find("Content-Length: ");
        Position < HeadLength)
      Length = std::stoul(Peer->Buffer.substr(Position + 16));
    size_t TotalLength = HeadLength + Length;
    size_t Missing = Peer->Buffer.size() < TotalLength
                         ? TotalLength - Peer->Buffer.size()
                         : 0;
    boost::asio::async_read(
        Peer->Socket, boost::asio::dynamic_buffer(Peer->Buffer),
        boost::asio::transfer_exactly(Missing),
        [this, Peer, HeadLength, TotalLength](auto Code, size_t) {
          if (Code)
            return;
          {
            std::lock_guard Lock(m_Mutex);
            m_LastHead = Peer->Buffer.substr(0, HeadLength);
            m_LastBody =
                Peer->Buffer.substr(HeadLength, TotalLength - HeadLength);
          }
          Peer->Buffer.erase(0, TotalLength);
          ++m_Requests;
          runStep(Peer);
        });
  }

  void runStep(const Pointer &Peer) {
    Step Current{Step::Action::NoResponse};
    if (!m_Script.empty()) {
      Current = m_Script.front();
      m_Script.pop_front();
    }
    if (Current.Kind == Step::Action::CloseConnection)
      return Peer->Socket.close();
    if (Current.Kind == Step::Action::NoResponse) {
      m_Unanswered.push_back(Peer);
      return;
    }
    auto Response = std::make_shared<std::string>(
        "HTTP/1.1 " + std::to_string(Current.Status) +
        " X\r\nContent-Type: application/json\r\nRetry-After: 2\r\n"
        "Content-Length: " +
        std::to_string(Current.Body.size()) + "\r\n" + Current.Headers +
        "\r\n" + Current.Body);
    write(Peer, Response, 0, Response->size() - Current.Body.size(),
          Current.Delay);
  }

  /// Writes \p Text from \p Begin, in parts of which the first ends at \p End.
  void write(const Pointer &Peer, std::shared_ptr<std::string> Response,
             size_t Begin, size_t End, std::chrono::milliseconds Delay) {
    if (Delay == std::chrono::milliseconds(0))
      End = Response->size();
    boost::asio::async_write(
        Peer->Socket,
        boost::asio::buffer(Response->data() + Begin, End - Begin),
        [this, Peer, Response, End, Delay](auto Code, size_t) {
          if (Code)
            return;
          if (End == Response->size())
            return receive(Peer);
          auto Timer = std::make_shared<boost::asio::steady_timer>(m_Context);
          Timer->expires_after(Delay);
          Timer->async_wait([this, Peer, Response, End, Delay,
                             Timer](auto TimerCode) {
            if (!TimerCode)
              write(Peer, Response, End,
                    std::min(Response->size(), End + 1 + Response->size() / 20),
                    Delay);
          });
        });
  }

  /// Declared first, so that it is destroyed after every socket.
  boost::asio::io_context m_Context;
  std::deque<Step> m_Script;
  std::deque<Pointer> m_Unanswered;
  std::atomic<unsigned> m_Requests = 0;
  std::mutex m_Mutex;
  std::string m_LastHead;
  std::string m_LastBody;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::thread m_Thread;
};

} // namespace figlift::test
