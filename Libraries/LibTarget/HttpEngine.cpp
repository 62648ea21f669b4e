//===- HttpEngine.cpp - Model engine over HTTP ----------------------------===//
//
// The body of a completion's answer goes through a SinkBuffer into the
// incremental parser, on whichever pool thread read it.
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
static constexpr unsigned StatusTooMany = 429;
static constexpr size_t MaximumErrorText = 1024;

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

/// One answer on its way in. The sink and the end handler of the request are
/// chained by cpprestsdk, so members need no lock.
class StreamedCompletion final
    : public Completion,
      public std::enable_shared_from_this<StreamedCompletion> {
public:
  StreamedCompletion(HttpClientPointer Client, HttpClientPointer Calls,
                     std::string RequestId,
                     std::shared_ptr<CompletionListener> Listener)
      : m_Client(std::move(Client)), m_Calls(std::move(Calls)),
        m_RequestId(std::move(RequestId)), m_Listener(std::move(Listener)) {}

  void start(http::http_request Request);
  void cancel() override;

private:
  void take(std::string_view Bytes);
  void takeItem(const StreamItem &Item);
  void end(pplx::task<unsigned> Ended);
  CallResult<CompletionEnd> judge(unsigned Status);

  const HttpClientPointer m_Client;
  const HttpClientPointer m_Calls;
  const std::string m_RequestId;
  const std::shared_ptr<CompletionListener> m_Listener;
  pplx::cancellation_token_source m_Cancellation;
  EventStreamParser m_Parser;
  /// First bytes of the body: the reason, if the status says refused.
  std::string m_Head;
  std::optional<CompletionEnd> m_End;
  /// [DONE] was read; without it the answer is cut.
  bool m_Done = false;
  std::optional<Error> m_Malformed;
};

void StreamedCompletion::start(http::http_request Request) {
  auto Self = shared_from_this();
  auto Sink = std::make_shared<SinkBuffer>(
      [Self](std::string_view Bytes) { Self->take(Bytes); });
  Request.set_response_stream(concurrency::streams::ostream(
      concurrency::streams::streambuf<uint8_t>(Sink)));
  auto WholeBody = [](http::http_response Response) {
    return Response.content_ready().then([](http::http_response Whole) {
      return static_cast<unsigned>(Whole.status_code());
    });
  };
  m_Client->request(Request, m_Cancellation.get_token())
      .then(WholeBody)
      .then([Self](pplx::task<unsigned> Ended) { Self->end(Ended); });
}

void StreamedCompletion::cancel() {
  // Closing the connection alone would do for most engines; the DELETE is for
  // those which notice a closed connection only when they next write.
  m_Cancellation.cancel();
  sendCall(m_Calls,
           makeJsonRequest(
               http::methods::DEL,
               "/v1/requests/" + web::uri::encode_data_string(m_RequestId), {}),
           [](const CallResult<HttpAnswer> &) {});
}

void StreamedCompletion::take(std::string_view Bytes) {
  if (m_Head.size() < MaximumErrorText)
    m_Head.append(Bytes.substr(0, MaximumErrorText - m_Head.size()));
  for (const std::string &Data : m_Parser.take(Bytes)) {
    auto Item = readStreamItem(Data);
    if (!Item) {
      m_Malformed = Item.error();
      return;
    }
    takeItem(Item.value());
  }
}

void StreamedCompletion::takeItem(const StreamItem &Item) {
  if (const auto *Produced = std::get_if<Token>(&Item))
    m_Listener->onToken(*Produced);
  else if (const auto *End = std::get_if<CompletionEnd>(&Item))
    m_End = *End;
  else
    m_Done = true;
}

void StreamedCompletion::end(pplx::task<unsigned> Ended) {
  std::exception_ptr Thrown;
  unsigned Status = 0;
  try {
    Status = Ended.get();
  } catch (...) {
    Thrown = std::current_exception();
  }
  if (Thrown)
    m_Listener->onEnd(describeFailure(Thrown));
  else
    m_Listener->onEnd(judge(Status));
}

