//===- HttpEngine.cpp - Model engine over HTTP ----------------------------===//
//
// The body of a completion's response passes to the incremental parser on the
// thread that read it.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpEngine.h"

#include "LibTarget/EngineMessages.h"
#include "LibTarget/EventStreamParser.h"

#include <cpprest/base_uri.h>

namespace figlift::target {

using upstream::HttpAnswer;
using upstream::HttpClient;
using upstream::HttpRequest;

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusBadRequest = 400;
static constexpr unsigned StatusContentTooLarge = 413;
static constexpr unsigned StatusUnsupportedMediaType = 415;
static constexpr unsigned StatusUnprocessableContent = 422;
static constexpr unsigned StatusTooManyRequests = 429;
static constexpr unsigned StatusUnavailable = 503;
static constexpr size_t MaximumErrorBytes = 1024;

static HttpRequest makeJsonRequest(std::string Method, std::string Path,
                                   std::string Body,
                                   std::chrono::milliseconds SilenceTimeout) {
  HttpRequest Request;
  Request.Method = std::move(Method);
  Request.Path = std::move(Path);
  if (!Body.empty())
    Request.Headers.add("Content-Type", "application/json");
  Request.Body = std::move(Body);
  Request.SilenceTimeout = SilenceTimeout;
  return Request;
}

namespace {

/// How an engine ends a run that was cancelled, possibly not by this process.
/// The tokens so far are not the whole answer.
constexpr std::string_view CancelledReason = "cancelled";

/// Receives the streamed response of one completion, on the thread of the
/// calls.
class StreamedCompletion final
    : public Completion,
      public std::enable_shared_from_this<StreamedCompletion> {
public:
  StreamedCompletion(std::shared_ptr<HttpClient> Client,
                     std::chrono::milliseconds CallTimeout,
                     std::string RequestId,
                     std::shared_ptr<CompletionListener> Listener)
      : m_Client(std::move(Client)), m_CallTimeout(CallTimeout),
        m_RequestId(std::move(RequestId)), m_Listener(std::move(Listener)) {}

  void start(HttpRequest Request);
  void cancel() override;

private:
  bool receive(const HttpAnswer &Head, std::string_view Bytes);
  void handleItem(const StreamItem &Item);
  bool isWhole() const;
  CallResult<CompletionEnd> toResult(const HttpAnswer &Answer);

  const std::shared_ptr<HttpClient> m_Client;
  const std::chrono::milliseconds m_CallTimeout;
  const std::string m_RequestId;
  const std::shared_ptr<CompletionListener> m_Listener;
  std::shared_ptr<upstream::HttpCall> m_Call;
  EventStreamParser m_Parser;
  /// 0 before the head of the response.
  unsigned m_Status = 0;
  /// First bytes of the body, which are the error message if the status is not
  /// 200.
  std::string m_Head;
  std::optional<CompletionEnd> m_End;
  /// [DONE] was read. Without it the answer is incomplete.
  bool m_Done = false;
  std::optional<Error> m_Malformed;
};

void StreamedCompletion::start(HttpRequest Request) {
  auto Self = shared_from_this();
  upstream::HttpCallbacks Callbacks;
  Callbacks.OnBody = [Self](const HttpAnswer &Head, std::string_view Bytes) {
    return Self->receive(Head, Bytes);
  };
  Callbacks.OnHead = [Self](const HttpAnswer &Head) {
    Self->m_Status = Head.Status;
  };
  Callbacks.IsWhole = [Self] { return Self->isWhole(); };
  Callbacks.OnEnd = [Self](const upstream::HttpResult &Result) {
    if (const auto *Answer = std::get_if<HttpAnswer>(&Result))
      Self->m_Listener->onEnd(Self->toResult(*Answer));
    else
      Self->m_Listener->onEnd(
          describeFailure(std::get<upstream::HttpFailure>(Result)));
  };
  m_Call = m_Client->send(std::move(Request), std::move(Callbacks));
}

void StreamedCompletion::cancel() {
  // Closing the connection is sufficient for most engines. The DELETE is for
  // those that detect a closed connection only at their next write.
  m_Call->cancel();
  sendCall(*m_Client,
           makeJsonRequest("DELETE",
                           "/v1/requests/" +
                               web::uri::encode_data_string(m_RequestId),
                           {}, m_CallTimeout),
           [](const CallResult<HttpAnswer> &) {});
}

/// Nothing more is read of what cannot become a completion.
bool StreamedCompletion::receive(const HttpAnswer &Head,
                                 std::string_view Bytes) {
  if (m_Head.size() < MaximumErrorBytes)
    m_Head.append(Bytes.substr(0, MaximumErrorBytes - m_Head.size()));
  if (Head.Status != StatusOk)
    return m_Head.size() < MaximumErrorBytes;
  for (const std::string &Data : m_Parser.parse(Bytes)) {
    auto Item = readStreamItem(Data);
    if (!Item) {
      m_Malformed = Item.error();
      return false;
    }
    handleItem(Item.value());
  }
  return !m_Parser.overflowed();
}

void StreamedCompletion::handleItem(const StreamItem &Item) {
  if (const auto *NewToken = std::get_if<Token>(&Item))
    m_Listener->onToken(*NewToken);
  else if (const auto *End = std::get_if<CompletionEnd>(&Item))
    m_End = *End;
  else
    m_Done = true;
}

/// A response with another status is an error whose body is only logged.
bool StreamedCompletion::isWhole() const {
  return m_Status != StatusOk || (m_End && m_Done);
}

/// Whether the status blames the request itself, so that every engine would
/// refuse it. Other client errors depend on the engine: one that is starting or
/// ending, for example, does not know its own paths (404).
static bool blamesRequest(unsigned Status) {
  return Status == StatusBadRequest || Status == StatusContentTooLarge ||
         Status == StatusUnsupportedMediaType ||
         Status == StatusUnprocessableContent;
}

CallResult<CompletionEnd>
StreamedCompletion::toResult(const HttpAnswer &Answer) {
  const unsigned Status = Answer.Status;
  if (Status == StatusUnavailable || Status == StatusTooManyRequests)
    return CallError{
        Execution::NotRun,
        {ResultCode::NotReady, m_Head, {}, readRetryAfter(Answer.Headers)}};
  if (Status != StatusOk) {
    const bool Refused = Status >= 400 && Status < 500;
    const ResultCode RefusalCode =
        blamesRequest(Status) ? ResultCode::InvalidInput : ResultCode::NotReady;
    return CallError{
        Refused ? Execution::NotRun : Execution::MayHaveRun,
        {Refused ? RefusalCode : ResultCode::TargetFailed, m_Head, {}, {}}};
  }
  if (m_Malformed)
    return CallError{Execution::MayHaveRun, *m_Malformed};
  if (m_End && m_Done && m_End->FinishReason == CancelledReason)
    return CallError{
        Execution::MayHaveRun,
        {ResultCode::TargetFailed, "the engine cancelled the run", {}, {}}};
  if (m_End && m_Done)
    return std::move(*m_End);
  return CallError{Execution::MayHaveRun,
                   {ResultCode::TargetFailed,
                    "the engine's answer ended before it was complete",
                    {},
                    std::nullopt}};
}

} // namespace

HttpEngine::HttpEngine(HttpEngineOptions Options)
    : m_Options(std::move(Options)),
      m_Client(std::make_shared<HttpClient>(callThread(), m_Options.Target)) {}

std::shared_ptr<Completion>
HttpEngine::complete(CompletionCall Call,
                     std::shared_ptr<CompletionListener> Listener) {
  auto Streamed = std::make_shared<StreamedCompletion>(
      m_Client, m_Options.CallTimeout, Call.RequestId, std::move(Listener));
  Streamed->start(makeJsonRequest("POST", "/v1/completions",
                                  writeCompletion(Call),
                                  m_Options.SilenceTimeout));
  return Streamed;
}

void HttpEngine::order(OrderCall Call, CallDone<std::monostate> Done) {
  // On a reused connection, the order might be sent again after the engine
  // accepted it and crashed.
  HttpRequest Request = makeJsonRequest("POST", "/v1/orders", writeOrder(Call),
                                        m_Options.CallTimeout);
  Request.ConnectionReuse = upstream::Reuse::Never;
  sendCall(*m_Client, std::move(Request),
           [Done = std::move(Done)](CallResult<HttpAnswer> Answer) {
             if (!Answer)
               return Done(Answer.error());
             const HttpAnswer &Response = Answer.value();
             if (Response.Status / 100 == 2)
               return Done(std::monostate{});
             const auto Executed = Response.Status < 500
                                       ? Execution::NotRun
                                       : Execution::MayHaveRun;
             Done(CallError{Executed,
                            readOrderRefusal(Response.Status, Response.Body)});
           });
}

/// Sends a GET and parses the body of the response with \p Parse.
template <typename T>
void HttpEngine::query(const std::string &Path,
                       Result<T> (*Parse)(std::string_view), CallDone<T> Done) {
  sendCall(*m_Client, makeJsonRequest("GET", Path, {}, m_Options.CallTimeout),
           [Parse, Done = std::move(Done)](CallResult<HttpAnswer> Answer) {
             if (!Answer)
               return Done(Answer.error());
             if (Answer.value().Status != StatusOk)
               return Done(
                   CallError{Execution::NotApplicable,
                             {ResultCode::TargetFailed,
                              "status " + std::to_string(Answer.value().Status),
                              {},
                              std::nullopt}});
             auto Parsed = Parse(Answer.value().Body);
             if (!Parsed)
               return Done(CallError{Execution::NotApplicable, Parsed.error()});
             Done(std::move(Parsed.value()));
           });
}

void HttpEngine::state(CallDone<EngineState> Done) {
  query<EngineState>("/v1/state", readState, std::move(Done));
}

void HttpEngine::load(CallDone<EngineLoad> Done) {
  query<EngineLoad>("/v1/load", readLoad, std::move(Done));
}

void HttpEngine::cacheEvents(uint64_t After,
                             CallDone<std::vector<CacheEvent>> Done) {
  query<std::vector<CacheEvent>>("/v1/cache-events?after=" +
                                     std::to_string(After),
                                 readCacheEvents, std::move(Done));
}

} // namespace figlift::target
