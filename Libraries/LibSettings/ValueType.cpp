//===- ValueType.cpp - The types that a setting may have ------------------===//
//
// One overload of read, write and describe for each type.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/ValueType.h"

#include <optional>

namespace figlift::settings {

namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

bool isIn(uint64_t Number, Range Allowed) {
  return Number >= Allowed.Minimum && Number <= Allowed.Maximum;
}

/// The string inside a JSON value, or nothing for another type.
std::optional<std::string> text(const Json &Value) {
  if (!Value.is_string())
    return std::nullopt;
  return Value.get<std::string>();
}

template <typename T>
bool assign(T &Into, const Json &Value, Result<T> (*Parse)(std::string_view)) {
  auto Text = text(Value);
  if (!Text)
    return false;
  auto Parsed = Parse(*Text);
  if (!Parsed)
    return false;
  Into = Parsed.value();
  return true;
}

Result<TargetType> parseTargetType(std::string_view Text) {
  if (Text == "engine")
    return TargetType::Engine;
  if (Text == "service")
    return TargetType::Service;
  return failure(ResultCode::InvalidInput, "not a type of target");
}

struct Reader {
  const Json &Value;
  Range Allowed;

  bool operator()(std::string *Into) const {
    auto Text = text(Value);
    if (!Text || Text->empty())
      return false;
    *Into = *Text;
    return true;
  }
  bool operator()(Endpoint *Into) const {
    return assign(*Into, Value, Endpoint::parse);
  }
  bool operator()(std::vector<Endpoint> *Into) const {
    if (!Value.is_array())
      return false;
    std::vector<Endpoint> Read(Value.size());
    for (size_t I = 0; I < Read.size(); ++I)
      if (!assign(Read[I], Value[I], Endpoint::parse))
        return false;
    *Into = std::move(Read);
    return true;
  }
  bool operator()(milliseconds *Into) const {
    milliseconds Read{};
    if (!assign(Read, Value, parseDuration) ||
        !isIn(static_cast<uint64_t>(Read.count()), Allowed))
      return false;
    *Into = Read;
    return true;
  }
  bool operator()(ByteSize *Into) const {
    ByteSize Read;
    if (!assign(Read, Value, parseSize) || !isIn(Read.Bytes, Allowed))
      return false;
    *Into = Read;
    return true;
  }
  bool operator()(unsigned *Into) const {
    if (!Value.is_number_unsigned() || !isIn(Value.get<uint64_t>(), Allowed))
      return false;
    *Into = Value.get<unsigned>();
    return true;
  }
  bool operator()(bool *Into) const {
    if (!Value.is_boolean())
      return false;
    *Into = Value.get<bool>();
    return true;
  }
  bool operator()(double *Into) const {
    if (!Value.is_number())
      return false;
    const auto Read = Value.get<double>();
    if (!(Read >= static_cast<double>(Allowed.Minimum) &&
          Read <= static_cast<double>(Allowed.Maximum)))
      return false;
    *Into = Read;
    return true;
  }
  template <typename Period>
  bool operator()(std::chrono::duration<double, Period> *Into) const {
    double Read = 0;
    if (!(*this)(&Read))
      return false;
    *Into = std::chrono::duration<double, Period>(Read);
    return true;
  }
  bool operator()(log::Format *Into) const {
    return assign(*Into, Value, log::parseFormat);
  }
  bool operator()(log::Level *Into) const {
    return assign(*Into, Value, log::parseLevel);
  }
  bool operator()(TargetType *Into) const {
    return assign(*Into, Value, parseTargetType);
  }
};

struct Writer {
  Json operator()(const std::string *From) const { return *From; }
  Json operator()(const Endpoint *From) const { return From->toString(); }
  Json operator()(const std::vector<Endpoint> *From) const {
    Json List = Json::array();
    for (const Endpoint &Each : *From)
      List.push_back(Each.toString());
    return List;
  }
  Json operator()(const milliseconds *From) const { return toString(*From); }
  Json operator()(const ByteSize *From) const { return toString(*From); }
  Json operator()(const unsigned *From) const { return *From; }
  Json operator()(const bool *From) const { return *From; }
  Json operator()(const double *From) const { return *From; }
  template <typename Period>
  Json operator()(const std::chrono::duration<double, Period> *From) const {
    return From->count();
  }
  Json operator()(const log::Format *From) const {
    return *From == log::Format::Json ? "json" : "text";
  }
  Json operator()(const log::Level *From) const {
    return std::string(log::toString(*From));
  }
  Json operator()(const TargetType *From) const {
    return *From == TargetType::Engine ? "engine" : "service";
  }
};

struct Describer {
  Range Allowed;

  std::string operator()(const std::string *) const {
    return "a string that is not empty";
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
  std::string number(const std::string &What) const {
    return What + " from " + std::to_string(Allowed.Minimum) + " to " +
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

bool store(const FieldRow &Row, const Json &Value) {
  return std::visit(Reader{Value, Row.Allowed}, Row.Value);
}

Json load(const FieldRow &Row) { return std::visit(Writer{}, Row.Value); }

std::string describeAllowed(const FieldRow &Row) {
  return std::visit(Describer{Row.Allowed}, Row.Value);
}

} // namespace figlift::settings
