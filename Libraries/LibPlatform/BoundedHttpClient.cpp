//===- BoundedHttpClient.cpp - HTTP calls with limits ---------------------===//
//
// A timer bounds each complete call, because the timeout of HttpClient restarts
// with each byte it reads. For large responses that is the intended behavior
// after the first byte.
//
//===----------------------------------------------------------------------===//

#include "LibPlatform/BoundedHttpClient.h"

#include "LibUpstream/CallThread.h"
#include "LibUpstream/HttpClient.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <charconv>

namespace figlift::platform {

/// Approximate sizes of the headers of requests and of typical responses.
static constexpr uint64_t RequestHeaderBytes = 120;
static constexpr uint64_t ResponseHeaderBytes = 100;

/// Many times the largest table of a platform.
static constexpr size_t MaximumResponseBytes = 64 << 20;
/// Of all responses that are being received.
static constexpr size_t MaximumHeldBytes = 2 * MaximumResponseBytes;

/// Share of its timeout that a call needs to be answered. A call that has
/// waited longer for a slot is not sent.
static constexpr int MinimumTimeLeftDivisor = 10;

using Clock = std::chrono::steady_clock;

static upstream::CallThread &callThread() {
  static upstream::CallThread Shared(MaximumHeldBytes);
  return Shared;
}

/// One call from its submission to its completion.
struct BoundedHttpClient::Call {
  Call(HttpRequest Submitted, Handler Completion, Clock::time_point SendBy)
      : Request(std::move(Submitted)), Done(std::move(Completion)),
        LatestStart(SendBy), Timer(callThread().loop()) {}

  HttpRequest Request;
  Handler Done;
  const Clock::time_point LatestStart;
  boost::asio::steady_timer Timer;
  /// Guarded by m_Mutex of the client.
  std::shared_ptr<upstream::HttpCall> Running;
  /// Set before the first byte may be sent.
  std::atomic<bool> Launched = false;
  /// The thread that sets it calls Done.
  std::atomic<bool> Finished = false;
};

static std::string methodName(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Get:
    return "GET";
  case HttpMethod::Put:
    return "PUT";
  case HttpMethod::Post:
    return "POST";
  case HttpMethod::Delete:
    return "DELETE";
  }
  return "GET";
}

