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
  Update.Incarnation = Root.at(1).get<uint64_t>();
  for (const Json &Item : Root.at(2))
    Update.Sums.push_back({Item.at(0).get<WindowNumber>(),
                           Item.at(1).get<bool>(), Item.at(2).get<Counts>()});
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
  return Report{Root.at("window").get<WindowNumber>(),
                Root.at("counts").get<Counts>()};
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "usage report");
}

} // namespace figlift::usage
