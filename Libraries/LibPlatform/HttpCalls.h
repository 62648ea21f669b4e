//===- HttpCalls.h - Bounded HTTP calls with a deadline ---------*- C++ -*-===//
//
// Sends requests to one HTTP server: a bounded number at once, a bounded queue
// behind them, and for each call one answer within its timeout, or within the
// server's silence where the answer may be large. A failed call says whether
// the server may have seen the request.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include <condition_variable>

namespace web::http::client {
class http_client;
} // namespace web::http::client

namespace figlift::platform {

struct HttpCallOptions {
  Endpoint Server;
  /// From the submission of a call to its answer, the queue included. For
  /// large answers it bounds the time to the first byte, and from then on each
  /// pause in the answer.
  std::chrono::milliseconds Timeout{500};
  size_t MaximumConcurrentCalls = 16;
  size_t MaximumQueuedCalls = 256;
};

enum class HttpVerb { Get, Put, Post, Delete };

struct HttpQuestion {
  HttpVerb Verb = HttpVerb::Get;
  /// Path and query, already encoded.
  std::string Path;
  std::string Body;
  /// Whether the server may process the request twice without harm. Calls
  /// that may not be repeated get a connection of their own.
  bool Repeatable = true;
  /// Tag of the copy that the caller has; 304 says that it still holds.
  std::string IfNoneMatch;
  /// The answer grows with what is stored, and may take longer than a timeout
  /// over a small link. Broken off, it would be asked for again from its first
  /// byte, and never come.
  bool HasLargeAnswer = false;
};

struct HttpAnswer {
  int Status = 0;
  std::string Body;
  std::optional<std::chrono::milliseconds> RetryAfter;
  /// Empty when the server gave none.
  std::string ETag;
};

/// Why there is no answer.
struct HttpFailure {
  /// False: the server can't have processed the request.
  bool MayHaveBeenProcessed = false;
  std::string Message;
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

class HttpCalls : public std::enable_shared_from_this<HttpCalls> {
public:
  using Handler = std::function<void(HttpOutcome)>;

  explicit HttpCalls(const HttpCallOptions &Options);
  ~HttpCalls();

  /// Calls \p Done exactly once: on a pool thread, or at once on this one when
  /// the queue is full.
  void submit(HttpQuestion Question, Handler Done);

  /// Bytes of questions and answers since the start; their HTTP heads are
  /// counted at a fixed size.
  uint64_t bytes() const { return m_Bytes.load(); }

  /// Refuses new calls and waits for those in flight. Not from a handler.
  void stop();

private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  void launch(const CallPointer &What);
  void expire(const CallPointer &What);
  void boundSilenceOnly(const CallPointer &What);
  void finish(const CallPointer &What, HttpOutcome Outcome);
  void release();
  std::shared_ptr<web::http::client::http_client>
  clientFor(const HttpQuestion &Question) const;

  const HttpCallOptions m_Options;
  std::shared_ptr<web::http::client::http_client> m_SharedClient;

  std::atomic<uint64_t> m_Bytes{0};
  std::mutex m_Mutex;
  std::condition_variable m_Idle;
  /// Invariant: at most MaximumConcurrentCalls.
  size_t m_Running = 0;
  /// Calls that wait for a place; expired ones stay until they are reached.
  std::deque<CallPointer> m_Queue;
  /// Calls whose large answer has begun; others end by their timeout.
  std::vector<std::weak_ptr<Call>> m_Begun;
  bool m_Stopped = false;
};

} // namespace figlift::platform