static std::optional<std::chrono::milliseconds>
retryAfter(const proxy::HeaderList &Headers) {
  const auto Text = Headers.find("Retry-After");
  if (!Text)
    return std::nullopt;
  unsigned Seconds = 0;
  auto [End, Code] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Seconds);
  if (Code != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

static HttpOutcome toOutcome(upstream::HttpResult Result) {
  if (const auto *Failure = std::get_if<upstream::HttpFailure>(&Result))
    return HttpFailure{Failure->MayHaveRun, Failure->Message};
  auto &Answer = std::get<upstream::HttpAnswer>(Result);
  HttpResponse Response;
  Response.Status = static_cast<int>(Answer.Status);
  Response.RetryAfter = retryAfter(Answer.Headers);
  Response.ETag = Answer.Headers.find("ETag").value_or("");
  Response.Body = std::move(Answer.Body);
  return Response;
}

static upstream::HttpRequest toUpstream(const HttpRequest &Request,
                                        std::chrono::milliseconds Timeout) {
  upstream::HttpRequest Sent;
  Sent.Method = methodName(Request.Method);
  Sent.Path = Request.Path;
  if (!Request.Body.empty())
    Sent.Headers.add("Content-Type", "application/json");
  if (!Request.IfNoneMatch.empty())
    Sent.Headers.add("If-None-Match", Request.IfNoneMatch);
  Sent.Body = Request.Body;
  // Sent again on another connection, a transaction that was committed the
  // first time would be reported as a conflict.
  Sent.ConnectionReuse =
      Request.Idempotent ? upstream::Reuse::Allowed : upstream::Reuse::Never;
  Sent.SilenceTimeout = Timeout;
  Sent.MaximumAnswerBytes = MaximumResponseBytes;
  return Sent;
}

BoundedHttpClient::BoundedHttpClient(const HttpCallOptions &Options)
    : m_Options(Options), m_Client(std::make_unique<upstream::HttpClient>(
                              callThread(), Options.Server)) {}

BoundedHttpClient::~BoundedHttpClient() = default;

void BoundedHttpClient::submit(HttpRequest Request, Handler Done) {
  auto CurrentCall =
      std::make_shared<Call>(std::move(Request), std::move(Done),
                             Clock::now() + m_Options.Timeout -
                                 m_Options.Timeout / MinimumTimeLeftDivisor);
  bool Rejected = false;
  bool Start = false;
  {
    std::lock_guard Lock(m_Mutex);
    Rejected = m_Stopped || m_Queue.size() >= m_Options.MaximumQueuedCalls;
    Start = !Rejected && m_ActiveCalls < m_Options.MaximumConcurrentCalls;
    if (Start)
      ++m_ActiveCalls;
    else if (!Rejected)
      m_Queue.push_back(CurrentCall);
  }
  if (Rejected)
    return CurrentCall->Done(
        HttpFailure{false, "too many queued calls, or the client is stopped"});

  CurrentCall->Timer.expires_after(m_Options.Timeout);
  CurrentCall->Timer.async_wait([Self = shared_from_this(), CurrentCall](
                                    const boost::system::error_code &Code) {
    if (!Code)
      Self->expire(CurrentCall);
  });
  if (Start)
    launch(CurrentCall);
}

void BoundedHttpClient::stop() {
  std::vector<std::weak_ptr<Call>> Receiving;
  {
    const std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
    Receiving = std::move(m_StreamingCalls);
  }
  for (const auto &Weak : Receiving)
    if (const auto CurrentCall = Weak.lock())
      expire(CurrentCall);
  std::unique_lock Lock(m_Mutex);
  m_Idle.wait(Lock, [this] { return m_ActiveCalls == 0 && m_Queue.empty(); });
}

void BoundedHttpClient::launch(const CallPointer &CurrentCall) {
  // The timer that ends a queued call may be late, or about to fire.
  if (!CurrentCall->Finished && Clock::now() >= CurrentCall->LatestStart)
    finish(CurrentCall, HttpFailure{false, "no time left after the queue"});
  if (CurrentCall->Finished)
    return releaseSlot();
  CurrentCall->Launched = true;
  m_Bytes += RequestHeaderBytes + CurrentCall->Request.Path.size() +
             CurrentCall->Request.Body.size();

  upstream::HttpCallbacks Callbacks;
  Callbacks.OnEnd = [Self = shared_from_this(),
                     CurrentCall](upstream::HttpResult Result) {
    Self->ended(CurrentCall, toOutcome(std::move(Result)));
  };
  if (CurrentCall->Request.HasLargeResponse)
    Callbacks.OnHead = [Self = shared_from_this(),
                        CurrentCall](const upstream::HttpAnswer &) {
      Self->limitPausesOnly(CurrentCall);
    };
  auto Running =
      m_Client->send(toUpstream(CurrentCall->Request, m_Options.Timeout),
                     std::move(Callbacks));
  {
    const std::lock_guard Lock(m_Mutex);
    CurrentCall->Running = Running;
  }
  // The call may have expired before that.
  if (CurrentCall->Finished)
    Running->cancel();
}

void BoundedHttpClient::ended(const CallPointer &CurrentCall,
                              HttpOutcome Outcome) {
  if (const auto *Response = std::get_if<HttpResponse>(&Outcome))
    m_Bytes += ResponseHeaderBytes + Response->Body.size();
  {
    const std::lock_guard Lock(m_Mutex);
    CurrentCall->Running = nullptr;
  }
  finish(CurrentCall, std::move(Outcome));
  releaseSlot();
}

void BoundedHttpClient::expire(const CallPointer &CurrentCall) {
  bool Launched = CurrentCall->Launched;
  finish(CurrentCall, HttpFailure{Launched, "no response within the timeout"});
  std::shared_ptr<upstream::HttpCall> Running;
  {
    const std::lock_guard Lock(m_Mutex);
    Running = CurrentCall->Running;
  }
  if (Running)
    Running->cancel();
}

void BoundedHttpClient::limitPausesOnly(const CallPointer &CurrentCall) {
  bool Stopped = false;
  {
    const std::lock_guard Lock(m_Mutex);
    std::erase_if(m_StreamingCalls,
                  [](const auto &Weak) { return Weak.expired(); });
    m_StreamingCalls.push_back(CurrentCall);
    Stopped = m_Stopped;
  }
  if (Stopped)
    return expire(CurrentCall);
  CurrentCall->Timer.cancel();
}

void BoundedHttpClient::finish(const CallPointer &CurrentCall,
                               HttpOutcome Outcome) {
  if (CurrentCall->Finished.exchange(true))
    return;
  CurrentCall->Timer.cancel();
  CurrentCall->Done(std::move(Outcome));
}

/// Releases a slot and assigns it to the next queued call.
void BoundedHttpClient::releaseSlot() {
  CallPointer Next;
  {
    std::lock_guard Lock(m_Mutex);
    if (m_Queue.empty()) {
      --m_ActiveCalls;
      m_Idle.notify_all();
      return;
    }
    Next = std::move(m_Queue.front());
    m_Queue.pop_front();
  }
  launch(Next);
}

} // namespace figlift::platform
