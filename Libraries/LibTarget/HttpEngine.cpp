//===- HttpEngine.cpp - Model engine over HTTP ----------------------------===//
//
// The body of a completion's response passes through a SinkBuffer to the
// incremental parser on the pool thread that read it.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpEngine.h"

#include "LibTarget/EngineMessages.h"
#include "LibTarget/EventStreamParser.h"
#include "LibTarget/SinkBuffer.h"

namespace figlift::target {

namespace http = web::http;

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusUnavailable = 503;
static constexpr unsigned StatusTooManyRequests = 429;
static constexpr size_t MaximumErrorBytes = 1024;

static http::http_request makeJsonRequest(const http::method &Method,
                                          const std::string &Path,
                                          const std::string &Body) {
  http::http_request Request(Method);
  Request.set_request_uri(web::uri(Path));
  if (!Body.empty())
    Request.set_body(Body, "application/json");
  return Request;
}

namespace {

/// How an engine ends a run that was cancelled, possibly not by this process.
/// The tokens so far are not the whole answer.
constexpr std::string_view CancelledReason = "cancelled";

/// Receives the streamed response of one completion. cpprestsdk calls the sink
/// and the end handler of the request in sequence, so the members need no lock.
class StreamedCompletion final
    : public Completion,
      public std::enable_shared_from_this<StreamedCompletion> {
public:
  StreamedCompletion(HttpClientPointer Client, HttpClientPointer CallClient,
                     std::string RequestId,
                     std::shared_ptr<CompletionListener> Listener)
      : m_Client(std::move(Client)), m_CallClient(std::move(CallClient)),
        m_RequestId(std::move(RequestId)), m_Listener(std::move(Listener)) {}

  void start(http::http_request Request);
  void cancel() override;

private:
  void receive(std::string_view Bytes);
  void handleItem(const StreamItem &Item);
  struct ResponseSummary {
    unsigned Status = 0;
    std::optional<std::chrono::milliseconds> RetryAfter;
  };
  void end(pplx::task<ResponseSummary> ResponseTask);
  CallResult<CompletionEnd> toResult(const ResponseSummary &Response);

  const HttpClientPointer m_Client;
  const HttpClientPointer m_CallClient;
  const std::string m_RequestId;
  const std::shared_ptr<CompletionListener> m_Listener;
  pplx::cancellation_token_source m_Cancellation;
  EventStreamParser m_Parser;
  /// First bytes of the body, which are the error message if the status is not
  /// 200.
  std::string m_Head;
  std::optional<CompletionEnd> m_End;
  /// [DONE] was read. Without it the answer is incomplete.
  bool m_Done = false;
  std::optional<Error> m_Malformed;
};

void StreamedCompletion::start(http::http_request Request) {
  auto Self = shared_from_this();
  auto Sink = std::make_shared<SinkBuffer>(
      [Self](std::string_view Bytes) { Self->receive(Bytes); });
  Request.set_response_stream(concurrency::streams::ostream(
      concurrency::streams::streambuf<uint8_t>(Sink)));
  auto AwaitBody = [](http::http_response Response) {
    return Response.content_ready().then([](http::http_response Complete) {
      return ResponseSummary{static_cast<unsigned>(Complete.status_code()),
                             readRetryAfter(Complete.headers())};
    });
  };
  m_Client->request(Request, m_Cancellation.get_token())
      .then(AwaitBody)
      .then([Self](pplx::task<ResponseSummary> ResponseTask) {
        Self->end(ResponseTask);
      });
}

void StreamedCompletion::cancel() {
  // Closing the connection is sufficient for most engines. The DELETE is for
  // those that detect a closed connection only at their next write.
  m_Cancellation.cancel();
  sendCall(m_CallClient,
           makeJsonRequest(
               http::methods::DEL,
               "/v1/requests/" + web::uri::encode_data_string(m_RequestId), {}),
           [](const CallResult<HttpAnswer> &) {});
}

void StreamedCompletion::receive(std::string_view Bytes) {
  if (m_Head.size() < MaximumErrorBytes)
    m_Head.append(Bytes.substr(0, MaximumErrorBytes - m_Head.size()));
  for (const std::string &Data : m_Parser.parse(Bytes)) {
    auto Item = readStreamItem(Data);
    if (!Item) {
      m_Malformed = Item.error();
      return;
    }
    handleItem(Item.value());
  }
}

void StreamedCompletion::handleItem(const StreamItem &Item) {
  if (const auto *NewToken = std::get_if<Token>(&Item))
    m_Listener->onToken(*NewToken);
  else if (const auto *End = std::get_if<CompletionEnd>(&Item))
    m_End = *End;
  else
    m_Done = true;
}

void StreamedCompletion::end(pplx::task<ResponseSummary> ResponseTask) {
  std::exception_ptr Exception;
  ResponseSummary Response;
  try {
    Response = ResponseTask.get();
  } catch (...) {
    Exception = std::current_exception();
  }
  if (Exception)
    m_Listener->onEnd(describeFailure(Exception));
  else
    m_Listener->onEnd(toResult(Response));
}

/// Whether the status blames the request itself, so that every engine would
/// refuse it. Other client errors depend on the engine: one that is starting or
/// ending, for example, does not know its own paths (404).
static bool blamesRequest(unsigned Status) {
  return Status == http::status_codes::BadRequest ||
         Status == http::status_codes::RequestEntityTooLarge ||
         Status == http::status_codes::UnsupportedMediaType ||
         Status == http::status_codes::UnprocessableEntity;
}

CallResult<CompletionEnd>
StreamedCompletion::toResult(const ResponseSummary &Response) {
  const unsigned Status = Response.Status;
  if (Status == StatusUnavailable || Status == StatusTooManyRequests)
    return CallError{Execution::NotRun,
                     {ResultCode::NotReady, m_Head, {}, Response.RetryAfter}};
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
      m_CompletionClient(
          makeClient(m_Options.Target, m_Options.SilenceTimeout)),
      m_CallClient(makeClient(m_Options.Target, m_Options.CallTimeout)) {}

std::shared_ptr<Completion>
HttpEngine::complete(CompletionCall Call,
                     std::shared_ptr<CompletionListener> Listener) {
  auto Streamed = std::make_shared<StreamedCompletion>(
      m_CompletionClient, m_CallClient, Call.RequestId, std::move(Listener));
  Streamed->start(makeJsonRequest(http::methods::POST, "/v1/completions",
                                  writeCompletion(Call)));
  return Streamed;
}

void HttpEngine::order(OrderCall Call, CallDone<std::monostate> Done) {
  // Uses a new connection: on a reused one, cpprestsdk may resend the order
  // after the engine accepted it and crashed.
  auto Client = makeClient(m_Options.Target, m_Options.CallTimeout);
  sendCall(Client,
           makeJsonRequest(http::methods::POST, "/v1/orders", writeOrder(Call)),
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
static void query(const HttpClientPointer &Client, const std::string &Path,
                  Result<T> (*Parse)(std::string_view), CallDone<T> Done) {
  sendCall(Client, makeJsonRequest(http::methods::GET, Path, {}),
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
  query<EngineState>(m_CallClient, "/v1/state", readState, std::move(Done));
}

void HttpEngine::load(CallDone<EngineLoad> Done) {
  query<EngineLoad>(m_CallClient, "/v1/load", readLoad, std::move(Done));
}

void HttpEngine::cacheEvents(uint64_t After,
                             CallDone<std::vector<CacheEvent>> Done) {
  query<std::vector<CacheEvent>>(
      m_CallClient, "/v1/cache-events?after=" + std::to_string(After),
      readCacheEvents, std::move(Done));
}

} // namespace figlift::target
