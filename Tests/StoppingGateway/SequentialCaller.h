//===- SequentialCaller.h - Sends requests one by one -----------*- C++ -*-===//
//
// Sends requests on one connection, one at a time, until a response announces
// that the connection closes or the connection is closed, and counts the
// outcome of each request.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "FigliftGateway/StandInPlatform.h"

#include <set>
#include <string>

namespace figlift::testing {

/// Outcomes of the requests of several callers.
struct ResponseCounts {
  int Sent = 0;
  /// Complete responses by status.
  int Successes = 0;
  int Rejected = 0;
  int Failed = 0;
  /// Connections that were closed in the middle of a response.
  int Truncated = 0;
  /// Connections that were reset.
  int Reset = 0;
  /// Complete responses to requests sent after SIGTERM without Connection:
  /// close.
  int WithoutConnectionClose = 0;
  /// Paths of requests whose connection was closed normally before any byte of
  /// a response.
  std::set<std::string> ClosedUnanswered;
};

class SequentialCaller {
public:
  /// \p Name: prefix of the paths of its requests below their routes.
  SequentialCaller(GatewayFixture &Fixture, std::string Name,
                   ResponseCounts &Counts);

  /// Whether another request may be sent: none is in flight, and the connection
  /// is not known to be closing.
  bool maySend() const { return m_Path.empty() && !m_Closing; }
  void send(const std::string &Route, const std::string &Fields);
  /// Reads and processes the bytes that have arrived.
  void receive();
  /// Marks requests that are sent from now on as sent after SIGTERM.
  void setStopping() { m_Stopping = true; }
  bool isClosed() const { return m_Closed; }

private:
  void recordClose(const boost::system::error_code &Code);
  void recordResponse();
  bool isResponseComplete() const;

  boost::asio::ip::tcp::socket m_Socket;
  std::string m_Name;
  ResponseCounts &m_Counts;
  unsigned m_Number = 0;
  /// Path of the request in flight; empty if there is none.
  std::string m_Path;
  bool m_SentWhileStopping = false;
  std::string m_Received;
  bool m_Stopping = false;
  /// A response announced that the connection closes, or it is closed.
  bool m_Closing = false;
  bool m_Closed = false;
};

} // namespace figlift::testing
