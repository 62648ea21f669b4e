//===- ConfigRows.cpp - Rows of the configuration in the table ------------===//
//
// JSON codecs of the rows.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigRows.h"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace figlift::config {

using Json = nlohmann::json;

std::string recordKey(std::string_view Kind, std::string_view Name) {
  return std::string(RecordPrefix) + std::string(Kind) + "/" +
         std::string(Name);
}

std::string changeKey(uint64_t Revision) {
  char Digits[32];
  std::snprintf(Digits, sizeof Digits, "%012llu",
                static_cast<unsigned long long>(Revision));
  return std::string(ChangePrefix) + Digits;
}

std::string operationKey(std::string_view OperationId) {
  return "config/operation/" + std::string(OperationId);
}

static std::string dumped(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeHead(uint64_t Revision) {
  return dumped({{"revision", Revision}});
}

std::string encodeEntry(const Entry &Value) {
  return dumped({{"kind", Value.Kind},
                 {"name", Value.Name},
                 {"version", Value.Version},
                 {"revision", Value.Revision},
                 {"withdrawn", Value.Withdrawn},
                 {"record", Value.Text}});
}

std::string encodeChange(std::string_view Kind, std::string_view Name) {
  return dumped({{"kind", Kind}, {"name", Name}});
}

std::string encodeOperation(const OperationRow &Value) {
  Json Records = Json::array();
  for (const auto &[Kind, Name, Version] : Value.Records)
    Records.push_back({{"kind", Kind}, {"name", Name}, {"version", Version}});
  return dumped({{"revision", Value.Revision},
                 {"digest", Value.Digest},
                 {"records", std::move(Records)}});
}

template <typename Reader>
static auto decoded(const platform::Row &Row, Reader Read)
    -> Result<decltype(Read(Json()))> {
  try {
    return Read(Json::parse(Row.Value));
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::Internal,
                   "row " + Row.Key + " is malformed: " + Exception.what());
  }
}

Result<uint64_t> decodeHead(const platform::Row &Row) {
  if (Row.Version == 0)
    return uint64_t(0);
  return decoded(Row, [](const Json &Value) {
    return Value.at("revision").get<uint64_t>();
  });
}

/// Kind and name of config/record/<kind>/<name>.
static std::pair<std::string, std::string> namesIn(const std::string &Key) {
  auto Rest = Key.substr(std::min(RecordPrefix.size(), Key.size()));
  auto Slash = Rest.find('/');
  if (Slash == std::string::npos)
    return {Rest, ""};
  return {Rest.substr(0, Slash), Rest.substr(Slash + 1)};
}

/// The record as submitted: its text, or JSON when something else wrote it.
static std::string textIn(const Json &Value) {
  if (!Value.contains("record"))
    return "";
  const Json &Record = Value.at("record");
  return Record.is_string() ? Record.get<std::string>() : dumped(Record);
}

Result<Entry> decodeEntry(const platform::Row &Row) {
  Entry Read;
  std::tie(Read.Kind, Read.Name) = namesIn(Row.Key);
  if (Row.Version == 0)
    return Read;
  return decoded(Row, [&Read](const Json &Value) {
    Read.Version = Value.at("version").get<uint64_t>();
    Read.Revision = Value.at("revision").get<uint64_t>();
    Read.Withdrawn = Value.value("withdrawn", false);
    Read.Text = textIn(Value);
    return Read;
  });
}

Result<std::pair<std::string, std::string>>
decodeChange(const platform::Row &Row) {
  return decoded(Row, [](const Json &Value) {
    return std::pair(Value.at("kind").get<std::string>(),
                     Value.at("name").get<std::string>());
  });
}

Result<OperationRow> decodeOperation(const platform::Row &Row) {
  return decoded(Row, [](const Json &Value) {
    OperationRow Read;
    Read.Revision = Value.at("revision").get<uint64_t>();
    Read.Digest = Value.value("digest", "");
    for (const Json &Each : Value.value("records", Json::array()))
      Read.Records.push_back({Each.at("kind"), Each.at("name"),
                              Each.at("version").get<uint64_t>()});
    return Read;
  });
}

} // namespace figlift::config
