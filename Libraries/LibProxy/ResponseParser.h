//===- ResponseParser.h - Parser for responses of servers -------*- C++ -*-===//
//
// Incremental parser for one response. A response that is delimited by the end
// of its connection is complete only if the connection was closed gracefully.
// Bytes after a complete response belong to no request; they are reported, so
// that the connection is not reused.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibProxy/Message.h"

#include <boost/system/error_code.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace figlift::proxy {

class ResponseParser {
public:
  enum class State { Head, Body, Complete, Failed };

  /// \p BodyAllowed is false for the response to a HEAD request.
  explicit ResponseParser(bool BodyAllowed = true);
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  ResponseParser &operator=(ResponseParser &&) noexcept;

  State feed(std::string_view Bytes);
  /// The peer has closed the connection gracefully.
  State finish();
  State state() const { return m_State; }
  /// Begins with the response after a complete one. The bytes after that one
  /// are parsed by the next feed().
  void next();
  /// Valid from state Body on.
  const ResponseHead &head() const;
  /// Returns the body bytes received since the last call.
  std::string takeBody();
  /// Whether bytes follow the complete response.
  bool hasTrailingBytes() const { return !m_Input.empty(); }
  /// Whether the connection may be reused for another exchange.
  bool keepsAlive() const;
  /// Whether any byte of the response has been received.
  bool hasStarted() const { return m_Started; }

private:
  class BeastParser;

  void reset();
  boost::system::error_code parseInput();
  BodyFraming framing() const;

  bool m_BodyAllowed;
  bool m_Started = false;
  unsigned m_InterimResponses = 0;
  std::unique_ptr<BeastParser> m_BeastParser;
  std::string m_Input;
  State m_State = State::Head;
};

} // namespace figlift::proxy
