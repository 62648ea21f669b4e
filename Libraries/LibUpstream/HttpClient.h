//===- HttpClient.h - HTTP calls with bounded answers -----------*- C++ -*-===//
//
// Calls of a process without an event loop of its own for them, each with a
// timeout for silence and without redirects. A failed call reports whether the
// server may have run it. A server may be faulty and send without end, so
// heads, chunks and bodies are bounded, each answer by itself and all together.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibProxy/Message.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace figlift::upstream {

class CallThread;
class ConnectionPool;

/// Whether a call may use a connection that earlier calls have used.
enum class Reuse {
  /// It gets a connection of its own, and is sent once.
  Never,
  /// If the server closes the connection before it answers, the call is sent
  /// again on a new one.
  Allowed,
};

struct HttpRequest {
  std::string Method;
  /// Path and query, percent-encoded.
  std::string Path;
  /// Besides Host and Content-Length.
  proxy::HeaderList Headers;
  std::string Body;
  Reuse ConnectionReuse = Reuse::Allowed;
  /// Longest time without a connection or without a byte of the answer.
  std::chrono::milliseconds SilenceTimeout{3000};
  /// Of the body.
  size_t MaximumAnswerBytes = 8 << 20;
};

struct HttpAnswer {
  unsigned Status = 0;
  proxy::HeaderList Headers;
  /// Empty if OnBody took it.
  std::string Body;
};

struct HttpFailure {
  /// False if the server cannot have received the request.
  bool MayHaveRun = true;
  std::string Message;
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;

/// Called on the thread of the calls.
struct HttpCallbacks {
  /// Called exactly once, after all others.
  std::function<void(HttpResult)> OnEnd;
  /// Called when the head of the answer is complete; may be empty.
  std::function<void(const HttpAnswer &Head)> OnHead = nullptr;
  /// Takes the next part of the body. Returns whether more of it is wanted;
  /// otherwise the call ends like a complete one. If empty, the body is
  /// collected.
  std::function<bool(const HttpAnswer &Head, std::string_view Bytes)> OnBody =
      nullptr;
  /// Asked when the answer has ended with its connection: whether what has
  /// arrived proves that it is whole. If empty, it does not, and the answer is
  /// whole if the server still runs.
  std::function<bool()> IsWhole = nullptr;
};

/// A call that has not ended.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Closes the connection. The call fails as one that may have run, if it has
  /// not ended; may be called on any thread.
  virtual void cancel() = 0;
};

/// Calls to one server. May be used on any thread; calls that have not ended
/// when it is destroyed go on.
class HttpClient {
public:
  /// \p Thread must outlive the client and its calls.
  HttpClient(CallThread &Thread, Endpoint Server);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  std::shared_ptr<HttpCall> send(HttpRequest Request, HttpCallbacks Callbacks);

private:
  CallThread &m_Thread;
  const Endpoint m_Server;
  /// Used on m_Thread only.
  const std::shared_ptr<ConnectionPool> m_Pool;
};

} // namespace figlift::upstream
