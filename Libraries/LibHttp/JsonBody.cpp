//===- JsonBody.cpp - JSON of a request's body ----------------------------===//
//
// See JsonBody.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/JsonBody.h"

#include <string>

namespace figlift::http {

bool nestsDeeperThan(std::string_view Json, size_t Depth) {
  size_t Open = 0;
  bool InText = false;
  for (size_t At = 0; At < Json.size(); ++At) {
    const char Letter = Json[At];
    if (InText) {
      if (Letter == '\\')
        ++At;
      else if (Letter == '"')
        InText = false;
    } else if (Letter == '"') {
      InText = true;
    } else if (Letter == '{' || Letter == '[') {
      if (++Open > Depth)
        return true;
    } else if ((Letter == '}' || Letter == ']') && Open > 0) {
      --Open;
    }
  }
  return false;
}

Result<nlohmann::json> parseJsonBody(std::string_view Body) {
  if (nestsDeeperThan(Body, MaximumJsonDepth))
    return failure(ResultCode::InvalidInput,
                   "JSON may be nested " + std::to_string(MaximumJsonDepth) +
                       " levels deep",
                   "body");
  nlohmann::json Parsed =
      nlohmann::json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (Parsed.is_discarded())
    return failure(ResultCode::InvalidInput, "the body is not JSON", "body");
  return Parsed;
}

} // namespace figlift::http
