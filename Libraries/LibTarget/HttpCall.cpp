//===- HttpCall.cpp - One HTTP call to a target ---------------------------===//
//
// Converts the exceptions of cpprestsdk to CallError.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpCall.h"

#include <charconv>

namespace figlift::target {

namespace http = web::http;

/// Prefix of cpprestsdk's message for a connection that was never established.
/// Its error code is ambiguous, because a failed write has the same one.
static constexpr std::string_view NotConnectedPrefix = "Failed to connect";

/// A longer time is an error: targets do not live that long.
static constexpr std::chrono::hours MaximumRetryAfter{24};

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

CallError describeFailure(std::exception_ptr Exception) {
  try {
    std::rethrow_exception(Exception);
  } catch (const std::exception &Failure) {
    const std::string_view Text = Failure.what();
    const bool NotConnected = Text.starts_with(NotConnectedPrefix);
    return makeError(NotConnected ? Execution::NotRun : Execution::MayHaveRun,
                     std::string(Text));
  } catch (...) {
    return makeError(Execution::MayHaveRun, "unknown failure");
  }
}

std::optional<std::chrono::milliseconds>
readRetryAfter(const http::http_headers &Headers) {
  const auto Found = Headers.find(http::header_names::retry_after);
  if (Found == Headers.end())
    return std::nullopt;
  const std::string &Text = Found->second;
  double Seconds = 0;
  const char *const TextEnd = Text.data() + Text.size();
  const auto [End, ErrorCode] = std::from_chars(Text.data(), TextEnd, Seconds);
  if (ErrorCode != std::errc() || End != TextEnd || !(Seconds >= 0) ||
      Seconds > std::chrono::duration<double>(MaximumRetryAfter).count())
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(Seconds));
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
  auto ReadBody = [](http::http_response Response) {
    return Response.extract_vector().then(
        [Response](std::vector<unsigned char> Body) {
          return makeAnswer(Response, Body);
        });
  };
  // The client is kept alive until the answer has arrived, because its
  // destructor closes the connection of the call.
  auto OnEnd = [Client, Done](pplx::task<HttpAnswer> AnswerTask) {
    std::exception_ptr Exception;
    try {
      Done(AnswerTask.get());
      return;
    } catch (...) {
      Exception = std::current_exception();
    }
    Done(describeFailure(Exception));
  };
  Client->request(Request).then(ReadBody).then(OnEnd);
}

} // namespace figlift::target
