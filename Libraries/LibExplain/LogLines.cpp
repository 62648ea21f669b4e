//===- LogLines.cpp - Reads the log lines of gateways ---------------------===//
//
// See LogLines.h.
//
//===----------------------------------------------------------------------===//

#include "LibExplain/LogLines.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <optional>

namespace figlift::explain {

namespace {

using Json = nlohmann::ordered_json;

/// Parses a time such as "2026-06-29T04:50:03.047Z".
std::optional<WallTime> parseTime(const std::string &Text) {
  int Year = 0;
  unsigned Month = 0;
  unsigned Day = 0;
  unsigned Hour = 0;
  unsigned Minute = 0;
  unsigned Second = 0;
  unsigned Milli = 0;
  if (std::sscanf(Text.c_str(), "%4d-%2u-%2uT%2u:%2u:%2u.%3uZ", &Year, &Month,
                  &Day, &Hour, &Minute, &Second, &Milli) != 7)
    return std::nullopt;
  const std::chrono::year_month_day Date{std::chrono::year(Year),
                                         std::chrono::month(Month),
                                         std::chrono::day(Day)};
  if (!Date.ok())
    return std::nullopt;
  return WallTime(std::chrono::sys_days(Date).time_since_epoch() +
                  std::chrono::hours(Hour) + std::chrono::minutes(Minute) +
                  std::chrono::seconds(Second) +
                  std::chrono::milliseconds(Milli));
}

std::string text(const Json &Line, const char *Name) {
  const auto Value = Line.find(Name);
  return Value != Line.end() && Value->is_string() ? Value->get<std::string>()
                                                   : std::string();
}

timeline::Subject subjectOf(const Json &Line) {
  if (const std::string Request = text(Line, "request"); !Request.empty())
    return {timeline::SubjectType::Request, Request};
  if (const std::string Target = text(Line, "target"); !Target.empty())
    return {timeline::SubjectType::Target, Target};
  return {timeline::SubjectType::Process, text(Line, "process")};
}

std::optional<timeline::Event> parseLine(std::string_view Line) {
  const Json Parsed = Json::parse(Line, nullptr, /*allow_exceptions=*/false);
  if (!Parsed.is_object())
    return std::nullopt;
  const auto Time = parseTime(text(Parsed, "time"));
  if (!Time || text(Parsed, "event").empty())
    return std::nullopt;
  timeline::Event Result;
  Result.Timestamp = timeline::Stamp::of(*Time);
  Result.ProcessId = text(Parsed, "process");
  Result.Kind = text(Parsed, "event");
  Result.EventSubject = subjectOf(Parsed);
  for (const auto &[Name, Value] : Parsed.items())
    if (Name != "time" && Name != "process" && Name != "event" &&
        Name != "request" && Name != "level")
      Result.Fields.push_back({Name, timeline::valueFromJson(Value)});
  return Result;
}

} // namespace

void LogLines::add(std::string_view Text) {
  while (!Text.empty()) {
    const size_t End = std::min(Text.find('\n'), Text.size());
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    const size_t Brace = Line.find('{');
    if (Brace == std::string_view::npos) {
      UnparsedLines += Line.empty() ? 0 : 1;
      continue;
    }
    if (auto Parsed = parseLine(Line.substr(Brace)))
      Events.push_back(std::move(*Parsed));
    else
      ++UnparsedLines;
  }
}

void LogLines::sort() {
  std::stable_sort(
      Events.begin(), Events.end(),
      [](const timeline::Event &Left, const timeline::Event &Right) {
        return Left.Timestamp < Right.Timestamp;
      });
}

} // namespace figlift::explain
