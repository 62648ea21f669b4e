//===- UsageUpdate.cpp - Usage sums of one gateway, as a message ----------===//
//
// See UsageUpdate.h.
//
//===----------------------------------------------------------------------===//

#include "LibUsage/UsageUpdate.h"

#include "LibCore/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace figlift::usage {

using Json = nlohmann::json;

namespace {

Counts decodeCounts(const Json &Encoded) {
  Counts Decoded;
  for (const auto &[Name, Count] : Encoded.get_ref<const Json::object_t &>())
    Decoded[Name] = wholeNumber<uint64_t>(Count);
  return Decoded;
}

} // namespace

std::string encodeUsageUpdate(const UsageUpdate &Update) {
  Json Sums = Json::array();
  for (const WindowSum &Sum : Update.Sums)
    Sums.push_back({Sum.Window, Sum.Final, Sum.Requests});
  std::string Bytes;
  Json::to_cbor(Json::array({Update.Sender, Update.Incarnation, Sums}), Bytes);
  return Bytes;
}

Result<UsageUpdate> decodeUsageUpdate(std::string_view Bytes) try {
  FIGLIFT_TRY(Root, parseCborMessage(Bytes));
  UsageUpdate Update;
  Update.Sender = Root.at(0).get<std::string>();
  Update.Incarnation = wholeNumber<uint64_t>(Root.at(1));
  for (const Json &Item : Root.at(2))
    Update.Sums.push_back({wholeNumber<WindowNumber>(Item.at(0)),
                           Item.at(1).get<bool>(), decodeCounts(Item.at(2))});
  return Update;
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "usage update");
}

std::string encodeReport(const Report &Reported) {
  return Json{{"window", Reported.Window}, {"counts", Reported.Requests}}
      .dump();
}

Result<Report> decodeReport(std::string_view Text) try {
  FIGLIFT_TRY(Root, parseMessage(Text));
  return Report{wholeNumber<WindowNumber>(Root.at("window")),
                decodeCounts(Root.at("counts"))};
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "usage report");
}

} // namespace figlift::usage
