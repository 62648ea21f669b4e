//===- ValueType.cpp - Value types of settings ----------------------------===//
//
// Visitors with one overload per type to read, write and describe values.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/ValueType.h"

#include <optional>

namespace figlift::settings {

namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

bool isInRange(uint64_t Number, Range Allowed) {
  return Number >= Allowed.Minimum && Number <= Allowed.Maximum;
}

/// The string in a JSON value; nothing for another type.
std::optional<std::string> text(const Json &Value) {
  if (!Value.is_string())
    return std::nullopt;
  return Value.get<std::string>();
}

template <typename T>
bool assign(T &Destination, const Json &Value,
            Result<T> (*Parse)(std::string_view)) {
  auto Text = text(Value);
  if (!Text)
    return false;
  auto Parsed = Parse(*Text);
  if (!Parsed)
    return false;
  Destination = Parsed.value();
  return true;
}

Result<TargetType> parseTargetType(std::string_view Text) {
  if (Text == "engine")
    return TargetType::Engine;
  if (Text == "service")
    return TargetType::Service;
  return failure(ResultCode::InvalidInput, "unknown target type");
}

struct Reader {
  const Json &Value;
  Range Allowed;

  bool operator()(std::string *Destination) const {
    auto Text = text(Value);
    if (!Text || Text->empty())
      return false;
    *Destination = *Text;
    return true;
  }
  bool operator()(Endpoint *Destination) const {
    return assign(*Destination, Value, Endpoint::parse);
  }
  bool operator()(std::vector<Endpoint> *Destination) const {
    if (!Value.is_array())
      return false;
    std::vector<Endpoint> Parsed(Value.size());
    for (size_t I = 0; I < Parsed.size(); ++I)
      if (!assign(Parsed[I], Value[I], Endpoint::parse))
        return false;
    *Destination = std::move(Parsed);
    return true;
  }
  bool operator()(milliseconds *Destination) const {
    milliseconds Parsed{};
    if (!assign(Parsed, Value, parseDuration) ||
        !isInRange(static_cast<uint64_t>(Parsed.count()), Allowed))
      return false;
    *Destination = Parsed;
    return true;
  }
  bool operator()(ByteSize *Destination) const {
    ByteSize Parsed;
    if (!assign(Parsed, Value, parseSize) || !isInRange(Parsed.Bytes, Allowed))
      return false;
    *Destination = Parsed;
    return true;
  }
  bool operator()(unsigned *Destination) const {
    if (!Value.is_number_unsigned() ||
        !isInRange(Value.get<uint64_t>(), Allowed))
      return false;
    *Destination = Value.get<unsigned>();
    return true;
  }
  bool operator()(bool *Destination) const {
    if (!Value.is_boolean())
      return false;
    *Destination = Value.get<bool>();
    return true;
  }
  bool operator()(double *Destination) const {
    if (!Value.is_number())
      return false;
    const auto Parsed = Value.get<double>();
    if (!(Parsed >= static_cast<double>(Allowed.Minimum) &&
          Parsed <= static_cast<double>(Allowed.Maximum)))
      return false;
    *Destination = Parsed;
    return true;
  }
  template <typename Period>
  bool operator()(std::chrono::duration<double, Period> *Destination) const {
    double Parsed = 0;
    if (!(*this)(&Parsed))
      return false;
    *Destination = std::chrono::duration<double, Period>(Parsed);
    return true;
  }
  bool operator()(log::Format *Destination) const {
    return assign(*Destination, Value, log::parseFormat);
  }
  bool operator()(log::Level *Destination) const {
    return assign(*Destination, Value, log::parseLevel);
  }
  bool operator()(TargetType *Destination) const {
    return assign(*Destination, Value, parseTargetType);
  }
};

struct Writer {
  Json operator()(const std::string *Source) const { return *Source; }
  Json operator()(const Endpoint *Source) const { return Source->toString(); }
  Json operator()(const std::vector<Endpoint> *Source) const {
    Json List = Json::array();
    for (const Endpoint &Listed : *Source)
      List.push_back(Listed.toString());
    return List;
  }
  Json operator()(const milliseconds *Source) const {
    return toString(*Source);
  }
  Json operator()(const ByteSize *Source) const { return toString(*Source); }
  Json operator()(const unsigned *Source) const { return *Source; }
  Json operator()(const bool *Source) const { return *Source; }
  Json operator()(const double *Source) const { return *Source; }
  template <typename Period>
  Json operator()(const std::chrono::duration<double, Period> *Source) const {
    return Source->count();
  }
  Json operator()(const log::Format *Source) const {
    return *Source == log::Format::Json ? "json" : "text";
  }
  Json operator()(const log::Level *Source) const {
    return std::string(log::toString(*Source));
  }
  Json operator()(const TargetType *Source) const {
    return *Source == TargetType::Engine ? "engine" : "service";
  }
};

struct Describer {
  Range Allowed;

  std::string operator()(const std::string *) const {
    return "a non-empty string";
  }
  std::string operator()(const Endpoint *) const {
    return "an address such as \"127.0.0.1:8080\"";
  }
  std::string operator()(const std::vector<Endpoint> *) const {
    return "a list of addresses such as \"127.0.0.1:8080\"";
  }
  std::string operator()(const milliseconds *) const {
    return "a duration from \"" + toString(milliseconds(Allowed.Minimum)) +
           "\" to \"" + toString(milliseconds(Allowed.Maximum)) + "\"";
  }
  std::string operator()(const ByteSize *) const {
    return "a size from \"" + toString(ByteSize{Allowed.Minimum}) + "\" to \"" +
           toString(ByteSize{Allowed.Maximum}) + "\"";
  }
  std::string operator()(const unsigned *) const {
    return "a whole number from " + std::to_string(Allowed.Minimum) + " to " +
           std::to_string(Allowed.Maximum);
  }
  std::string operator()(const bool *) const { return "true or false"; }
  std::string operator()(const double *) const { return number("a number"); }
  std::string operator()(const PlainSeconds *) const {
    return number("a number of seconds");
  }
  std::string operator()(const PlainMilliseconds *) const {
    return number("a number of milliseconds");
  }
  std::string number(const std::string &Noun) const {
    return Noun + " from " + std::to_string(Allowed.Minimum) + " to " +
           std::to_string(Allowed.Maximum);
  }
  std::string operator()(const log::Format *) const {
    return "\"json\" or \"text\"";
  }
  std::string operator()(const log::Level *) const {
    return "\"trace\", \"debug\", \"info\", \"warning\", \"error\" or "
           "\"off\"";
  }
  std::string operator()(const TargetType *) const {
    return "\"engine\" or \"service\"";
  }
};

} // namespace

bool storeValue(const FieldRow &Row, const Json &Value) {
  return std::visit(Reader{Value, Row.Allowed}, Row.Value);
}

Json loadValue(const FieldRow &Row) { return std::visit(Writer{}, Row.Value); }

std::string describeAllowed(const FieldRow &Row) {
  return std::visit(Describer{Row.Allowed}, Row.Value);
}

} // namespace figlift::settings
