//===- SequentialCaller.cpp - Sends requests one by one -------------------===//
//
// See SequentialCaller.h.
//
//===----------------------------------------------------------------------===//

#include "SequentialCaller.h"

#include <boost/asio/write.hpp>

#include <array>

namespace figlift::testing {

namespace asio = boost::asio;

SequentialCaller::SequentialCaller(GatewayFixture &Fixture, std::string Name,
                                   ResponseCounts &Counts)
    : m_Socket(Fixture.Loop), m_Name(std::move(Name)), m_Counts(Counts) {
  const Endpoint &Address = Fixture.Settings.Listen.Callers;
  m_Socket.connect({asio::ip::make_address_v4(Address.Address), Address.Port});
  m_Socket.non_blocking(true);
}

void SequentialCaller::send(const std::string &Route,
                            const std::string &Fields) {
  const std::string Id = m_Name + "-" + std::to_string(++m_Number);
  m_Path = Route + Id;
  m_SentWhileStopping = m_Stopping;
  ++m_Counts.Sent;
  boost::system::error_code Code; // The next receive() reports it.
  asio::write(m_Socket,
              asio::buffer("POST " + m_Path +
                           " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                           "X-Attempt-Id: " +
                           Id + "\r\n" + Fields + "\r\n"),
              Code);
}

void SequentialCaller::receive() {
  std::array<char, 4096> Buffer;
  boost::system::error_code Code;
  while (!Code && !m_Closed) {
    const size_t Count = m_Socket.read_some(asio::buffer(Buffer), Code);
    m_Received.append(Buffer.data(), Count);
  }
  if (!m_Path.empty() && isResponseComplete())
    recordResponse();
  if (!m_Closed && Code && Code != asio::error::would_block)
    recordClose(Code);
}

void SequentialCaller::recordClose(const boost::system::error_code &Code) {
  m_Closed = true;
  m_Closing = true;
  // Closes its own side as well, as callers do.
  boost::system::error_code IgnoredCode;
  m_Socket.close(IgnoredCode);
  if (m_Path.empty())
    return;
  if (!m_Received.empty())
    ++m_Counts.Truncated;
  else if (Code != asio::error::eof)
    ++m_Counts.Reset;
  else
    m_Counts.ClosedUnanswered.insert(m_Path);
}

void SequentialCaller::recordResponse() {
  if (contains(m_Received, "HTTP/1.1 200"))
    ++m_Counts.Successes;
  else if (contains(m_Received, "HTTP/1.1 503") &&
           contains(m_Received, "Retry-After"))
    ++m_Counts.Rejected;
  else
    ++m_Counts.Failed;
  m_Closing = contains(m_Received, "Connection: close");
  if (m_SentWhileStopping && !m_Closing)
    ++m_Counts.WithoutConnectionClose;
  m_Path.clear();
  m_Received.clear();
}

/// Responses in these tests are chunked or have a Content-Length of one digit.
bool SequentialCaller::isResponseComplete() const {
  if (contains(m_Received, "Transfer-Encoding: chunked"))
    return isCompleteStream(m_Received);
  const size_t HeadEnd = m_Received.find("\r\n\r\n");
  const std::string Length = "Content-Length: ";
  const size_t LengthStart = m_Received.find(Length);
  if (HeadEnd == std::string::npos || LengthStart == std::string::npos ||
      LengthStart > HeadEnd)
    return false;
  return m_Received.size() - HeadEnd - 4 ==
         std::stoul(m_Received.substr(LengthStart + Length.size()));
}

} // namespace figlift::testing
