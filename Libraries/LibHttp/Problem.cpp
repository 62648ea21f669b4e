//===- Problem.cpp - Problem details (RFC 9457) ---------------------------===//
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

std::string problemBody(const Error &Problem, std::string_view RequestId) {
  const ResultCodeInfo &Info = resultCodeInfo(Problem.Code);
  nlohmann::ordered_json Body;
  Body["type"] = "urn:figlift:result-code:" +
                 std::to_string(static_cast<int>(Problem.Code));
  Body["title"] = std::string(Info.Name);
  Body["status"] = Info.HttpStatus;
  Body["detail"] = Problem.Message;
  Body["code"] = static_cast<int>(Problem.Code);
  Body["executed"] = std::string(executionName(Info.Executed));
  if (!Problem.Field.empty())
    Body["field"] = Problem.Field;
  if (!RequestId.empty())
    Body["request_id"] = std::string(RequestId);
  if (Problem.RetryAfter)
    Body["retry_after_ms"] = Problem.RetryAfter->count();
  // Messages may quote input of the caller, which may not be valid UTF-8.
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Response problemResponse(const Error &Problem, std::string_view RequestId) {
  Response Reply;
  Reply.Status = resultCodeInfo(Problem.Code).HttpStatus;
  Reply.ContentType = "application/problem+json";
  Reply.Body = problemBody(Problem, RequestId);
  if (!RequestId.empty())
    Reply.Headers.emplace_back("X-Request-Id", std::string(RequestId));
  if (Problem.RetryAfter) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(*Problem.RetryAfter);
    Reply.Headers.emplace_back("Retry-After", std::to_string(Seconds.count()));
  }
  return Reply;
}

} // namespace figlift::http
