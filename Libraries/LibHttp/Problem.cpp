//===- Problem.cpp - Problem details of errors ----------------------------===//
//
// See Problem.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/Problem.h"

#include <nlohmann/json.hpp>

namespace figlift::http {

std::string_view executionName(Execution Executed) {
  switch (Executed) {
  case Execution::NotRun:
    return "not-run";
  case Execution::MayHaveRun:
    return "unknown";
  case Execution::Ran:
    return "ran";
  case Execution::NotApplicable:
    break;
  }
  return "not-applicable";
}

std::string problemBody(const Error &What, std::string_view RequestId) {
  const ResultCodeInfo &Info = resultCodeInfo(What.Code);
  nlohmann::ordered_json Body;
  Body["type"] =
      "urn:figlift:result-code:" + std::to_string(static_cast<int>(What.Code));
  Body["title"] = std::string(Info.Name);
  Body["status"] = Info.HttpStatus;
  Body["detail"] = What.Message;
  Body["code"] = static_cast<int>(What.Code);
  Body["executed"] = std::string(executionName(Info.Executed));
  if (!What.Field.empty())
    Body["field"] = What.Field;
  if (!RequestId.empty())
    Body["request_id"] = std::string(RequestId);
  if (What.RetryAfter)
    Body["retry_after_ms"] = What.RetryAfter->count();
  // Messages may quote a caller's bytes, which need not be UTF-8.
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Response problemResponse(const Error &What, std::string_view RequestId) {
  Response Answer;
  Answer.Status = resultCodeInfo(What.Code).HttpStatus;
  Answer.ContentType = "application/problem+json";
  Answer.Body = problemBody(What, RequestId);
  if (!RequestId.empty())
    Answer.Headers.emplace_back("X-Request-Id", std::string(RequestId));
  if (What.RetryAfter) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(*What.RetryAfter);
    Answer.Headers.emplace_back("Retry-After", std::to_string(Seconds.count()));
  }
  return Answer;
}

} // namespace figlift::http
