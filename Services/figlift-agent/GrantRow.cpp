//===- GrantRow.cpp - The row slice/<back end> ----------------------------===//
//
// {"grants":[{"slice":0,"home":"vm-1","epoch":1},...]}
//
//===----------------------------------------------------------------------===//

#include "GrantRow.h"

#include <nlohmann/json.hpp>

namespace figlift::agent {

using Json = nlohmann::json;

std::string grantRowKey(std::string_view BackEnd) {
  return "slice/" + std::string(BackEnd);
}

Result<idempotency::GrantTable> readGrantRow(std::string_view Value) {
  idempotency::GrantTable Out{};
  if (Value.empty())
    return Out;
  try {
    const Json Row = Json::parse(Value);
    for (const Json &Line : Row.at("grants")) {
      const auto Slice = Line.at("slice").get<idempotency::SliceId>();
      if (Slice < idempotency::SliceCount)
        Out[Slice] = {Line.at("home").get<std::string>(),
                      Line.at("epoch").get<uint64_t>()};
    }
  } catch (const Json::exception &Caught) {
    return failure(ResultCode::Internal, Caught.what(), "slice");
  }
  return Out;
}

std::string writeGrantRow(const idempotency::GrantTable &Grants) {
  Json Lines = Json::array();
  for (idempotency::SliceId Slice = 0; Slice < Grants.size(); ++Slice)
    if (Grants[Slice].Epoch != 0)
      Lines.push_back({{"slice", Slice},
                       {"home", Grants[Slice].Home},
                       {"epoch", Grants[Slice].Epoch}});
  return Json{{"grants", Lines}}.dump();
}

} // namespace figlift::agent