CallResult<CompletionEnd> StreamedCompletion::judge(unsigned Status) {
  if (Status == StatusUnavailable || Status == StatusTooMany)
    return CallError{Execution::NotRun,
                     {ResultCode::NotReady, m_Head, {}, std::nullopt}};
  if (Status != StatusOk) {
    const bool Refused = Status >= 400 && Status < 500;
    return CallError{
        Refused ? Execution::NotRun : Execution::MayHaveRun,
        {Refused ? ResultCode::InvalidInput : ResultCode::TargetFailed,
         m_Head,
         {},
         std::nullopt}};
  }
  if (m_Malformed)
    return CallError{Execution::MayHaveRun, *m_Malformed};
  if (m_End && m_Done)
    return std::move(*m_End);
  return CallError{Execution::MayHaveRun,
                   {ResultCode::TargetFailed,
                    "the engine's answer ended before it was whole",
                    {},
                    std::nullopt}};
}

} // namespace

HttpEngine::HttpEngine(HttpEngineOptions Options)
    : m_Options(std::move(Options)),
      m_Completions(makeClient(m_Options.Target, m_Options.SilenceTimeout)),
      m_Calls(makeClient(m_Options.Target, m_Options.CallTimeout)) {}

std::shared_ptr<Completion>
HttpEngine::complete(CompletionCall Call,
                     std::shared_ptr<CompletionListener> Listener) {
  auto Running = std::make_shared<StreamedCompletion>(
      m_Completions, m_Calls, Call.RequestId, std::move(Listener));
  Running->start(makeJsonRequest(http::methods::POST, "/v1/completions",
                                 writeCompletion(Call)));
  return Running;
}

void HttpEngine::order(OrderCall Call, CallDone<std::monostate> Done) {
  // On a fresh connection, because a reused one may be sent again by
  // cpprestsdk after the engine took the order and crashed.
  auto Client = makeClient(m_Options.Target, m_Options.CallTimeout);
  sendCall(
      Client,
      makeJsonRequest(http::methods::POST, "/v1/orders", writeOrder(Call)),
      [Done = std::move(Done)](CallResult<HttpAnswer> Answer) {
        if (!Answer)
          return Done(Answer.error());
        const HttpAnswer &Whole = Answer.value();
        if (Whole.Status / 100 == 2)
          return Done(std::monostate{});
        const auto Executed =
            Whole.Status < 500 ? Execution::NotRun : Execution::MayHaveRun;
        Done(CallError{Executed, readOrderRefusal(Whole.Status, Whole.Body)});
      });
}

/// Sends a GET and reads its body with \p Read.
template <typename T>
static void query(const HttpClientPointer &Client, const std::string &Path,
                  Result<T> (*Read)(std::string_view), CallDone<T> Done) {
  sendCall(Client, makeJsonRequest(http::methods::GET, Path, {}),
           [Read, Done = std::move(Done)](CallResult<HttpAnswer> Answer) {
             if (!Answer)
               return Done(Answer.error());
             if (Answer.value().Status != StatusOk)
               return Done(
                   CallError{Execution::NotApplicable,
                             {ResultCode::TargetFailed,
                              "status " + std::to_string(Answer.value().Status),
                              {},
                              std::nullopt}});
             auto Parsed = Read(Answer.value().Body);
             if (!Parsed)
               return Done(CallError{Execution::NotApplicable, Parsed.error()});
             Done(std::move(Parsed.value()));
           });
}

void HttpEngine::state(CallDone<EngineState> Done) {
  query<EngineState>(m_Calls, "/v1/state", readState, std::move(Done));
}

void HttpEngine::load(CallDone<EngineLoad> Done) {
  query<EngineLoad>(m_Calls, "/v1/load", readLoad, std::move(Done));
}

void HttpEngine::cacheEvents(uint64_t After,
                             CallDone<std::vector<CacheEvent>> Done) {
  query<std::vector<CacheEvent>>(
      m_Calls, "/v1/cache-events?after=" + std::to_string(After),
      readCacheEvents, std::move(Done));
}

} // namespace figlift::target
