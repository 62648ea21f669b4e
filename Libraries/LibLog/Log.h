//===- Log.h - Structured log -----------------------------------*- C++ -*-===//
//
// Writes one line per event, as JSON or text, to standard error through spdlog.
// A line has an event name, typed fields and, where they apply, the ids of the
// request and the attempt. Prompts, responses, bodies and idempotency keys are
// never logged: they are customer data, and with a key a reader could fetch the
// stored response. Sizes and digests may be logged instead.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Field.h"
#include "LibCore/Result.h"

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

namespace figlift::log {

enum class Level { Trace, Debug, Info, Warning, Error, Off };
enum class Format { Json, Text };

/// "trace", "debug", "info", "warning", "error" or "off".
Result<Level> parseLevel(std::string_view Text);
/// "json" or "text".
Result<Format> parseFormat(std::string_view Text);
std::string_view toString(Level Value);

struct Options {
  Format OutputFormat = Format::Json;
  Level Threshold = Level::Info;
  /// Written to every line.
  std::string ProcessId;
  /// Receives the formatted lines instead of standard error; for tests.
  std::function<void(std::string_view)> Sink;
};

/// Configures the log of the process. Called at the start of main(), before
/// other threads exist; until then lines go to standard error as JSON.
void configure(Options NewOptions);

namespace detail {
extern std::atomic<Level> Threshold;
void write(Level Severity, std::string_view Name, std::string_view RequestId,
           std::string_view AttemptId, FieldList Fields);
} // namespace detail

inline bool isEnabled(Level Severity) {
  return Severity >= detail::Threshold.load(std::memory_order_relaxed);
}

/// Logs an event; \p Name is a constant such as "order-refused". Any thread.
inline void logEvent(Level Severity, std::string_view Name,
                     FieldList Fields = {}) {
  if (isEnabled(Severity))
    detail::write(Severity, Name, {}, {}, Fields);
}

/// Logs an event of one request; \p AttemptId may be empty.
inline void logRequest(Level Severity, std::string_view Name,
                       std::string_view RequestId, std::string_view AttemptId,
                       FieldList Fields = {}) {
  if (isEnabled(Severity))
    detail::write(Severity, Name, RequestId, AttemptId, Fields);
}

/// Logs an error with its code, message and field.
void logError(Level Severity, std::string_view Name, const Error &Reason);

} // namespace figlift::log
