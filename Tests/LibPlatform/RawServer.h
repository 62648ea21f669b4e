//===- RawServer.h - A scripted server for transport faults -----*- C++ -*-===//
//
// Accepts connections on a free loopback port, reads one request after
// another and answers each by the next step of its script: some bytes, a
// closed connection, or silence.
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

/// What happens to one request.
struct Step {
  enum class What { Answer, CloseWithoutAnswer, Silence } Kind;
  int Status = 200;
  std::string Body = "{}";
  /// Lines with their ends.
  std::string Headers{};
  /// Before each of twenty pieces of the body; without it all leave at once.
  std::chrono::milliseconds Pace{0};
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
  /// Requests that arrived whole.
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

  void receive(const Pointer &From) {
    boost::asio::async_read_until(
        From->Socket, boost::asio::dynamic_buffer(From->Buffer), "\r\n\r\n",
        [this, From](auto Code, size_t Length) {
          if (!Code)
            receiveBody(From, Length);
        });
  }

  void receiveBody(const Pointer &From, size_t HeadLength) {
    size_t Length = 0;
    if (auto At = From->Buffer.find("Content-Length: "); At < HeadLength)
      Length = std::stoul(From->Buffer.substr(At + 16));
    size_t Whole = HeadLength + Length;
    size_t Missing =
        From->Buffer.size() < Whole ? Whole - From->Buffer.size() : 0;
    boost::asio::async_read(
        From->Socket, boost::asio::dynamic_buffer(From->Buffer),
        boost::asio::transfer_exactly(Missing),
        [this, From, HeadLength, Whole](auto Code, size_t) {
          if (Code)
            return;
          {
            std::lock_guard Lock(m_Mutex);
            m_LastHead = From->Buffer.substr(0, HeadLength);
            m_LastBody = From->Buffer.substr(HeadLength, Whole - HeadLength);
          }
          From->Buffer.erase(0, Whole);
          ++m_Requests;
          perform(From);
        });
  }

  void perform(const Pointer &From) {
    Step Now{Step::What::Silence};
    if (!m_Script.empty()) {
      Now = m_Script.front();
      m_Script.pop_front();
    }
    if (Now.Kind == Step::What::CloseWithoutAnswer)
      return From->Socket.close();
    if (Now.Kind == Step::What::Silence) {
      m_Silent.push_back(From);
      return;
    }
    auto Text = std::make_shared<std::string>(
        "HTTP/1.1 " + std::to_string(Now.Status) +
        " X\r\nContent-Type: application/json\r\nRetry-After: 2\r\n"
        "Content-Length: " +
        std::to_string(Now.Body.size()) + "\r\n" + Now.Headers + "\r\n" +
        Now.Body);
    write(From, Text, 0, Text->size() - Now.Body.size(), Now.Pace);
  }

  /// Writes \p Text from \p Begin on, first up to \p End.
  void write(const Pointer &From, std::shared_ptr<std::string> Text,
             size_t Begin, size_t End, std::chrono::milliseconds Pace) {
    if (Pace == std::chrono::milliseconds(0))
      End = Text->size();
    boost::asio::async_write(
        From->Socket, boost::asio::buffer(Text->data() + Begin, End - Begin),
        [this, From, Text, End, Pace](auto Code, size_t) {
          if (Code)
            return;
          if (End == Text->size())
            return receive(From);
          auto Timer = std::make_shared<boost::asio::steady_timer>(m_Context);
          Timer->expires_after(Pace);
          Timer->async_wait([this, From, Text, End, Pace, Timer](auto Stopped) {
            if (!Stopped)
              write(From, Text, End,
                    std::min(Text->size(), End + 1 + Text->size() / 20), Pace);
          });
        });
  }

  /// First, so that every socket is gone before it.
  boost::asio::io_context m_Context;
  std::deque<Step> m_Script;
  std::deque<Pointer> m_Silent;
  std::atomic<unsigned> m_Requests = 0;
  std::mutex m_Mutex;
  std::string m_LastHead;
  std::string m_LastBody;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::thread m_Thread;
};

} // namespace figlift::test
