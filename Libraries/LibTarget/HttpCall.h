//===- HttpCall.h - One HTTP call to a target -------------------*- C++ -*-===//
//
// Shared by HttpEngine and HttpService: calls with a time-out and without
// redirects, whose failures are classified as "not run" or "may have run".
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibTarget/Target.h"

#include <cpprest/http_client.h>

#include <memory>

namespace figlift::target {

struct HttpAnswer {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
  /// Value of the Retry-After header, if the target sent one.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// Whether a call may use a connection that earlier calls have used.
enum class Connection { Pooled, Fresh };

using HttpClientPointer = std::shared_ptr<web::http::client::http_client>;

/// Creates a client that does not follow redirects: a redirected POST would run
/// a second time, at a server that routing did not choose.
HttpClientPointer makeClient(const Endpoint &Target,
                             std::chrono::milliseconds Timeout);

/// Converts an exception of cpprestsdk. Must not be called within a catch
/// block.
CallError describeFailure(std::exception_ptr Exception);

/// Value of the Retry-After header in seconds, with or without a fraction;
/// empty for a date or another value.
std::optional<std::chrono::milliseconds>
readRetryAfter(const web::http::http_headers &Headers);

/// Sends \p Request and reads the complete response.
void sendCall(const HttpClientPointer &Client,
              const web::http::http_request &Request,
              CallDone<HttpAnswer> Done);

} // namespace figlift::target
