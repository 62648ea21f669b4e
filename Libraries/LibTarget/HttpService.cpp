//===- HttpService.cpp - Plain service over HTTP --------------------------===//
//
// Sends a call at most once unless it is repeatable.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpService.h"

#include <cpprest/base_uri.h>

#include <algorithm>
#include <cctype>

namespace figlift::target {

using upstream::HttpAnswer;
using upstream::HttpRequest;
using upstream::Reuse;

/// Longest time without data in a call that may be repeated.
static constexpr std::chrono::milliseconds RepeatableTimeout{60000};

/// Whether \p Text could end its line of the request early.
static bool hasControlCharacter(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](unsigned char Character) {
    return std::iscntrl(Character) != 0;
  });
}

static Result<HttpRequest> createRequest(ServiceRequest Call) {
  if (!web::uri::validate(Call.Path) || hasControlCharacter(Call.Path))
    return failure(ResultCode::InvalidInput, "not a valid path", "path");
  for (const std::string &Text :
       {Call.Method, Call.ContentType, Call.IdempotencyKey})
    if (hasControlCharacter(Text))
      return failure(ResultCode::InvalidInput, "a control character", "header");
  HttpRequest Request;
  Request.Method = std::move(Call.Method);
  Request.Path = std::move(Call.Path);
  if (!Call.ContentType.empty())
    Request.Headers.add("Content-Type", std::move(Call.ContentType));
  if (!Call.IdempotencyKey.empty())
    Request.Headers.add("Idempotency-Key", std::move(Call.IdempotencyKey));
  Request.Body = std::move(Call.Body);
  // A service that ran the call and died before it answered would run it twice
  // if it was sent again.
  Request.ConnectionReuse = Call.Repeatable ? Reuse::Allowed : Reuse::Never;
  Request.SilenceTimeout = Call.Repeatable ? RepeatableTimeout : Call.Timeout;
  return Request;
}

HttpService::HttpService(Endpoint Target)
    : m_Client(callThread(), std::move(Target)) {}

void HttpService::call(ServiceRequest Request, CallDone<ServiceReply> Done) {
  auto Created = createRequest(std::move(Request));
  if (!Created) {
    Done(CallError{Execution::NotRun, Created.error()});
    return;
  }
  sendCall(m_Client, std::move(Created.value()),
           [Done = std::move(Done)](CallResult<HttpAnswer> Answer) {
             if (!Answer)
               return Done(Answer.error());
             HttpAnswer &Response = Answer.value();
             std::string ContentType(
                 Response.Headers.find("Content-Type").value_or(""));
             Done(ServiceReply{Response.Status, std::move(ContentType),
                               std::move(Response.Body)});
           });
}

} // namespace figlift::target
