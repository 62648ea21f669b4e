//===- RequestParser.h - Parser for requests of callers ---------*- C++ -*-===//
//
// Parses complete requests, one after another, from the input of a caller's
// connection, within the configured limits. Ambiguous framing (Content-Length
// together with chunks, two lengths, an unknown transfer coding) is rejected: a
// target that interpreted it differently would run a request that was smuggled
// inside the body of another (request smuggling).
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

/// Limits on the size of a request, from the configuration.
struct RequestBounds {
  /// Size of the request line and the header fields; also of a trailer, and of
  /// all chunk extensions together.
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
    /// No byte of the next request has been received.
    Idle,
    Head,
    Body,
    Complete,
    Failed,
  };

  explicit RequestParser(RequestBounds Bounds);
  ~RequestParser();

  /// Parses input of the connection. Bytes after a complete request are
  /// buffered for the next one.
  State feed(std::string_view Bytes);
  /// Sets the limits from the next request on; the parser must be idle.
  void setBounds(RequestBounds Bounds);
  State state() const { return m_State; }
  /// Returns the complete request and resets the parser for the next one.
  Request take();
  /// Forgets all input.
  void discard();
  /// Parses the bytes that were buffered after the last request.
  State resume() { return feed({}); }
  /// HTTP status of the response to failed input: 400, 413 or 431.
  unsigned failureStatus() const { return m_FailureStatus; }
  /// Whether the caller waits for "100 Continue" before sending the body.
  bool expectsContinue() const;
  /// Memory taken for input, including the body parsed so far.
  size_t bufferedBytes() const;

private:
  class BeastParser;

  void reset();
  State fail(unsigned Status);

  RequestBounds m_Bounds;
  std::unique_ptr<BeastParser> m_BeastParser;
  /// Input that m_BeastParser has not consumed yet.
  std::string m_Input;
  State m_State = State::Idle;
  unsigned m_FailureStatus = 400;
};

} // namespace figlift::proxy
