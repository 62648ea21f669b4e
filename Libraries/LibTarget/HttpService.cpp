//===- HttpService.cpp - Plain service over HTTP --------------------------===//
//
// One call, sent at most once when it may not be repeated.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpService.h"

namespace figlift::target {

namespace http = web::http;

/// Longest time without a byte on a pooled connection.
static constexpr std::chrono::milliseconds PooledTimeout{60000};
static constexpr char IdempotencyKeyHeader[] = "Idempotency-Key";

HttpService::HttpService(Endpoint Target)
    : m_Target(std::move(Target)),
      m_Pooled(makeClient(m_Target, PooledTimeout)) {}

static Result<http::http_request> makeRequest(const ServiceRequest &From) {
  try {
    http::http_request Request(From.Method);
    Request.set_request_uri(web::uri(From.Path));
    if (!From.Body.empty())
      Request.set_body(
          std::vector<unsigned char>(From.Body.begin(), From.Body.end()));
    if (!From.ContentType.empty())
      Request.headers().set_content_type(From.ContentType);
    if (!From.IdempotencyKey.empty())
      Request.headers().add(IdempotencyKeyHeader, From.IdempotencyKey);
    return Request;
  } catch (const std::exception &Caught) {
    return failure(ResultCode::InvalidInput, Caught.what(), "path");
  }
}

void HttpService::call(ServiceRequest Request, CallDone<ServiceReply> Done) {
  auto Prepared = makeRequest(Request);
  if (!Prepared) {
    Done(CallError{Execution::NotRun, Prepared.error()});
    return;
  }
  // cpprestsdk sends a request again by itself when a reused connection turns
  // out to be closed: a service that ran the call and died before it answered
  // would run it twice. A fresh connection is never reused, so a call that may
  // not be repeated goes out on its own one.
  const HttpClientPointer Client =
      Request.Repeatable ? m_Pooled : makeClient(m_Target, Request.Timeout);
  sendCall(Client, Prepared.value(),
           [Done = std::move(Done)](CallResult<HttpAnswer> Answer) {
             if (!Answer)
               return Done(Answer.error());
             HttpAnswer &Whole = Answer.value();
             Done(ServiceReply{Whole.Status, std::move(Whole.ContentType),
                               std::move(Whole.Body)});
           });
}

} // namespace figlift::target
