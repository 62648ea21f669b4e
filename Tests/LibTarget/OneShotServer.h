//===- OneShotServer.h - Engine that answers what a test says ---*- C++ -*-===//
//
// Listens on a free loopback port, counts requests and gives each connection
// one scripted answer after another; an empty answer closes the connection.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figlift::test {

class OneShotServer {
public:
  explicit OneShotServer(std::deque<std::string> Answers)
      : m_Answers(std::move(Answers)) {
    m_Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    bind(m_Socket, reinterpret_cast<sockaddr *>(&Address), Size);
    listen(m_Socket, 16);
    getsockname(m_Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Endpoint = {"127.0.0.1", ntohs(Address.sin_port)};
    m_Thread = std::thread([this] { serve(); });
  }
  ~OneShotServer() {
    shutdown(m_Socket, SHUT_RDWR);
    m_Thread.join();
    close(m_Socket);
  }

  const Endpoint &endpoint() const { return m_Endpoint; }
  unsigned requests() const { return m_Requests; }

private:
  void serve() {
    for (int Peer = -1; (Peer = accept(m_Socket, nullptr, nullptr)) >= 0;) {
      while (answerOne(Peer)) {
      }
      close(Peer);
    }
  }

  /// Whether the connection stays open.
  bool answerOne(int Peer) {
    std::string Head;
    char Byte = 0;
    while (!Head.ends_with("\r\n\r\n")) {
      if (read(Peer, &Byte, 1) != 1)
        return false;
      Head += Byte;
    }
    ++m_Requests;
    if (m_Answers.empty())
      return false;
    const std::string Answer = m_Answers.front();
    m_Answers.pop_front();
    // Answers that must not be followed by another end with the connection.
    return !Answer.empty() && write(Peer, Answer.data(), Answer.size()) > 0 &&
           Answer.find("chunked") == std::string::npos;
  }

  std::deque<std::string> m_Answers;
  int m_Socket = -1;
  Endpoint m_Endpoint;
  std::atomic<unsigned> m_Requests{0};
  std::thread m_Thread;
};

} // namespace figlift::test
