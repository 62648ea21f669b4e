//===- FieldTable.cpp - Table-driven settings -----------------------------===//
//
// Checks the JSON for unknown keys, then stores the value of each row. Converts
// exceptions of the JSON library to errors.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/FieldTable.h"

#include "LibSettings/ValueType.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace figlift::settings {

namespace {

using Json = nlohmann::ordered_json;

auto invalid(std::string Message, std::string Field = {}) {
  return failure(ResultCode::SettingsInvalid, std::move(Message),
                 std::move(Field));
}

std::string join(std::string_view Parent, std::string_view Key) {
  if (Parent.empty())
    return std::string(Key);
  return std::string(Parent) + "." + std::string(Key);
}

/// Finds duplicate keys within one object. The JSON library silently keeps one
/// of them, so an operator's edit of the other would have no effect.
class DuplicateFinder {
public:
  bool operator()(int, Json::parse_event_t Event, Json &Parsed) {
    if (Event == Json::parse_event_t::object_start)
      m_Open.emplace_back();
    else if (Event == Json::parse_event_t::object_end)
      m_Open.pop_back();
    else if (Event == Json::parse_event_t::key)
      recordKey(Parsed.get<std::string>());
    return true;
  }
  const std::string &duplicate() const { return m_Duplicate; }

private:
  void recordKey(const std::string &Key) {
    if (!m_Open.back().insert(Key).second && m_Duplicate.empty())
      m_Duplicate = Key;
  }

  /// Keys of the objects being parsed, outermost first.
  std::vector<std::set<std::string>> m_Open;
  std::string m_Duplicate;
};

Result<Json> parseText(std::string_view Text) try {
  DuplicateFinder Finder;
  Json Parsed = Json::parse(
      Text,
      [&](int Depth, Json::parse_event_t Event, Json &Value) {
        return Finder(Depth, Event, Value);
      },
      true, true);
  if (!Finder.duplicate().empty())
    return invalid("found the key \"" + Finder.duplicate() +
                       "\" twice in one object; expected it once",
                   Finder.duplicate());
  if (!Parsed.is_object())
    return invalid("found no JSON object; expected one object");
  return Parsed;
} catch (const Json::exception &Exception) {
  // The exception's text contains the line and the column.
  return invalid(Exception.what());
}

const FieldRow *findRow(const FieldTable &Rows, const std::string &Path) {
  auto Row = std::ranges::find(Rows, Path, &FieldRow::Path);
  return Row == Rows.end() ? nullptr : &*Row;
}

/// The valid keys directly below \p Parent.
std::string allowedKeys(const FieldTable &Rows, const std::string &Parent) {
  std::string Prefix = Parent.empty() ? "" : Parent + ".";
  std::vector<std::string_view> Keys;
  for (const FieldRow &Row : Rows) {
    if (!Row.Path.starts_with(Prefix))
      continue;
    auto Rest = Row.Path.substr(Prefix.size());
    auto Key = Rest.substr(0, Rest.find('.'));
    if (std::ranges::find(Keys, Key) == Keys.end())
      Keys.push_back(Key);
  }
  std::string Text;
  for (auto Key : Keys)
    Text += (Text.empty() ? "" : ", ") + std::string(Key);
  return Text;
}

Result<void> checkKeys(const FieldTable &Rows, const Json &Object,
                       const std::string &Parent) {
  for (const auto &[Key, Value] : Object.items()) {
    std::string Path = join(Parent, Key);
    if (findRow(Rows, Path))
      continue;
    bool IsGroup = std::ranges::any_of(Rows, [&](const FieldRow &Row) {
      return Row.Path.starts_with(Path + ".");
    });
    if (!IsGroup)
      return invalid("found an unknown key; expected one of " +
                         allowedKeys(Rows, Parent),
                     Path);
    if (!Value.is_object())
      return invalid("found " + Value.dump() + "; expected an object with " +
                         allowedKeys(Rows, Path),
                     Path);
    FIGLIFT_TRY(checkKeys(Rows, Value, Path));
  }
  return success();
}

const Json *findValue(const Json &Root, std::string_view Path) {
  const Json *Current = &Root;
  while (true) {
    auto Dot = Path.find('.');
    auto Member = Current->find(std::string(Path.substr(0, Dot)));
    if (Member == Current->end())
      return nullptr;
    Current = &*Member;
    if (Dot == std::string_view::npos)
      return Current;
    Path.remove_prefix(Dot + 1);
  }
}

Result<void> readRow(const FieldRow &Row, const Json &Root) {
  const Json *Value = findValue(Root, Row.Path);
  if (!Value && Row.FieldPresence == Presence::Optional)
    return success();
  std::string Path(Row.Path);
  if (!Value)
    return invalid("found nothing; expected " + describeAllowed(Row), Path);
  if (!storeValue(Row, *Value))
    return invalid(
        "found " + Value->dump() + "; expected " + describeAllowed(Row), Path);
  return success();
}

Json::json_pointer jsonPointer(std::string_view Path) {
  std::string Pointer = "/" + std::string(Path);
  std::ranges::replace(Pointer, '.', '/');
  return Json::json_pointer(Pointer);
}

std::string defaultText(const FieldRow &Row) {
  if (Row.FieldPresence == Presence::Required)
    return "required";
  return "`" + loadValue(Row).dump() + "`";
}

} // namespace

Result<void> readFields(const FieldTable &Rows, std::string_view Json) {
  FIGLIFT_TRY(Root, parseText(Json));
  FIGLIFT_TRY(checkKeys(Rows, Root, ""));
  for (const FieldRow &Row : Rows) {
    FIGLIFT_TRY(readRow(Row, Root));
  }
  return success();
}

std::string printFields(const FieldTable &Rows) {
  Json Root = Json::object();
  for (const FieldRow &Row : Rows)
    Root[jsonPointer(Row.Path)] = loadValue(Row);
  return Root.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string describeFields(const FieldTable &Rows) {
  std::string Text = "| field | value | default | meaning |\n"
                     "|---|---|---|---|\n";
  for (const FieldRow &Row : Rows)
    Text += "| `" + std::string(Row.Path) + "` | " + describeAllowed(Row) +
            " | " + defaultText(Row) + " | " + std::string(Row.Meaning) +
            " |\n";
  return Text;
}

} // namespace figlift::settings
