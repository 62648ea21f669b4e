//===- Log.cpp - Structured log -------------------------------------------===//
//
// Formats a line in the calling thread and hands it to spdlog, whose sink
// takes a lock for the write alone.
//
//===----------------------------------------------------------------------===//

#include "LibLog/Log.h"

#include "LibCore/Clock.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <memory>
#include <type_traits>
#include <utility>

namespace figlift::log {

namespace detail {
std::atomic<Level> Threshold{Level::Info};
} // namespace detail

namespace {

using Json = nlohmann::ordered_json;

struct LevelName {
  Level Which;
  std::string_view Name;
};
constexpr std::array LevelNames = {
    LevelName{Level::Trace, "trace"}, LevelName{Level::Debug, "debug"},
    LevelName{Level::Info, "info"},   LevelName{Level::Warning, "warning"},
    LevelName{Level::Error, "error"}, LevelName{Level::Off, "off"}};

struct State {
  Options Current;
  std::shared_ptr<spdlog::logger> Logger;
};

std::shared_ptr<spdlog::logger> makeLogger() {
  auto Logger = std::make_shared<spdlog::logger>(
      "figlift", std::make_shared<spdlog::sinks::stderr_sink_mt>());
  Logger->set_pattern("%v");
  Logger->set_level(spdlog::level::trace);
  return Logger;
}

State &state() {
  static State Instance{{}, makeLogger()};
  return Instance;
}

/// Rounded to a microsecond: finer digits say nothing and cost bytes.
double toMilliseconds(std::chrono::nanoseconds Time) {
  return std::round(std::chrono::duration<double, std::micro>(Time).count()) /
         1000;
}

Json toJson(const FieldValue &Value) {
  return std::visit(
      [](const auto &Held) -> Json {
        using Type = std::decay_t<decltype(Held)>;
        if constexpr (std::is_same_v<Type, std::chrono::nanoseconds>)
          return toMilliseconds(Held);
        else if constexpr (std::is_same_v<Type, std::string_view>)
          return std::string(Held);
        else
          return Held;
      },
      Value);
}

std::string dump(const Json &Value) {
  // Bytes that are not UTF-8 would otherwise throw in the middle of a log call.
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string timeText(WallTime Now) {
  auto Second = std::chrono::floor<std::chrono::seconds>(Now);
  std::time_t Time = std::chrono::system_clock::to_time_t(Second);
  std::tm Parts{};
  gmtime_r(&Time, &Parts);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                     Parts.tm_year + 1900, Parts.tm_mon + 1, Parts.tm_mday,
                     Parts.tm_hour, Parts.tm_min, Parts.tm_sec,
                     (Now - Second).count());
}

Json makeLine(Level Severity, std::string_view Name, std::string_view RequestId,
              std::string_view AttemptId, FieldList Fields) {
  Json Line;
  Line["time"] = timeText(wallNow());
  Line["level"] = toString(Severity);
  Line["process"] = state().Current.ProcessId;
  Line["event"] = Name;
  if (!RequestId.empty())
    Line["request"] = RequestId;
  if (!AttemptId.empty())
    Line["attempt"] = AttemptId;
  for (const auto &[Key, Value] : Fields)
    Line[std::string(Key)] = toJson(Value);
  return Line;
}

bool isPlain(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Byte) {
    return Byte >= 0x20 && Byte < 0x7f && Byte != '"' && Byte != '\\';
  });
}

void appendText(std::string &To, std::string_view Text) {
  if (!isPlain(Text)) {
    To += dump(std::string(Text));
    return;
  }
  To += '"';
  To += Text;
  To += '"';
}

void appendValue(std::string &To, const FieldValue &Value) {
  std::visit(
      [&](const auto &Held) {
        using Type = std::decay_t<decltype(Held)>;
        if constexpr (std::is_same_v<Type, std::string_view>)
          appendText(To, Held);
        else if constexpr (std::is_same_v<Type, std::chrono::nanoseconds>)
          fmt::format_to(std::back_inserter(To), "{}", toMilliseconds(Held));
        else if constexpr (std::is_same_v<Type, double>)
          // JSON has no infinity.
          To += std::isfinite(Held) ? fmt::format("{}", Held) : "null";
        else
          fmt::format_to(std::back_inserter(To), "{}", Held);
      },
      Value);
}

void appendField(std::string &To, std::string_view Key,
                 const FieldValue &Value) {
  To += ",\"";
  To += Key;
  To += "\":";
  appendValue(To, Value);
}

/// The line as JSON, written as it goes: built as a tree first, a line took
/// three times as long, and with them a gateway 9% of its processor time.
std::string asJson(Level Severity, std::string_view Name,
                   std::string_view RequestId, std::string_view AttemptId,
                   FieldList Fields) {
  constexpr size_t UsualLength = 512;
  std::string Line;
  Line.reserve(UsualLength);
  Line = "{\"time\":\"" + timeText(wallNow()) + '"';
  appendField(Line, "level", toString(Severity));
  appendField(Line, "process", std::string_view(state().Current.ProcessId));
  appendField(Line, "event", Name);
  if (!RequestId.empty())
    appendField(Line, "request", RequestId);
  if (!AttemptId.empty())
    appendField(Line, "attempt", AttemptId);
  for (const auto &[Key, Value] : Fields)
    appendField(Line, Key, Value);
  Line += '}';
  return Line;
}

/// "TIME LEVEL PROCESS EVENT key=value ...".
std::string asText(const Json &Line) {
  std::string Text;
  size_t Position = 0;
  for (const auto &[Key, Value] : Line.items()) {
    if (Position != 0)
      Text += ' ';
    if (Position++ < 4) {
      Text += Value.get<std::string>();
      continue;
    }
    Text += Key + "=" + dump(Value);
  }
  return Text;
}

} // namespace

Result<Level> parseLevel(std::string_view Text) {
  for (const auto &[Which, Name] : LevelNames)
    if (Name == Text)
      return Which;
  return failure(ResultCode::InvalidInput,
                 "found \"" + std::string(Text) +
                     "\"; allowed are trace, debug, info, warning, error and "
                     "off");
}

Result<Format> parseFormat(std::string_view Text) {
  if (Text == "json")
    return Format::Json;
  if (Text == "text")
    return Format::Text;
  return failure(ResultCode::InvalidInput, "found \"" + std::string(Text) +
                                               "\"; allowed are json and text");
}

std::string_view toString(Level Which) {
  return LevelNames[static_cast<size_t>(Which)].Name;
}

void configure(Options Wanted) {
  detail::Threshold.store(Wanted.Threshold, std::memory_order_relaxed);
  state().Current = std::move(Wanted);
}

void detail::write(Level Severity, std::string_view Name,
                   std::string_view RequestId, std::string_view AttemptId,
                   FieldList Fields) {
  const Options &Current = state().Current;
  const std::string Text =
      Current.Form == Format::Json
          ? asJson(Severity, Name, RequestId, AttemptId, Fields)
          : asText(makeLine(Severity, Name, RequestId, AttemptId, Fields));
  if (Current.Sink)
    return Current.Sink(Text);
  state().Logger->log(spdlog::level::info, spdlog::string_view_t(Text));
}

void logError(Level Severity, std::string_view Name, const Error &Reason) {
  logEvent(Severity, Name,
           {{"code", static_cast<int>(Reason.Code)},
            {"message", Reason.Message},
            {"field", Reason.Field}});
}

} // namespace figlift::log
