//===- BreakingServer.h - A stand-in that breaks off uploads ----*- C++ -*-===//
//
// Answers a request as soon as its head, or some of its body, has arrived, and
// ends the connection while the rest is still being written.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace figlift::testing {

/// How the connection ends after an answer.
enum class UploadEnd {
  Reset,
  /// Closes with the upload unread. The kernel resets the connection then.
  CloseUnread,
  /// Ends its sending side, and resets at once.
  EndAndReset,
  /// Ends its sending side, and reads the upload to its end.
  EndAndReadAll,
};

struct EarlyAnswer {
  std::string Bytes;
  UploadEnd End = UploadEnd::Reset;
  /// Read of the body before the answer.
  size_t BytesRead = 0;
  /// From the answer to the end.
  std::chrono::milliseconds Pause{0};
};

class BreakingServer {
public:
  /// Returns the answer to the request with this head.
  using Behaviour = std::function<EarlyAnswer(const std::string &Head)>;

  BreakingServer(boost::asio::io_context &Loop, Behaviour Chosen);

  Endpoint address() const;
  /// Requests so far, without questions for the KV cache, which get an empty
  /// list.
  size_t requests() const { return m_Requests; }

private:
  class Connection;
  void accept();
  EarlyAnswer answerTo(const std::string &Head);

  boost::asio::ip::tcp::acceptor m_Acceptor;
  Behaviour m_Behaviour;
  size_t m_Requests = 0;
};

} // namespace figlift::testing
