//===- HttpClient.h - HTTP calls to a target --------------------*- C++ -*-===//
//
// Shared by HttpEngine and HttpService: calls without redirects, whose failures
// are classified as "not run" or "may have run". A target may be faulty and
// send without end, so heads, chunks and bodies are bounded, each answer by
// itself and all together.
//
// All calls of a process run on one thread.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibTarget/Target.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figlift::upstream {
class ConnectionPool;
} // namespace figlift::upstream

namespace figlift::target {

/// Whether a call may use a connection that earlier calls have used.
enum class Reuse {
  /// It gets a connection of its own, and is sent once.
  Never,
  /// If the target closes the connection before it answers, the call is sent
  /// again on a new one.
  Allowed,
};

struct HttpRequest {
  std::string Method;
  /// Path and query, percent-encoded.
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// Sent as the Idempotency-Key header when not empty.
  std::string IdempotencyKey;
  Reuse ConnectionReuse = Reuse::Allowed;
  /// Longest time without a byte of the answer.
  std::chrono::milliseconds SilenceTimeout{3000};
};

struct HttpAnswer {
  unsigned Status = 0;
  std::string ContentType;
  /// Empty if a BodyConsumer took it.
  std::string Body;
  /// Value of the Retry-After header, if the target sent one.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// Takes the next part of the body of an answer. Returns whether more of it is
/// wanted; otherwise the call ends like a complete one.
using BodyConsumer =
    std::function<bool(const HttpAnswer &Head, std::string_view Bytes)>;

/// A call that has not ended.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Closes the connection. The call fails as MayHaveRun if it has not ended;
  /// may be called on any thread.
  virtual void cancel() = 0;
};

/// The functions that are passed to its calls run on the thread of all calls.
/// Calls that have not ended when it is destroyed go on.
class HttpClient {
public:
  /// Longest answer; the messages between processes cannot carry longer ones.
  static constexpr size_t MaximumAnswerBytes = 8 << 20;

  explicit HttpClient(Endpoint Target);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// Collects the whole answer. Fails with TargetFailed if it is longer than
  /// MaximumAnswerBytes, or if all answers together take too much memory.
  std::shared_ptr<HttpCall> send(HttpRequest Request,
                                 CallDone<HttpAnswer> Done);
  /// Passes the body to \p Consume as it arrives.
  std::shared_ptr<HttpCall> stream(HttpRequest Request, BodyConsumer Consume,
                                   CallDone<HttpAnswer> Done);

private:
  const Endpoint m_Target;
  /// Used on the thread of the calls only.
  const std::shared_ptr<upstream::ConnectionPool> m_Pool;
};

/// A Retry-After value in seconds, with or without a fraction; empty for a date
/// or another value.
std::optional<std::chrono::milliseconds> readRetryAfter(std::string_view Text);

} // namespace figlift::target
