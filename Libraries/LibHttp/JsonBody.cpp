//===- JsonBody.cpp - Parser for JSON request bodies ----------------------===//
//
// See JsonBody.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/JsonBody.h"

#include <string>

namespace figlift::http {

bool nestsDeeperThan(std::string_view Json, size_t Depth) {
  size_t OpenBrackets = 0;
  bool InString = false;
  for (size_t I = 0; I < Json.size(); ++I) {
    const char Character = Json[I];
    if (InString) {
      if (Character == '\\')
        ++I;
      else if (Character == '"')
        InString = false;
    } else if (Character == '"') {
      InString = true;
    } else if (Character == '{' || Character == '[') {
      if (++OpenBrackets > Depth)
        return true;
    } else if ((Character == '}' || Character == ']') && OpenBrackets > 0) {
      --OpenBrackets;
    }
  }
  return false;
}

Result<nlohmann::json> parseJsonBody(std::string_view Body) {
  if (nestsDeeperThan(Body, MaximumJsonDepth))
    return failure(ResultCode::InvalidInput,
                   "JSON may be nested at most " +
                       std::to_string(MaximumJsonDepth) + " levels deep",
                   "body");
  nlohmann::json Parsed =
      nlohmann::json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (Parsed.is_discarded())
    return failure(ResultCode::InvalidInput, "the body is not JSON", "body");
  return Parsed;
}

} // namespace figlift::http
