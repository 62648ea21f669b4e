//===- Log.h - Structured log ------------------------------------*- C++
//-*-===//
//
// One line for each event, as JSON or as text, on standard error through
// spdlog. A line has a name, typed fields and, where they apply, the ids of the
// request and the attempt. Prompts, answers, bodies and idempotency keys are
// never logged: they are customers' data, and a key lets its reader fetch the
// stored answer. Sizes and digests may be logged in their place.
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
std::string_view toString(Level Which);

struct Options {
  Format Form = Format::Json;
  Level Threshold = Level::Info;
  /// Stands in every line.
  std::string ProcessId;
  /// Receives the finished lines instead of standard error; for tests.
  std::function<void(std::string_view)> Sink;
};

/// Replaces the process's log. Called at the start of main, before there are
/// other threads; until then lines go to standard error as JSON.
void configure(Options Wanted);

namespace detail {
extern std::atomic<Level> Threshold;
void write(Level Severity, std::string_view Name, std::string_view RequestId,
           std::string_view AttemptId, FieldList Fields);
} // namespace detail

inline bool isOn(Level Severity) {
  return Severity >= detail::Threshold.load(std::memory_order_relaxed);
}

/// Logs one event. \p Name is a constant such as "order-refused". Any thread.
inline void logEvent(Level Severity, std::string_view Name,
                     FieldList Fields = {}) {
  if (isOn(Severity))
    detail::write(Severity, Name, {}, {}, Fields);
}

/// Logs an event of one request; \p AttemptId may be empty.
inline void logRequest(Level Severity, std::string_view Name,
                       std::string_view RequestId, std::string_view AttemptId,
                       FieldList Fields = {}) {
  if (isOn(Severity))
    detail::write(Severity, Name, RequestId, AttemptId, Fields);
}

/// Logs an error with its code, message and field.
void logError(Level Severity, std::string_view Name, const Error &Reason);

} // namespace figlift::log
