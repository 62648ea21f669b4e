//===- VersionRecord.cpp - Software versions of a service, as kept --------===//
//
// JSON; times are milliseconds of the store's clock.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/VersionRecord.h"

#include "LibCore/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figlift::dispatch {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

int64_t encodeTime(StoreTime Time) { return Time.time_since_epoch().count(); }

/// Negative numbers are cut off: differences of the others do not overflow.
milliseconds decodeDuration(const Json &Value) {
  return milliseconds(std::max<int64_t>(wholeNumber<int64_t>(Value), 0));
}

} // namespace

std::string encodeVersionRecord(const VersionRecord &Record) {
  Json Versions = Json::array();
  for (const RecordedVersion &Entry : Record.Versions) {
    Json Encoded = {{"version", Entry.Name},
                    {"takeUpMs", Entry.TakeUpTime.count()}};
    if (Entry.Until)
      Encoded["untilMs"] = encodeTime(*Entry.Until);
    Versions.push_back(std::move(Encoded));
  }
  Json Root = {{"completeSinceMs", encodeTime(Record.CompleteSince)},
               {"cut", Record.IsCut},
               {"versions", std::move(Versions)}};
  if (Record.Era)
    Root["era"] = *Record.Era;
  return Root.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<VersionRecord> decodeVersionRecord(std::string_view Text) try {
  FIGLIFT_TRY(Root, parseMessage(Text));
  VersionRecord Record;
  Record.CompleteSince = StoreTime(decodeDuration(Root.at("completeSinceMs")));
  Record.IsCut = Root.value("cut", false);
  if (Root.contains("era"))
    Record.Era = wholeNumber<uint64_t>(Root.at("era"));
  for (const Json &Encoded : Root.at("versions")) {
    RecordedVersion &Entry = Record.Versions.emplace_back();
    Entry.Name = Encoded.at("version").get<std::string>();
    Entry.TakeUpTime = decodeDuration(Encoded.at("takeUpMs"));
    if (Encoded.contains("untilMs"))
      Entry.Until = StoreTime(decodeDuration(Encoded.at("untilMs")));
  }
  return Record;
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "versions");
}

} // namespace figlift::dispatch
