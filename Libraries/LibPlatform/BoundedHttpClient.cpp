//===- BoundedHttpClient.cpp - HTTP calls with limits ---------------------===//
//
// Calls run on cpprestsdk's thread pool. An Asio timer bounds each complete
// call, because the library's timeout restarts with every chunk it reads. For
// large responses that is the intended behavior after the first byte.
//
//===----------------------------------------------------------------------===//

#include "LibPlatform/BoundedHttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <charconv>

namespace figlift::platform {

namespace http = web::http;

/// Approximate sizes of the headers sent by cpprestsdk and by typical servers.
static constexpr uint64_t RequestHeaderBytes = 120;
static constexpr uint64_t ResponseHeaderBytes = 100;

/// The library's timeout restarts with each chunk of a response. With the
/// default chunks of 64 KiB, a 10 Mbit/s link shared with callers may exceed
/// it.
static constexpr size_t ChunkBytes = 4096;

/// Share of its timeout that a call needs to be answered. A call that has
/// waited longer for a slot is not sent.
static constexpr int MinimumTimeLeftDivisor = 10;

using Clock = std::chrono::steady_clock;

/// One call from its submission to its completion.
struct BoundedHttpClient::Call {
  Call(HttpRequest Submitted, Handler Completion, Clock::time_point SendBy)
      : Request(std::move(Submitted)), Done(std::move(Completion)),
        LatestStart(SendBy),
        Timer(crossplat::threadpool::shared_instance().service()) {}

  HttpRequest Request;
  Handler Done;
  const Clock::time_point LatestStart;
  boost::asio::steady_timer Timer;
  pplx::cancellation_token_source Cancellation;
  /// Set before the first byte may be sent.
  std::atomic<bool> Launched = false;
  /// The thread that sets it calls Done.
  std::atomic<bool> Finished = false;
};

static http::method toLibraryMethod(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Get:
    return http::methods::GET;
  case HttpMethod::Put:
    return http::methods::PUT;
  case HttpMethod::Post:
    return http::methods::POST;
  case HttpMethod::Delete:
    return http::methods::DEL;
  }
  return http::methods::GET;
}

static std::optional<std::chrono::milliseconds>
retryAfter(const http::http_response &LibraryResponse) {
  auto Header = LibraryResponse.headers().find("Retry-After");
  if (Header == LibraryResponse.headers().end())
    return std::nullopt;
  unsigned Seconds = 0;
  const std::string &Text = Header->second;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  if (Code != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

/// Only a failure to connect proves that no byte was sent; a timeout or a lost
/// connection may have occurred after the server received the request.
static HttpFailure toFailure(const http::http_exception &Exception) {
  auto Code = Exception.error_code();
  bool NotConnected = Code == std::errc::connection_refused ||
                      Code == std::errc::host_unreachable ||
                      Code == std::errc::network_unreachable;
  return {!NotConnected, Exception.what()};
}

static http::client::http_client_config
configuration(const HttpCallOptions &Options) {
  http::client::http_client_config Config;
  Config.set_timeout(Options.Timeout);
  Config.set_chunksize(ChunkBytes);
  return Config;
}

static std::string baseAddress(const HttpCallOptions &Options) {
  return "http://" + Options.Server.Address + ":" +
         std::to_string(Options.Server.Port);
}

BoundedHttpClient::BoundedHttpClient(const HttpCallOptions &Options)
    : m_Options(Options),
      m_SharedClient(std::make_shared<http::client::http_client>(
          baseAddress(Options), configuration(Options))) {}

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

/// When the server closes a pooled connection before it responds, cpprestsdk
/// silently sends the request again: a transaction that was committed the first
/// time would be reported as a conflict. It does not retry on a new connection,
/// so calls that are not idempotent use a separate client with its own pool.
std::shared_ptr<http::client::http_client>
BoundedHttpClient::clientFor(const HttpRequest &Request) const {
  if (Request.Idempotent)
    return m_SharedClient;
  return std::make_shared<http::client::http_client>(baseAddress(m_Options),
                                                     configuration(m_Options));
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

  auto Done = [Self = shared_from_this(), CurrentCall](HttpOutcome Outcome) {
    if (const auto *Response = std::get_if<HttpResponse>(&Outcome))
      Self->m_Bytes += ResponseHeaderBytes + Response->Body.size();
    Self->finish(CurrentCall, std::move(Outcome));
    Self->releaseSlot();
  };
  try {
    http::http_request LibraryRequest(
        toLibraryMethod(CurrentCall->Request.Method));
    LibraryRequest.set_request_uri(CurrentCall->Request.Path);
    if (!CurrentCall->Request.Body.empty())
      LibraryRequest.set_body(CurrentCall->Request.Body, "application/json");
    if (!CurrentCall->Request.IfNoneMatch.empty())
      LibraryRequest.headers().add("If-None-Match",
                                   CurrentCall->Request.IfNoneMatch);
    auto Client = clientFor(CurrentCall->Request);
    auto Response = std::make_shared<HttpResponse>();
    Client->request(LibraryRequest, CurrentCall->Cancellation.get_token())
        .then([Self = shared_from_this(), CurrentCall,
               Response](http::http_response LibraryResponse) {
          if (CurrentCall->Request.HasLargeResponse)
            Self->limitPausesOnly(CurrentCall);
          Response->Status = LibraryResponse.status_code();
          Response->RetryAfter = retryAfter(LibraryResponse);
          if (const auto Tag = LibraryResponse.headers().find("ETag");
              Tag != LibraryResponse.headers().end())
            Response->ETag = Tag->second;
          return LibraryResponse.extract_string(true);
        })
        .then([Done, Response, Client](pplx::task<std::string> Body) {
          try {
            Response->Body = Body.get();
            Done(std::move(*Response));
          } catch (const http::http_exception &Exception) {
            Done(toFailure(Exception));
          } catch (const std::exception &Exception) {
            Done(HttpFailure{true, Exception.what()});
          }
        });
  } catch (const std::exception &Exception) {
    Done(HttpFailure{false, Exception.what()});
  }
}

void BoundedHttpClient::expire(const CallPointer &CurrentCall) {
  bool Launched = CurrentCall->Launched;
  finish(CurrentCall, HttpFailure{Launched, "no response within the timeout"});
  CurrentCall->Cancellation.cancel();
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
