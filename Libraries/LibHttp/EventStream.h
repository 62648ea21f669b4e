//===- EventStream.h - Server-sent events -----------------------*- C++ -*-===//
//
// Writer of a text/event-stream answer.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace figlift::http {

/// Members may be called from any thread. An event or comment is written whole,
/// also when two threads write at once.
class EventStream {
public:
  virtual ~EventStream() = default;
  /// Sends one event of a single `data:` line; \p Data holds no line break.
  /// False when the caller has gone or reads too slowly.
  virtual bool send(std::string_view Data) = 0;
  /// Sends a comment, which callers ignore. A caller who has gone shows only
  /// when bytes are written: without comments a long silence of the engine
  /// would hide it, and the engine would work for nobody.
  virtual bool comment() = 0;
  /// Ends the answer in good order.
  virtual void close() = 0;
  /// Bytes taken from us and not yet written to the caller's connection.
  virtual size_t queuedBytes() const = 0;
};

} // namespace figlift::http
