//===- HttpCall.h - One HTTP call to a target -------------------*- C++ -*-===//
//
// What HttpEngine and HttpService share: a bounded call without redirects and
// the reading of cpprestsdk's failures as "not run" or "may have run".
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
  /// Seconds from a Retry-After header, when the target sent one.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// Whether a call may travel on a connection that earlier calls used.
enum class Connection { Pooled, Fresh };

using HttpClientPointer = std::shared_ptr<web::http::client::http_client>;

/// A client that follows no redirect: a redirected POST would run a second
/// time at a place that nobody chose.
HttpClientPointer makeClient(const Endpoint &Target,
                             std::chrono::milliseconds Timeout);

/// The failure inside \p Thrown; call it inside no other handler.
CallError describeFailure(std::exception_ptr Thrown);

/// Sends \p Request and reads the whole answer.
void sendCall(const HttpClientPointer &Client,
              const web::http::http_request &Request,
              CallDone<HttpAnswer> Done);

} // namespace figlift::target
