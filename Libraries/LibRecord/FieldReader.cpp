//===- FieldReader.cpp - Validating reader of JSON objects ----------------===//
//
// Validation and its error messages.
//
//===----------------------------------------------------------------------===//

#include "LibRecord/FieldReader.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace figlift::record {

using Json = nlohmann::json;

/// Longest part of a record that an error message quotes.
static constexpr size_t MaximumQuotedBytes = 60;

/// Appends \p Value as JSON until \p Text is longer than MaximumQuotedBytes.
/// The sender decides how deep and how large a value is: each level of nesting
/// appends at least one byte, which bounds the recursion, and a long text is
/// escaped only as far as it can be shown.
static void appendStart(std::string &Text, const Json &Value) {
  const auto IsLongEnough = [&] { return Text.size() > MaximumQuotedBytes; };
  const auto AppendText = [&](const std::string &Shown) {
    // A character that is cut off begins in the last three bytes, beyond those
    // that are shown.
    Text += Json(Shown.substr(0, MaximumQuotedBytes + 4))
                .dump(-1, ' ', true, Json::error_handler_t::replace);
  };
  if (IsLongEnough())
    return;
  if (Value.is_string())
    return AppendText(Value.get_ref<const std::string &>());
  if (Value.is_binary()) {
    Text += "bytes";
    return;
  }
  if (!Value.is_structured()) {
    Text += Value.dump();
    return;
  }
  Text += Value.is_array() ? '[' : '{';
  bool IsFirst = true;
  for (auto Member = Value.begin(); Member != Value.end(); ++Member) {
    if (IsLongEnough())
      return;
    if (!std::exchange(IsFirst, false))
      Text += ',';
    if (Value.is_object()) {
      AppendText(Member.key());
      Text += ':';
    }
    appendStart(Text, *Member);
  }
  Text += Value.is_array() ? ']' : '}';
}

static std::string quoted(const Json &Value) {
  std::string Text;
  appendStart(Text, Value);
  if (Text.size() > MaximumQuotedBytes)
    Text = Text.substr(0, MaximumQuotedBytes) + "...";
  return Text;
}

/// Shortest decimal form: "0.5" rather than "0.500000".
static std::string decimalText(double Value) { return Json(Value).dump(); }

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
    : FieldReader(Object, std::move(Path), SchemaVersion, false) {}

FieldReader::FieldReader(const Json &Object, std::string Path,
                         unsigned SchemaVersion, bool HidesValues)
    : m_Object(Object), m_Path(std::move(Path)), m_SchemaVersion(SchemaVersion),
      m_HidesValues(HidesValues) {
  if (!Object.is_object())
    fail(m_Path, "found " + shown(Object) + "; expected an object");
}

std::string FieldReader::shown(const Json &Value) const {
  return m_HidesValues ? "a value that is not shown" : quoted(Value);
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

void FieldReader::reject(const std::string &Name, const std::string &Expected) {
  std::string Found = has(Name) ? shown(m_Object.at(Name)) : "nothing";
  fail(pathOf(Name), "found " + Found + "; expected " + Expected);
}

void FieldReader::requireVersion2(const std::string &Name) {
  m_KnownNames.insert(Name);
  if (has(Name) && m_SchemaVersion < 2)
    fail(pathOf(Name), "found a field of schema version 2 in a record of "
                       "version 1; remove the field, or set "
                       "\"schemaVersion\": 2");
}

void FieldReader::require(const std::string &Name,
                          const std::string &Expected) {
  if (!has(Name))
    reject(Name, Expected);
}

const Json *FieldReader::member(const std::string &Name) {
  m_KnownNames.insert(Name);
  if (m_Error || !has(Name))
    return nullptr;
  return &m_Object.at(Name);
}

void FieldReader::read(const std::string &Name, bool &Output) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  if (!Value->is_boolean())
    return reject(Name, "true or false");
  Output = Value->get<bool>();
}

bool FieldReader::readText(const std::string &Name, std::string &Output) {
  const Json *Value = member(Name);
  if (!Value)
    return false;
  if (!Value->is_string()) {
    reject(Name, "a text");
    return false;
  }
  Output = Value->get<std::string>();
  return true;
}

