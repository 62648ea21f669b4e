//===- ConnectionExchange.cpp - Exchange over a connection ----------------===//
//
// See ConnectionExchange.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/ConnectionExchange.h"

#include "LibHttp/ConnectionEventStream.h"
#include "LibHttp/Problem.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace figlift::http {

namespace {

constexpr size_t MaximumRequestIdLength = 128;

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

/// \p Text without its percent escapes (RFC 3986); one that is not two
/// hexadecimal digits stays as it is: no route has such a path.
std::string decodeEscapes(std::string_view Text) {
  std::string Decoded;
  Decoded.reserve(Text.size());
  for (size_t At = 0; At < Text.size(); ++At) {
    unsigned char Byte = 0;
    const char *const Digits = Text.data() + At + 1;
    if (Text[At] == '%' && At + 2 < Text.size() &&
        std::from_chars(Digits, Digits + 2, Byte, 16).ptr == Digits + 2) {
      Decoded += static_cast<char>(Byte);
      At += 2;
      continue;
    }
    Decoded += Text[At];
  }
  return Decoded;
}

void readQuery(std::string_view Query, Request &Into) {
  while (!Query.empty()) {
    const std::string_view Part = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Part.size() + 1));
    if (Part.empty())
      continue;
    const size_t Equals = std::min(Part.find('='), Part.size());
    const std::string_view Value =
        Part.substr(std::min(Part.size(), Equals + 1));
    Into.Query[decodeEscapes(Part.substr(0, Equals))] = decodeEscapes(Value);
  }
}

Request describe(proxy::Request Incoming) {
  Request Asked;
  Asked.Method = std::move(Incoming.Head.Method);
  const std::string &Target = Incoming.Head.Target;
  Asked.RawPath = std::string(Incoming.Head.path());
  if (const size_t Mark = Target.find('?'); Mark != std::string::npos)
    Asked.RawQuery = Target.substr(Mark + 1);
  Asked.Path = decodeEscapes(Asked.RawPath);
  readQuery(Asked.RawQuery, Asked);
  for (const proxy::HeaderField &Field : Incoming.Head.Headers)
    Asked.Headers[lowerCase(Field.Name)] = Field.Value;
  Asked.Body = std::move(Incoming.Body);
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

void addHeaders(proxy::ResponseHead &Head, const HeaderList &Headers) {
  for (const auto &[Name, Value] : Headers) {
    // The last of several values counts, as handlers override defaults.
    Head.Headers.remove(Name);
    Head.Headers.add(Name, Value);
  }
}

} // namespace

proxy::ResponseHead headOf(const Response &Answer) {
  proxy::ResponseHead Head;
  Head.Status = static_cast<unsigned>(Answer.Status);
  if (!Answer.Body.empty())
    Head.Headers.add("Content-Type", Answer.ContentType);
  addHeaders(Head, Answer.Headers);
  return Head;
}

ConnectionExchange::ConnectionExchange(std::shared_ptr<CallerLink> Caller,
                                       proxy::Request Incoming)
    : m_Caller(std::move(Caller)), m_Request(describe(std::move(Incoming))),
      m_RequestId(fitRequestId(m_Request.header("x-request-id"))) {}

ConnectionExchange::~ConnectionExchange() {
  if (!m_Answered.load())
    replyProblem(internalError("the request was dropped without an answer"));
}

void ConnectionExchange::reply(Response Answer) {
  if (m_Answered.exchange(true))
    return;
  proxy::ResponseHead Head = headOf(Answer);
  addHeaders(Head, m_Headers);
  if (!m_RequestId.empty())
    addHeaders(Head, {{"X-Request-Id", m_RequestId}});
  m_Caller->respond(std::move(Head), std::move(Answer.Body));
}

void ConnectionExchange::replyProblem(const Error &What) {
  reply(problemResponse(What, m_RequestId));
}

void ConnectionExchange::replyUnknownPath(bool PathKnown) {
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
ConnectionExchange::startEvents(HeaderList Headers,
                                std::function<void()> Gone) {
  if (m_Answered.exchange(true))
    return nullptr;
  proxy::ResponseHead Head;
  Head.Status = 200;
  addHeaders(Head, {{"Content-Type", "text/event-stream"},
                    {"Cache-Control", "no-cache"}});
  addHeaders(Head, Headers);
  addHeaders(Head, m_Headers);
  if (!m_RequestId.empty())
    addHeaders(Head, {{"X-Request-Id", m_RequestId}});
  m_Caller->beginStream(std::move(Head), std::move(Gone));
  return std::make_shared<ConnectionEventStream>(m_Caller);
}

void ConnectionExchange::handle(const Handler &Handle) {
  try {
    Handle(shared_from_this());
  } catch (const std::exception &Problem) {
    replyProblem(internalError(Problem.what()));
  }
}

} // namespace figlift::http
