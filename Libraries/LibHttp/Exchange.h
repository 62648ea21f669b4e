//===- Exchange.h - HTTP request and its response ---------------*- C++ -*-===//
//
// A handler responds to an exchange once: with a complete response, with an
// error as problem details, or with a stream of server-sent events.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibHttp/EventStream.h"
#include "LibHttp/Message.h"

#include <functional>
#include <memory>

namespace figlift::http {

/// All members may be called from any thread. An exchange that is destroyed
/// without a response replies Internal, so that its caller does not wait
/// forever.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual const Request &request() const = 0;
  /// Sets the X-Request-Id header of the response; to be called before
  /// replying.
  virtual void setRequestId(std::string Id) = 0;
  /// Adds a header to the response; to be called before replying.
  virtual void addHeader(std::string Name, std::string Value) = 0;
  /// Only the first response is sent; later ones are ignored.
  virtual void reply(Response Reply) = 0;
  virtual void replyProblem(const Error &Problem) = 0;
  /// Starts a text/event-stream response with status 200. Returns null if there
  /// was a response already. \p OnDisconnect is called once if the caller
  /// disconnects before the end of the stream.
  virtual std::shared_ptr<EventStream>
  startEventStream(HeaderList Headers, std::function<void()> OnDisconnect) = 0;
};

using Handler = std::function<void(std::shared_ptr<Exchange>)>;

} // namespace figlift::http