void FieldReader::read(const std::string &Name, std::string &Output,
                       size_t MaximumLength) {
  std::string Text;
  if (!readText(Name, Text))
    return;
  if (Text.empty() || Text.size() > MaximumLength)
    return reject(Name,
                  "a text of 1 to " + std::to_string(MaximumLength) + " bytes");
  Output = std::move(Text);
}

void FieldReader::read(const std::string &Name, double &Output, double Minimum,
                       double Maximum) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  bool IsNumber = Value->is_number();
  double Number = IsNumber ? Value->get<double>() : 0;
  if (!IsNumber || !std::isfinite(Number) || Number < Minimum ||
      Number > Maximum)
    return reject(Name, "a number from " + decimalText(Minimum) + " to " +
                            decimalText(Maximum));
  Output = Number;
}

std::optional<uint64_t> FieldReader::readUnsigned(const std::string &Name,
                                                  uint64_t Minimum,
                                                  uint64_t Maximum) {
  const Json *Value = member(Name);
  if (!Value)
    return std::nullopt;
  if (Value->is_number_unsigned())
    if (auto Number = Value->get<uint64_t>();
        Number >= Minimum && Number <= Maximum)
      return Number;
  reject(Name, "a whole number from " + std::to_string(Minimum) + " to " +
                   std::to_string(Maximum));
  return std::nullopt;
}

void FieldReader::read(const std::string &Name,
                       std::chrono::milliseconds &Output,
                       std::chrono::milliseconds Minimum,
                       std::chrono::milliseconds Maximum) {
  std::string Text;
  if (!readText(Name, Text))
    return;
  auto Value = parseDuration(Text);
  if (!Value || *Value < Minimum || *Value > Maximum)
    return reject(Name, "a duration (\"250ms\", \"4s\", \"2m\", \"1h\") "
                        "from " +
                            std::to_string(Minimum.count()) + "ms to " +
                            std::to_string(Maximum.count()) + "ms");
  Output = *Value;
}

void FieldReader::read(const std::string &Name,
                       std::vector<std::string> &Output,
                       const std::function<bool(const std::string &)> &IsValid,
                       const std::string &Expected) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  if (!Value->is_array())
    return reject(Name, "an array of: " + Expected);
  for (size_t Index = 0; Index < Value->size(); ++Index) {
    const Json &Element = (*Value)[Index];
    if (!Element.is_string() || !IsValid(Element.get<std::string>()))
      return fail(pathOf(Name) + "[" + std::to_string(Index) + "]",
                  "found " + shown(Element) + "; expected " + Expected);
    Output.push_back(Element.get<std::string>());
  }
}

void FieldReader::readObjects(
    const std::string &Name,
    const std::function<void(FieldReader &)> &ReadElement) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  if (!Value->is_array())
    return reject(Name, "an array of objects");
  for (size_t Index = 0; Index < Value->size(); ++Index) {
    FieldReader Child((*Value)[Index],
                      pathOf(Name) + "[" + std::to_string(Index) + "]",
                      m_SchemaVersion, m_HidesValues);
    ReadElement(Child);
    takeErrorOf(Child);
  }
}

void FieldReader::readObject(
    const std::string &Name,
    const std::function<void(FieldReader &)> &ReadMembers) {
  const Json *Value = member(Name);
  if (!Value)
    return;
  FieldReader Child(*Value, pathOf(Name), m_SchemaVersion, m_HidesValues);
  ReadMembers(Child);
  takeErrorOf(Child);
}

void FieldReader::takeErrorOf(const FieldReader &Child) {
  if (!m_Error)
    m_Error = Child.m_Error;
}

void FieldReader::finish() {
  if (m_Error)
    return;
  for (const auto &[Name, Value] : m_Object.items()) {
    if (m_KnownNames.contains(Name))
      continue;
    std::string Expected;
    for (const std::string &Known : m_KnownNames)
      Expected += (Expected.empty() ? "\"" : ", \"") + Known + '"';
    return fail(pathOf(Name),
                "found an unknown field; known fields are " + Expected);
  }
}

} // namespace figlift::record
