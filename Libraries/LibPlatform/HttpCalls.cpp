//===- HttpCalls.cpp - Bounded HTTP calls with a deadline -----------------===//
//
// The calls run on cpprestsdk's pool; an Asio timer bounds each as a whole,
// because the client's own timeout starts anew with every piece it reads. For a
// large answer that is what is wanted, from its first byte on.
//
//===----------------------------------------------------------------------===//

#include "LibPlatform/HttpCalls.h"

#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <charconv>

namespace figlift::platform {

namespace http = web::http;

/// About what cpprestsdk writes and what a usual server answers.
static constexpr uint64_t QuestionHeadBytes = 120;
static constexpr uint64_t AnswerHeadBytes = 100;

/// The client's timeout starts anew with each piece of an answer; with its
/// usual 64 KiB a link of 10 Mbit/s that callers use, too, could miss it.
static constexpr size_t PieceBytes = 4096;

/// One call from its submission to its answer.
struct HttpCalls::Call {
  Call(HttpQuestion What, Handler Completion)
      : Question(std::move(What)), Done(std::move(Completion)),
        Timer(crossplat::threadpool::shared_instance().service()) {}

  HttpQuestion Question;
  Handler Done;
  boost::asio::steady_timer Timer;
  pplx::cancellation_token_source Cancellation;
  /// Set before the first byte may leave.
  std::atomic<bool> Launched = false;
  /// Whoever sets it first calls Done.
  std::atomic<bool> Finished = false;
};

static http::method methodOf(HttpVerb Verb) {
  switch (Verb) {
  case HttpVerb::Get:
    return http::methods::GET;
  case HttpVerb::Put:
    return http::methods::PUT;
  case HttpVerb::Post:
    return http::methods::POST;
  case HttpVerb::Delete:
    return http::methods::DEL;
  }
  return http::methods::GET;
}

static std::optional<std::chrono::milliseconds>
retryAfterOf(const http::http_response &Response) {
  auto Header = Response.headers().find("Retry-After");
  if (Header == Response.headers().end())
    return std::nullopt;
  unsigned Seconds = 0;
  const std::string &Text = Header->second;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  if (Code != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

/// Only a refused connection proves that no byte was sent; a timeout or a
/// broken connection may have come after the server took the request.
static HttpFailure failureOf(const http::http_exception &Exception) {
  auto Code = Exception.error_code();
  bool Refused = Code == std::errc::connection_refused ||
                 Code == std::errc::host_unreachable ||
                 Code == std::errc::network_unreachable;
  return {!Refused, Exception.what()};
}

static http::client::http_client_config
configuration(const HttpCallOptions &Options) {
  http::client::http_client_config Config;
  Config.set_timeout(Options.Timeout);
  Config.set_chunksize(PieceBytes);
  return Config;
}

static std::string baseAddress(const HttpCallOptions &Options) {
  return "http://" + Options.Server.Address + ":" +
         std::to_string(Options.Server.Port);
}

HttpCalls::HttpCalls(const HttpCallOptions &Options)
    : m_Options(Options),
      m_SharedClient(std::make_shared<http::client::http_client>(
          baseAddress(Options), configuration(Options))) {}

HttpCalls::~HttpCalls() = default;

void HttpCalls::submit(HttpQuestion Question, Handler Done) {
  auto What = std::make_shared<Call>(std::move(Question), std::move(Done));
  bool Refused = false;
  bool Start = false;
  {
    std::lock_guard Lock(m_Mutex);
    Refused = m_Stopped || m_Queue.size() >= m_Options.MaximumQueuedCalls;
    Start = !Refused && m_Running < m_Options.MaximumConcurrentCalls;
    if (Start)
      ++m_Running;
    else if (!Refused)
      m_Queue.push_back(What);
  }
  if (Refused)
    return What->Done(HttpFailure{false, "too many calls are waiting"});

  What->Timer.expires_after(m_Options.Timeout);
  What->Timer.async_wait(
      [Self = shared_from_this(), What](const boost::system::error_code &Code) {
        if (!Code)
          Self->expire(What);
      });
  if (Start)
    launch(What);
}

void HttpCalls::stop() {
  std::vector<std::weak_ptr<Call>> Begun;
  {
    const std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
    Begun = std::move(m_Begun);
  }
  for (const auto &Each : Begun)
    if (const auto What = Each.lock())
      expire(What);
  std::unique_lock Lock(m_Mutex);
  m_Idle.wait(Lock, [this] { return m_Running == 0 && m_Queue.empty(); });
}

/// A pooled connection that the server closes before it answers makes
/// cpprestsdk send the same request again without a word: a transaction that
/// took effect the first time would come back as a conflict. On a connection
/// that was never used before it does not, so calls that may not be repeated
/// get a client, and with it a pool, of their own.
std::shared_ptr<http::client::http_client>
HttpCalls::clientFor(const HttpQuestion &Question) const {
  if (Question.Repeatable)
    return m_SharedClient;
  return std::make_shared<http::client::http_client>(baseAddress(m_Options),
                                                     configuration(m_Options));
}

void HttpCalls::launch(const CallPointer &What) {
  if (What->Finished)
    return release();
  What->Launched = true;
  m_Bytes += QuestionHeadBytes + What->Question.Path.size() +
             What->Question.Body.size();

  auto Done = [Self = shared_from_this(), What](HttpOutcome Outcome) {
    if (const auto *Answer = std::get_if<HttpAnswer>(&Outcome))
      Self->m_Bytes += AnswerHeadBytes + Answer->Body.size();
    Self->finish(What, std::move(Outcome));
    Self->release();
  };
  try {
    http::http_request Request(methodOf(What->Question.Verb));
    Request.set_request_uri(What->Question.Path);
    if (!What->Question.Body.empty())
      Request.set_body(What->Question.Body, "application/json");
    if (!What->Question.IfNoneMatch.empty())
      Request.headers().add("If-None-Match", What->Question.IfNoneMatch);
    auto Client = clientFor(What->Question);
    auto Answer = std::make_shared<HttpAnswer>();
    Client->request(Request, What->Cancellation.get_token())
        .then([Self = shared_from_this(), What,
               Answer](http::http_response Response) {
          if (What->Question.HasLargeAnswer)
            Self->boundSilenceOnly(What);
          Answer->Status = Response.status_code();
          Answer->RetryAfter = retryAfterOf(Response);
          if (const auto Tag = Response.headers().find("ETag");
              Tag != Response.headers().end())
            Answer->ETag = Tag->second;
          return Response.extract_string(true);
        })
        .then([Done, Answer, Client](pplx::task<std::string> Body) {
          try {
            Answer->Body = Body.get();
            Done(std::move(*Answer));
          } catch (const http::http_exception &Exception) {
            Done(failureOf(Exception));
          } catch (const std::exception &Exception) {
            Done(HttpFailure{true, Exception.what()});
          }
        });
  } catch (const std::exception &Exception) {
    Done(HttpFailure{false, Exception.what()});
  }
}

void HttpCalls::expire(const CallPointer &What) {
  bool Launched = What->Launched;
  finish(What, HttpFailure{Launched, "no answer within the timeout"});
  What->Cancellation.cancel();
}

void HttpCalls::boundSilenceOnly(const CallPointer &What) {
  bool Stopped = false;
  {
    const std::lock_guard Lock(m_Mutex);
    std::erase_if(m_Begun, [](const auto &Each) { return Each.expired(); });
    m_Begun.push_back(What);
    Stopped = m_Stopped;
  }
  if (Stopped)
    return expire(What);
  What->Timer.cancel();
}

void HttpCalls::finish(const CallPointer &What, HttpOutcome Outcome) {
  if (What->Finished.exchange(true))
    return;
  What->Timer.cancel();
  What->Done(std::move(Outcome));
}

/// Frees a place and gives it to the next call that still waits.
void HttpCalls::release() {
  CallPointer Next;
  {
    std::lock_guard Lock(m_Mutex);
    if (m_Queue.empty()) {
      --m_Running;
      m_Idle.notify_all();
      return;
    }
    Next = std::move(m_Queue.front());
    m_Queue.pop_front();
  }
  launch(Next);
}

} // namespace figlift::platform
