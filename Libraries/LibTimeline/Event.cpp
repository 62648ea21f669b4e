//===- Event.cpp - JSON form of events ------------------------------------===//
//
// Catches the exceptions of the JSON library and returns errors instead.
//
//===----------------------------------------------------------------------===//

#include "LibTimeline/Event.h"

#include <nlohmann/json.hpp>

#include <array>
#include <tuple>
#include <type_traits>

namespace figlift::timeline {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 6> SubjectNames = {
    "process", "request", "target", "shard", "record", "slice"};

Json toJson(const OwnedValue &Value) {
  return std::visit(
      [](const auto &Alternative) -> Json {
        using Type = std::decay_t<decltype(Alternative)>;
        if constexpr (std::is_same_v<Type, std::chrono::nanoseconds>)
          return std::chrono::duration<double, std::milli>(Alternative).count();
        else
          return Alternative;
      },
      Value);
}

SubjectType subjectTypeFrom(std::string_view Name) {
  for (size_t I = 0; I < SubjectNames.size(); ++I)
    if (SubjectNames[I] == Name)
      return static_cast<SubjectType>(I);
  return SubjectType::Process;
}

} // namespace

OwnedValue valueFromJson(const Json &Value) {
  if (Value.is_boolean())
    return Value.get<bool>();
  if (Value.is_number_unsigned())
    return Value.get<uint64_t>();
  if (Value.is_number_integer())
    return Value.get<int64_t>();
  if (Value.is_number())
    return Value.get<double>();
  if (Value.is_string())
    return Value.get<std::string>();
  return Value.dump();
}

std::string_view toString(SubjectType Type) {
  return SubjectNames[static_cast<size_t>(Type)];
}

bool isBefore(const Event &Left, const Event &Right) {
  return std::tie(Left.Timestamp, Left.ProcessId) <
         std::tie(Right.Timestamp, Right.ProcessId);
}

Json toJson(const Event &Item) {
  Json Value;
  Value["stamp"] = Item.Timestamp.toString();
  Value["process"] = Item.ProcessId;
  Value["kind"] = Item.Kind;
  Value["subject"] = {{"type", toString(Item.EventSubject.Type)},
                      {"name", Item.EventSubject.Name}};
  if (!Item.Cause.isNone())
    Value["cause"] = Item.Cause.toString();
  Json &Fields = Value["fields"] = Json::object();
  for (const auto &[Name, FieldValue] : Item.Fields)
    Fields[Name] = toJson(FieldValue);
  return Value;
}

Result<Event> eventFromJson(const Json &Value) try {
  Event Parsed;
  FIGLIFT_TRY(Timestamp, Stamp::parse(Value.at("stamp").get<std::string>()));
  Parsed.Timestamp = Timestamp;
  Parsed.ProcessId = Value.at("process").get<std::string>();
  Parsed.Kind = Value.at("kind").get<std::string>();
  const Json &SubjectJson = Value.at("subject");
  Parsed.EventSubject = {
      subjectTypeFrom(SubjectJson.at("type").get<std::string>()),
      SubjectJson.at("name").get<std::string>()};
  if (auto Cause = Value.find("cause"); Cause != Value.end()) {
    FIGLIFT_TRY(CauseStamp, Stamp::parse(Cause->get<std::string>()));
    Parsed.Cause = CauseStamp;
  }
  if (auto Fields = Value.find("fields"); Fields != Value.end())
    for (const auto &[Name, FieldValue] : Fields->items())
      Parsed.Fields.push_back({Name, valueFromJson(FieldValue)});
  return Parsed;
} catch (const nlohmann::json::exception &Exception) {
  return failure(ResultCode::InvalidInput,
                 std::string("invalid timeline event: ") + Exception.what());
}

} // namespace figlift::timeline
