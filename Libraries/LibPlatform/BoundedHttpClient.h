//===- BoundedHttpClient.h - HTTP calls with limits -------------*- C++ -*-===//
//
// Sends requests to one HTTP server with limits on concurrent and queued calls.
// Every call completes within its timeout; for large responses the timeout
// bounds the time without received data instead. A failed call reports whether
// the server may have processed the request. Responses are bounded as well.
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

namespace figlift::upstream {
class HttpClient;
} // namespace figlift::upstream

namespace figlift::platform {

struct HttpCallOptions {
  Endpoint Server;
  /// Time from the submission of a call, including the queue, to its response.
  /// For large responses it bounds the time to the first byte and then each
  /// pause in the response.
  std::chrono::milliseconds Timeout{500};
  size_t MaximumConcurrentCalls = 16;
  size_t MaximumQueuedCalls = 256;
};

enum class HttpMethod { Get, Put, Post, Delete };

struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  /// Path and query, percent-encoded.
  std::string Path;
  std::string Body;
  /// Whether the server may safely process the request twice. Calls that are
  /// not idempotent use a separate connection.
  bool Idempotent = true;
  /// ETag of the caller's copy; status 304 means that it is still current.
  std::string IfNoneMatch;
  /// The response grows with the stored data and may take longer than the
  /// timeout over a slow link. If it were aborted, a retry would start again at
  /// the first byte and never complete.
  bool HasLargeResponse = false;
};

struct HttpResponse {
  int Status = 0;
  std::string Body;
  std::optional<std::chrono::milliseconds> RetryAfter;
  /// Empty when the server sent none.
  std::string ETag;
};

/// A call without a response.
struct HttpFailure {
  /// False when the server cannot have processed the request.
  bool MayHaveBeenProcessed = false;
  std::string Message;
};

using HttpOutcome = std::variant<HttpResponse, HttpFailure>;

class BoundedHttpClient
    : public std::enable_shared_from_this<BoundedHttpClient> {
public:
  using Handler = std::function<void(HttpOutcome)>;

  explicit BoundedHttpClient(const HttpCallOptions &Options);
  ~BoundedHttpClient();

  /// Calls \p Done exactly once: on the thread of all calls of the process, or
  /// on the calling thread when the queue is full.
  void submit(HttpRequest Request, Handler Done);

  /// Bytes of requests and responses since the start; HTTP headers are counted
  /// with a fixed size.
  uint64_t bytes() const { return m_Bytes.load(); }

  /// Rejects new calls and waits for those in flight. Not from a handler.
  void stop();

private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  void launch(const CallPointer &CurrentCall);
  void expire(const CallPointer &CurrentCall);
  void limitPausesOnly(const CallPointer &CurrentCall);
  void ended(const CallPointer &CurrentCall, HttpOutcome Outcome);
  void finish(const CallPointer &CurrentCall, HttpOutcome Outcome);
  void releaseSlot();
  const HttpCallOptions m_Options;
  const std::unique_ptr<upstream::HttpClient> m_Client;

  std::atomic<uint64_t> m_Bytes{0};
  std::mutex m_Mutex;
  std::condition_variable m_Idle;
  /// Calls being sent; at most MaximumConcurrentCalls.
  size_t m_ActiveCalls = 0;
  /// Calls that wait for a slot; expired ones stay until they reach the front.
  std::deque<CallPointer> m_Queue;
  /// Calls that are receiving a large response. stop() must end them, since
  /// their timeout no longer applies.
  std::vector<std::weak_ptr<Call>> m_StreamingCalls;
  bool m_Stopped = false;
};

} // namespace figlift::platform
