//===- RequestParser.h - Reads requests of callers --------------*- C++ -*-===//
//
// Reads one request after another from the bytes of a caller's connection,
// whole, within the bounds of the configuration. Ambiguous framing (a length
// beside chunks, two lengths, an unknown coding) is an error and never a
// guess: a target that guessed otherwise would run a request that no caller
// sent, smuggled inside the body of another.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibProxy/Message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace figlift::proxy {

/// Bounds of what a caller may send, from the configuration.
struct RequestBounds {
  /// Bytes of the request line and the fields.
  uint32_t HeadBytes = 16384;
  uint64_t BodyBytes = 4 << 20;
};

struct Request {
  RequestHead Head;
  std::string Body;
};

class RequestParser {
public:
  enum class State {
    /// No byte of the next request has come.
    Between,
    Head,
    Body,
    Complete,
    Failed,
  };

  explicit RequestParser(RequestBounds Bounds);
  ~RequestParser();

  /// Takes bytes of the connection. Bytes behind a complete request are kept
  /// for the one after it.
  State feed(std::string_view Bytes);
  State state() const { return m_State; }
  /// The complete request; the parser goes on with the bytes behind it.
  Request take();
  /// Parses what was kept behind the last request.
  State resume() { return feed({}); }
  /// Status to answer with after Failed: 400, 413 or 431.
  unsigned failureStatus() const { return m_FailureStatus; }
  /// The caller waits for "100 Continue" before it sends the body.
  bool expectsContinue() const;
  /// Bytes held, for bounds on memory.
  size_t held() const;

private:
  class Grammar;

  void reset();
  State fail(unsigned Status);

  RequestBounds m_Bounds;
  std::unique_ptr<Grammar> m_Grammar;
  /// Bytes that the grammar has not consumed.
  std::string m_Input;
  State m_State = State::Between;
  unsigned m_FailureStatus = 400;
};

} // namespace figlift::proxy
