//===- HttpService.cpp - Plain service over HTTP --------------------------===//
//
// Sends a call at most once unless it is repeatable.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpService.h"

namespace figlift::target {

namespace http = web::http;

/// Longest time without data on a pooled connection.
static constexpr std::chrono::milliseconds PooledTimeout{60000};
static constexpr char IdempotencyKeyHeader[] = "Idempotency-Key";

HttpService::HttpService(Endpoint Target)
    : m_Target(std::move(Target)),
      m_PooledClient(makeClient(m_Target, PooledTimeout)) {}

static Result<http::http_request> createRequest(const ServiceRequest &Call) {
  try {
    http::http_request Request(Call.Method);
    Request.set_request_uri(web::uri(Call.Path));
    if (!Call.Body.empty())
      Request.set_body(
          std::vector<unsigned char>(Call.Body.begin(), Call.Body.end()));
    if (!Call.ContentType.empty())
      Request.headers().set_content_type(Call.ContentType);
    if (!Call.IdempotencyKey.empty())
      Request.headers().add(IdempotencyKeyHeader, Call.IdempotencyKey);
    return Request;
  } catch (const std::exception &Exception) {
    return failure(ResultCode::InvalidInput, Exception.what(), "path");
  }
}

void HttpService::call(ServiceRequest Request, CallDone<ServiceReply> Done) {
  auto HttpRequest = createRequest(Request);
  if (!HttpRequest) {
    Done(CallError{Execution::NotRun, HttpRequest.error()});
    return;
  }
  // cpprestsdk resends a request if a reused connection turns out to be closed.
  // A service that ran the call and died before it answered would run the call
  // twice, so a call that is not repeatable gets a connection of its own.
  const HttpClientPointer Client = Request.Repeatable
                                       ? m_PooledClient
                                       : makeClient(m_Target, Request.Timeout);
  sendCall(Client, HttpRequest.value(),
           [Done = std::move(Done)](CallResult<HttpAnswer> Answer) {
             if (!Answer)
               return Done(Answer.error());
             HttpAnswer &Response = Answer.value();
             Done(ServiceReply{Response.Status, std::move(Response.ContentType),
                               std::move(Response.Body)});
           });
}

} // namespace figlift::target
