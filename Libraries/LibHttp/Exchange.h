//===- Exchange.h - One HTTP request and its answer -------------*- C++ -*-===//
//
// A handler answers an exchange once: with a whole response, with an error as
// problem details, or with a stream of server-sent events.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibHttp/EventStream.h"
#include "LibHttp/Message.h"

#include <functional>
#include <memory>

namespace figlift::http {

/// All members may be called from any thread. An exchange that is dropped
/// without an answer answers Internal, so that no caller waits for ever.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual const Request &request() const = 0;
  /// Value of X-Request-Id of every answer; set before answering.
  virtual void setRequestId(std::string Id) = 0;
  /// Header of every answer; set before answering.
  virtual void addHeader(std::string Name, std::string Value) = 0;
  /// Later answers are ignored.
  virtual void reply(Response Answer) = 0;
  virtual void replyProblem(const Error &What) = 0;
  /// Begins a text/event-stream answer with status 200; null after another
  /// answer. \p Gone is called once when a write to the caller has failed.
  virtual std::shared_ptr<EventStream>
  startEvents(HeaderList Headers, std::function<void()> Gone) = 0;
};

using Handler = std::function<void(std::shared_ptr<Exchange>)>;

} // namespace figlift::http
