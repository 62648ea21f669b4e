//===- GrantRow.cpp - The row slice/<back end> ----------------------------===//
//
// Format: {"grants":[{"slice":0,"home":"vm-1","epoch":1},...]}
//
//===----------------------------------------------------------------------===//

#include "LibIdempotency/GrantRow.h"

#include <nlohmann/json.hpp>

namespace figlift::idempotency {

using Json = nlohmann::json;

std::string grantRowKey(std::string_view BackEnd) {
  return "slice/" + std::string(BackEnd);
}

Result<GrantTable> readGrantRow(std::string_view Value) {
  GrantTable Grants{};
  if (Value.empty())
    return Grants;
  try {
    const Json Row = Json::parse(Value);
    for (const Json &Item : Row.at("grants")) {
      const auto Slice = Item.at("slice").get<SliceId>();
      if (Slice < idempotency::SliceCount)
        Grants[Slice] = {Item.at("home").get<std::string>(),
                         Item.at("epoch").get<uint64_t>()};
    }
  } catch (const Json::exception &Exception) {
    return failure(ResultCode::Internal, Exception.what(), "slice");
  }
  return Grants;
}

std::string writeGrantRow(const GrantTable &Grants) {
  Json Items = Json::array();
  for (SliceId Slice = 0; Slice < Grants.size(); ++Slice)
    if (Grants[Slice].Epoch != 0)
      Items.push_back({{"slice", Slice},
                       {"home", Grants[Slice].Home},
                       {"epoch", Grants[Slice].Epoch}});
  return Json{{"grants", Items}}.dump();
}

} // namespace figlift::idempotency
