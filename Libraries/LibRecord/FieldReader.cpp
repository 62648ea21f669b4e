//===- FieldReader.cpp - Checked access to the members of JSON ------------===//
//
// The checks themselves and the wording of their errors.
//
//===----------------------------------------------------------------------===//

#include "LibRecord/FieldReader.h"

#include <charconv>
#include <cmath>

namespace figlift::record {

using Json = nlohmann::json;

/// Longest piece of a record that an error repeats.
static constexpr size_t MaximumQuoted = 60;

static std::string quoted(const Json &Value) {
  std::string Text = Value.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (Text.size() > MaximumQuoted)
    Text = Text.substr(0, MaximumQuoted) + "...";
  return Text;
}

/// A plain decimal: "0.5" rather than "0.500000".
static std::string plain(double Value) { return Json(Value).dump(); }

std::optional<std::chrono::milliseconds> parseDuration(std::string_view Text) {
  uint64_t Count = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Code != std::errc() || Count > 1'000'000'000)
    return std::nullopt;
  std::string_view Unit(End, Text.data() + Text.size() - End);
  if (Unit == "ms")
    return std::chrono::milliseconds(Count);
  if (Unit == "s")
    return std::chrono::seconds(Count);
  if (Unit == "m")
    return std::chrono::minutes(Count);
  if (Unit == "h")
    return std::chrono::hours(Count);
  return std::nullopt;
}

FieldReader::FieldReader(const Json &Object, std::string Path,
                         unsigned SchemaVersion)
    : m_Object(Object), m_Path(std::move(Path)),
      m_SchemaVersion(SchemaVersion) {
  if (!Object.is_object())
    fail(m_Path, "found " + quoted(Object) + "; allowed: an object");
}

bool FieldReader::has(const std::string &Name) const {
  return m_Object.is_object() && m_Object.contains(Name);
}

std::string FieldReader::pathOf(const std::string &Name) const {
  return m_Path.empty() ? Name : m_Path + "." + Name;
}

void FieldReader::fail(const std::string &Path, std::string Message) {
  if (!m_Error)
    m_Error = Error{ResultCode::RecordInvalid, std::move(Message), Path,
                    std::nullopt};
}

void FieldReader::refuse(const std::string &Name, const std::string &Allowed) {
  std::string Found = has(Name) ? quoted(m_Object.at(Name)) : "nothing";
  fail(pathOf(Name), "found " + Found + "; allowed: " + Allowed);
}

void FieldReader::needsVersion2(const std::string &Name) {
  m_Known.insert(Name);
  if (has(Name) && m_SchemaVersion < 2)
    fail(pathOf(Name), "found a field of schema version 2 in a record of "
                       "version 1; allowed: leave it out, or set "
                       "\"schemaVersion\": 2");
}

void FieldReader::require(const std::string &Name, const std::string &Allowed) {
  if (!has(Name))
    refuse(Name, Allowed);
}

const Json *FieldReader::member(const std::string &Name) {
  m_Known.insert(Name);
  if (m_Error || !has(Name))
    return nullptr;
  return &m_Object.at(Name);
}

void FieldReader::read(const std::string &Name, bool &Into) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  if (!Value->is_boolean())
    return refuse(Name, "true or false");
  Into = Value->get<bool>();
}

bool FieldReader::textOf(const std::string &Name, std::string &Into) {
  const Json *Value = member(Name);
  if (!Value)
    return false;
  if (!Value->is_string()) {
    refuse(Name, "a text");
    return false;
  }
  Into = Value->get<std::string>();
  return true;
}

void FieldReader::read(const std::string &Name, std::string &Into,
                       size_t MaximumLength) {
  std::string Text;
  if (!textOf(Name, Text))
    return;
  if (Text.empty() || Text.size() > MaximumLength)
    return refuse(Name,
                  "a text of 1 to " + std::to_string(MaximumLength) + " bytes");
  Into = std::move(Text);
}

void FieldReader::read(const std::string &Name, double &Into, double Minimum,
                       double Maximum) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  bool Good = Value->is_number();
  double Number = Good ? Value->get<double>() : 0;
  if (!Good || !std::isfinite(Number) || Number < Minimum || Number > Maximum)
    return refuse(Name,
                  "a number from " + plain(Minimum) + " to " + plain(Maximum));
  Into = Number;
}

std::optional<uint64_t> FieldReader::integer(const std::string &Name,
                                             uint64_t Minimum,
                                             uint64_t Maximum) {
  const Json *Value = member(Name);
  if (!Value)
    return std::nullopt;
  if (Value->is_number_unsigned())
    if (auto Number = Value->get<uint64_t>();
        Number >= Minimum && Number <= Maximum)
      return Number;
  refuse(Name, "a whole number from " + std::to_string(Minimum) + " to " +
                   std::to_string(Maximum));
  return std::nullopt;
}

void FieldReader::read(const std::string &Name, std::chrono::milliseconds &Into,
                       std::chrono::milliseconds Minimum,
                       std::chrono::milliseconds Maximum) {
  std::string Text;
  if (!textOf(Name, Text))
    return;
  auto Value = parseDuration(Text);
  if (!Value || *Value < Minimum || *Value > Maximum)
    return refuse(Name, "a time with unit (\"250ms\", \"4s\", \"2m\", \"1h\") "
                        "from " +
                            std::to_string(Minimum.count()) + "ms to " +
                            std::to_string(Maximum.count()) + "ms");
  Into = *Value;
}

void FieldReader::read(const std::string &Name, std::vector<std::string> &Into,
                       const std::function<bool(const std::string &)> &Accept,
                       const std::string &Allowed) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  if (!Value->is_array())
    return refuse(Name, "an array of: " + Allowed);
  for (size_t Index = 0; Index < Value->size(); ++Index) {
    const Json &Element = (*Value)[Index];
    if (!Element.is_string() || !Accept(Element.get<std::string>()))
      return fail(pathOf(Name) + "[" + std::to_string(Index) + "]",
                  "found " + quoted(Element) + "; allowed: " + Allowed);
    Into.push_back(Element.get<std::string>());
  }
}

void FieldReader::readObjects(const std::string &Name,
                              const std::function<void(FieldReader &)> &Each) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  if (!Value->is_array())
    return refuse(Name, "an array of objects");
  for (size_t Index = 0; Index < Value->size(); ++Index) {
    FieldReader Child((*Value)[Index],
                      pathOf(Name) + "[" + std::to_string(Index) + "]",
                      m_SchemaVersion);
    Each(Child);
    adopt(Child);
  }
}

void FieldReader::readObject(const std::string &Name,
                             const std::function<void(FieldReader &)> &Inside) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  FieldReader Child(*Value, pathOf(Name), m_SchemaVersion);
  Inside(Child);
  adopt(Child);
}

void FieldReader::adopt(const FieldReader &Child) {
  if (!m_Error)
    m_Error = Child.m_Error;
}

void FieldReader::finish() {
  if (m_Error)
    return;
  for (const auto &[Name, Value] : m_Object.items()) {
    if (m_Known.contains(Name))
      continue;
    std::string Allowed;
    for (const std::string &Each : m_Known)
      Allowed += (Allowed.empty() ? "\"" : ", \"") + Each + '"';
    return fail(pathOf(Name), "found an unknown field; allowed: " + Allowed);
  }
}

} // namespace figlift::record
