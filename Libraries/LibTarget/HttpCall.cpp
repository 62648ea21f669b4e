//===- HttpCall.cpp - One HTTP call to a target ---------------------------===//
//
// cpprestsdk reports failures as exceptions; they end here.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpCall.h"

#include <charconv>

namespace figlift::target {

namespace http = web::http;

/// cpprestsdk's text for a connection that never came into being. Its error
/// code cannot tell: the same one stands for a failed write.
static constexpr std::string_view NeverConnected = "Failed to connect";

HttpClientPointer makeClient(const Endpoint &Target,
                             std::chrono::milliseconds Timeout) {
  http::client::http_client_config Config;
  Config.set_timeout(Timeout);
  Config.set_max_redirects(0);
  return std::make_shared<http::client::http_client>(
      web::uri("http://" + Target.toString()), Config);
}

static CallError makeError(Execution Executed, std::string Message) {
  return {Executed,
          {ResultCode::TargetFailed, std::move(Message), {}, std::nullopt}};
}

CallError describeFailure(std::exception_ptr Thrown) {
  try {
    std::rethrow_exception(Thrown);
  } catch (const std::exception &Caught) {
    const std::string_view Text = Caught.what();
    const bool Never = Text.starts_with(NeverConnected);
    return makeError(Never ? Execution::NotRun : Execution::MayHaveRun,
                     std::string(Text));
  } catch (...) {
    return makeError(Execution::MayHaveRun, "unknown failure");
  }
}

static std::optional<std::chrono::milliseconds>
readRetryAfter(const http::http_headers &Headers) {
  const auto Found = Headers.find(http::header_names::retry_after);
  if (Found == Headers.end())
    return std::nullopt;
  const std::string &Text = Found->second;
  unsigned Seconds = 0;
  const auto [End, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  if (Fault != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

static HttpAnswer makeAnswer(const http::http_response &Response,
                             const std::vector<unsigned char> &Body) {
  HttpAnswer Answer;
  Answer.Status = Response.status_code();
  Answer.ContentType = Response.headers().content_type();
  Answer.Body.assign(Body.begin(), Body.end());
  Answer.RetryAfter = readRetryAfter(Response.headers());
  return Answer;
}

void sendCall(const HttpClientPointer &Client,
              const http::http_request &Request, CallDone<HttpAnswer> Done) {
  auto WithBody = [](http::http_response Response) {
    return Response.extract_vector().then(
        [Response](std::vector<unsigned char> Body) {
          return makeAnswer(Response, Body);
        });
  };
  // The client is kept until the answer is there: its end closes the
  // connection under the call.
  auto AtEnd = [Client, Done](pplx::task<HttpAnswer> Ended) {
    std::exception_ptr Thrown;
    try {
      Done(Ended.get());
      return;
    } catch (...) {
      Thrown = std::current_exception();
    }
    Done(describeFailure(Thrown));
  };
  Client->request(Request).then(WithBody).then(AtEnd);
}

} // namespace figlift::target
