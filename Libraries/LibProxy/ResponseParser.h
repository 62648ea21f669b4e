//===- ResponseParser.h - Reads responses of servers ------------*- C++ -*-===//
//
// Reads one response from the bytes of a connection, piece by piece. A
// response whose end is the end of its connection is complete only when the
// connection was closed in order; bytes behind a complete response belong to
// no request and are reported, so that the connection is not used again.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibProxy/Message.h"

#include <cstdint>
#include <memory>
#include <string>

namespace figlift::proxy {

class ResponseParser {
public:
  enum class State { Head, Body, Complete, Failed };

  /// \p BodiesAllowed is false for responses to HEAD.
  explicit ResponseParser(bool BodiesAllowed = true);
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  ResponseParser &operator=(ResponseParser &&) noexcept;

  State feed(std::string_view Bytes);
  /// The connection was closed by its peer, in order.
  State finish();
  State state() const { return m_State; }
  /// Valid from Body on.
  const ResponseHead &head() const;
  /// Body bytes since the last call.
  std::string takeBody();
  /// Bytes behind the complete response.
  bool hasExcess() const { return !m_Input.empty(); }
  /// Whether the connection may carry another exchange.
  bool keepsAlive() const;
  /// Whether any byte has come.
  bool begun() const { return m_Begun; }

private:
  class Grammar;

  void reset();

  bool m_BodiesAllowed;
  bool m_Begun = false;
  std::unique_ptr<Grammar> m_Grammar;
  std::string m_Input;
  State m_State = State::Head;
};

} // namespace figlift::proxy
