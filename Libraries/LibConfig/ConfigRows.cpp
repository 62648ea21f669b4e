//===- ConfigRows.cpp - Rows of the configuration in the table ------------===//
//
// JSON codecs of the rows.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigRows.h"

#include "LibCore/BoundedJson.h"

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

static std::string serialize(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeHead(uint64_t Revision) {
  return serialize({{"revision", Revision}});
}

std::string encodeRecord(const StoredRecord &Value) {
  return serialize({{"kind", Value.Kind},
                    {"name", Value.Name},
                    {"version", Value.Version},
                    {"revision", Value.Revision},
                    {"withdrawn", Value.Withdrawn},
                    {"record", Value.Text}});
}

std::string encodeChange(std::string_view Kind, std::string_view Name) {
  return serialize({{"kind", Kind}, {"name", Name}});
}

std::string encodeOperation(const OperationRow &Value) {
  Json Records = Json::array();
  for (const auto &[Kind, Name, Version] : Value.Records)
    Records.push_back({{"kind", Kind}, {"name", Name}, {"version", Version}});
  return serialize({{"revision", Value.Revision},
                    {"digest", Value.Digest},
                    {"records", std::move(Records)}});
}

template <typename Decoder>
static auto decode(const platform::Row &Row, Decoder Decode)
    -> Result<decltype(Decode(Json()))> {
  const auto Parsed = parseMessage(Row.Value);
  if (!Parsed)
    return failure(ResultCode::Internal, "row " + Row.Key + " is malformed: " +
                                             Parsed.error().Message);
  try {
    return Decode(Parsed.value());
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::Internal,
                   "row " + Row.Key + " is malformed: " + Exception.what());
  }
}

Result<uint64_t> decodeHead(const platform::Row &Row) {
  if (Row.Version == 0)
    return uint64_t(0);
  return decode(Row, [](const Json &Value) {
    return Value.at("revision").get<uint64_t>();
  });
}

/// Kind and name in config/record/<kind>/<name>.
static std::pair<std::string, std::string>
splitRecordKey(const std::string &Key) {
  auto KindAndName = Key.substr(std::min(RecordPrefix.size(), Key.size()));
  auto Slash = KindAndName.find('/');
  if (Slash == std::string::npos)
    return {KindAndName, ""};
  return {KindAndName.substr(0, Slash), KindAndName.substr(Slash + 1)};
}

/// The record as submitted. It is stored as a string; a row written by another
/// program may contain it as JSON.
static std::string recordText(const Json &Value) {
  if (!Value.contains("record"))
    return "";
  const Json &Record = Value.at("record");
  return Record.is_string() ? Record.get<std::string>() : serialize(Record);
}

Result<StoredRecord> decodeRecord(const platform::Row &Row) {
  StoredRecord Decoded;
  std::tie(Decoded.Kind, Decoded.Name) = splitRecordKey(Row.Key);
  if (Row.Version == 0)
    return Decoded;
  return decode(Row, [&Decoded](const Json &Value) {
    Decoded.Version = Value.at("version").get<uint64_t>();
    Decoded.Revision = Value.at("revision").get<uint64_t>();
    Decoded.Withdrawn = Value.value("withdrawn", false);
    Decoded.Text = recordText(Value);
    return Decoded;
  });
}

Result<std::pair<std::string, std::string>>
decodeChange(const platform::Row &Row) {
  return decode(Row, [](const Json &Value) {
    return std::pair(Value.at("kind").get<std::string>(),
                     Value.at("name").get<std::string>());
  });
}

Result<OperationRow> decodeOperation(const platform::Row &Row) {
  return decode(Row, [](const Json &Value) {
    OperationRow Decoded;
    Decoded.Revision = Value.at("revision").get<uint64_t>();
    Decoded.Digest = Value.value("digest", "");
    for (const Json &Record : Value.value("records", Json::array()))
      Decoded.Records.push_back({Record.at("kind"), Record.at("name"),
                                 Record.at("version").get<uint64_t>()});
    return Decoded;
  });
}

} // namespace figlift::config
