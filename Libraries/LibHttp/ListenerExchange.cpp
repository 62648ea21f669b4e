//===- ListenerExchange.cpp - Exchange over a cpprestsdk request ----------===//
//
// See ListenerExchange.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/ListenerExchange.h"

#include "LibHttp/ListenerEventStream.h"
#include "LibHttp/Problem.h"

#include <cpprest/containerstream.h>

#include <algorithm>
#include <cctype>

namespace figlift::http {

namespace {

constexpr size_t ReadStepBytes = 64u << 10;
constexpr size_t MaximumRequestIdLength = 128;

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

Request describe(const web::http::http_request &Incoming) {
  Request Asked;
  Asked.Method = Incoming.method();
  const web::uri Uri = Incoming.relative_uri();
  Asked.RawPath = Uri.path();
  Asked.RawQuery = Uri.query();
  try {
    Asked.Path = web::uri::decode(Uri.path());
    for (const auto &[Name, Value] : web::uri::split_query(Uri.query()))
      Asked.Query[web::uri::decode(Name)] = web::uri::decode(Value);
  } catch (const std::exception &) {
    // An escape that is not one: no route has such a path.
    Asked.Path = Uri.path();
  }
  for (const auto &[Name, Value] : Incoming.headers())
    Asked.Headers[lowerCase(Name)] = Value;
  return Asked;
}

/// Echoed on answers that no handler gave; anything odd is not.
std::string fitRequestId(std::string Given) {
  const bool IsFit = Given.size() <= MaximumRequestIdLength &&
                     std::all_of(Given.begin(), Given.end(), [](char Letter) {
                       return Letter > ' ' && Letter < 127;
                     });
  return IsFit ? Given : std::string();
}

Error internalError(std::string Message) {
  return Error{ResultCode::Internal, std::move(Message), {}, std::nullopt};
}

} // namespace

ListenerExchange::ListenerExchange(std::shared_ptr<ExchangeShared> Shared,
                                   web::http::http_request Incoming)
    : m_Shared(std::move(Shared)), m_Incoming(Incoming),
      m_Request(describe(m_Incoming)),
      m_RequestId(fitRequestId(m_Request.header("x-request-id"))) {}

ListenerExchange::~ListenerExchange() {
  if (!m_Answered.load())
    replyProblem(internalError("the request was dropped without an answer"));
}

size_t ListenerExchange::countInFlight() {
  m_Counted = true;
  return m_Shared->InFlight.fetch_add(1) + 1;
}

void ListenerExchange::reply(Response Answer) {
  if (m_Answered.exchange(true))
    return;
  web::http::http_response Prepared = prepare(Answer.Status, Answer.Headers);
  Prepared.set_body(std::move(Answer.Body), Answer.ContentType);
  send(std::move(Prepared), {});
}

void ListenerExchange::replyProblem(const Error &What) {
  reply(problemResponse(What, m_RequestId));
}

void ListenerExchange::replyUnknownPath(bool PathKnown) {
  Response Answer = problemResponse(
      Error{ResultCode::InvalidInput,
            PathKnown ? "this path does not take " + m_Request.Method
                      : "no such path: " + m_Request.Path,
            "path", std::nullopt},
      m_RequestId);
  Answer.Status = PathKnown ? 405 : 404;
  reply(std::move(Answer));
}

std::shared_ptr<EventStream>
ListenerExchange::startEvents(HeaderList Headers, std::function<void()> Gone) {
  if (m_Answered.exchange(true))
    return nullptr;
  auto Stream = std::make_shared<ListenerEventStream>(
      m_Shared->MaximumQueuedBytesPerStream);
  web::http::http_response Prepared = prepare(200, Headers);
  Prepared.headers().add("Cache-Control", "no-cache");
  Prepared.set_body(Stream->source(), "text/event-stream");
  // Weak, so that a stream which its writer drops is closed by its destructor.
  std::weak_ptr<ListenerEventStream> Written = Stream;
  send(std::move(Prepared), [Written, Gone = std::move(Gone)] {
    if (const auto Open = Written.lock())
      Open->markGone();
    if (Gone)
      Gone();
  });
  return Stream;
}

web::http::http_response ListenerExchange::prepare(int Status,
                                                   const HeaderList &Headers) {
  web::http::http_response Prepared(static_cast<uint16_t>(Status));
  for (const auto &[Name, Value] : Headers)
    Prepared.headers()[Name] = Value;
  for (const auto &[Name, Value] : m_Headers)
    Prepared.headers()[Name] = Value;
  if (!m_RequestId.empty())
    Prepared.headers()["X-Request-Id"] = m_RequestId;
  return Prepared;
}

void ListenerExchange::send(web::http::http_response Answer,
                            std::function<void()> Failed) {
  auto End = [Shared = m_Shared, Counted = m_Counted,
              Failed = std::move(Failed)](pplx::task<void> Written) {
    if (Counted)
      Shared->InFlight.fetch_sub(1);
    try {
      Written.get();
    } catch (const std::exception &) {
      // The caller has gone. cpprestsdk tells so only here.
      if (Failed)
        Failed();
    }
  };
  m_Incoming.reply(Answer).then(std::move(End));
}

void ListenerExchange::refuseTooLarge(size_t MaximumBytes) {
  // cpprestsdk writes no answer before it has received the whole body, and
  // keeps what nobody has read. A closed reading end makes it discard the rest
  // instead of holding a body of any length in memory.
  m_Incoming.body().close();
  replyProblem(Error{ResultCode::InputTooLarge,
                     "the body may have at most " +
                         std::to_string(MaximumBytes) + " bytes",
                     "body", std::nullopt});
}

void ListenerExchange::readBody(size_t MaximumBytes, const Handler &Handle) {
  const auto Length = m_Incoming.headers().content_length();
  if (Length > MaximumBytes)
    return refuseTooLarge(MaximumBytes);
  readMore(MaximumBytes, Handle);
}

void ListenerExchange::readMore(size_t MaximumBytes, const Handler &Handle) {
  concurrency::streams::container_buffer<std::string> Part;
  m_Incoming.body()
      .read(Part, ReadStepBytes)
      .then([Self = shared_from_this(), MaximumBytes, Handle,
             Part](pplx::task<size_t> Read) mutable {
        try {
          const size_t Count = Read.get();
          if (Count == 0)
            return Self->handle(Handle);
          // The buffer is as long as asked for, whatever was read.
          Self->m_Request.Body.append(Part.collection(), 0, Count);
        } catch (const std::exception &Problem) {
          return Self->replyProblem(Error{
              ResultCode::InvalidInput,
              std::string("the body could not be read: ") + Problem.what(),
              "body", std::nullopt});
        }
        if (Self->m_Request.Body.size() > MaximumBytes)
          return Self->refuseTooLarge(MaximumBytes);
        Self->readMore(MaximumBytes, Handle);
      });
}

void ListenerExchange::handle(const Handler &Handle) {
  try {
    Handle(shared_from_this());
  } catch (const std::exception &Problem) {
    replyProblem(internalError(Problem.what()));
  }
}

} // namespace figlift::http
