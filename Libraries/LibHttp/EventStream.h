//===- EventStream.h - Server-sent events -----------------------*- C++ -*-===//
//
// Writer of a text/event-stream response.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace figlift::http {

/// Members may be called from any thread. Events and comments are written
/// atomically, also when several threads write concurrently.
class EventStream {
public:
  virtual ~EventStream() = default;
  /// Sends an event with a single `data:` line; \p Data has no line break.
  /// Returns false if the caller has disconnected or reads too slowly.
  virtual bool send(std::string_view Data) = 0;
  /// Sends a comment, which callers ignore. A caller that disappears without
  /// closing its connection is detected only by writing: without comments, that
  /// would go unnoticed while the engine produces no output, and the engine
  /// would keep working on the abandoned request.
  virtual bool comment() = 0;
  /// Ends the response gracefully.
  virtual void close() = 0;
  /// Bytes accepted and not yet written to the caller's connection.
  virtual size_t queuedBytes() const = 0;
};

} // namespace figlift::http
