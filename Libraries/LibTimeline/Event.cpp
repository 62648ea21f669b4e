//===- Event.cpp - JSON form of events ------------------------------------===//
//
// Exceptions of the JSON library end here.
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
      [](const auto &Held) -> Json {
        using Type = std::decay_t<decltype(Held)>;
        if constexpr (std::is_same_v<Type, std::chrono::nanoseconds>)
          return std::chrono::duration<double, std::milli>(Held).count();
        else
          return Held;
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
  return std::tie(Left.When, Left.ProcessId) <
         std::tie(Right.When, Right.ProcessId);
}

Json toJson(const Event &Which) {
  Json Value;
  Value["stamp"] = Which.When.toString();
  Value["process"] = Which.ProcessId;
  Value["kind"] = Which.Kind;
  Value["subject"] = {{"type", toString(Which.About.Type)},
                      {"name", Which.About.Name}};
  if (!Which.Cause.isNone())
    Value["cause"] = Which.Cause.toString();
  Json &Fields = Value["fields"] = Json::object();
  for (const auto &[Name, Held] : Which.Fields)
    Fields[Name] = toJson(Held);
  return Value;
}

Result<Event> eventFromJson(const Json &Value) try {
  Event Read;
  FIGLIFT_TRY(When, Stamp::parse(Value.at("stamp").get<std::string>()));
  Read.When = When;
  Read.ProcessId = Value.at("process").get<std::string>();
  Read.Kind = Value.at("kind").get<std::string>();
  const Json &About = Value.at("subject");
  Read.About = {subjectTypeFrom(About.at("type").get<std::string>()),
                About.at("name").get<std::string>()};
  if (auto Cause = Value.find("cause"); Cause != Value.end()) {
    FIGLIFT_TRY(Parsed, Stamp::parse(Cause->get<std::string>()));
    Read.Cause = Parsed;
  }
  if (auto Fields = Value.find("fields"); Fields != Value.end())
    for (const auto &[Name, Held] : Fields->items())
      Read.Fields.push_back({Name, valueFromJson(Held)});
  return Read;
} catch (const nlohmann::json::exception &Thrown) {
  return failure(ResultCode::InvalidInput,
                 std::string("not a time line event: ") + Thrown.what());
}

} // namespace figlift::timeline
