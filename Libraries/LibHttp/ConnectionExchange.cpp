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
  std::transform(
      Text.begin(), Text.end(), Text.begin(),
      [](unsigned char Character) { return std::tolower(Character); });
  return Text;
}

/// Decodes the percent escapes of \p Text (RFC 3986). An invalid escape is left
/// as it is; no route has such a path.
std::string decodeEscapes(std::string_view Text) {
  std::string Decoded;
  Decoded.reserve(Text.size());
  for (size_t I = 0; I < Text.size(); ++I) {
    unsigned char Byte = 0;
    const char *const Digits = Text.data() + I + 1;
    if (Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(Digits, Digits + 2, Byte, 16).ptr == Digits + 2) {
      Decoded += static_cast<char>(Byte);
      I += 2;
      continue;
    }
    Decoded += Text[I];
  }
  return Decoded;
}

void parseQuery(std::string_view Query, Request &Output) {
  while (!Query.empty()) {
    const std::string_view Parameter = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Parameter.size() + 1));
    if (Parameter.empty())
      continue;
    const size_t Equals = std::min(Parameter.find('='), Parameter.size());
    const std::string_view Value =
        Parameter.substr(std::min(Parameter.size(), Equals + 1));
    Output.Query[decodeEscapes(Parameter.substr(0, Equals))] =
        decodeEscapes(Value);
  }
}

Request makeRequest(proxy::Request Incoming) {
  Request Parsed;
  Parsed.Method = std::move(Incoming.Head.Method);
  const std::string &Target = Incoming.Head.Target;
  Parsed.RawPath = std::string(Incoming.Head.path());
  if (const size_t Mark = Target.find('?'); Mark != std::string::npos)
    Parsed.RawQuery = Target.substr(Mark + 1);
  Parsed.Path = decodeEscapes(Parsed.RawPath);
  parseQuery(Parsed.RawQuery, Parsed);
  for (const proxy::HeaderField &Field : Incoming.Head.Headers)
    Parsed.Headers[lowerCase(Field.Name)] = Field.Value;
  Parsed.Body = std::move(Incoming.Body);
  return Parsed;
}

/// The caller's request id, which is echoed in responses that no handler gave,
/// or an empty string if it is too long or has characters other than printable
/// ASCII.
std::string validRequestId(std::string Id) {
  const bool IsValid = Id.size() <= MaximumRequestIdLength &&
                       std::all_of(Id.begin(), Id.end(), [](char Character) {
                         return Character > ' ' && Character < 127;
                       });
  return IsValid ? Id : std::string();
}

Error internalError(std::string Message) {
  return Error{ResultCode::Internal, std::move(Message), {}, std::nullopt};
}

void addHeaders(proxy::ResponseHead &Head, const HeaderList &Headers) {
  for (const auto &[Name, Value] : Headers) {
    // A later value replaces an earlier one: handlers override defaults.
    Head.Headers.remove(Name);
    Head.Headers.add(Name, Value);
  }
}

} // namespace

proxy::ResponseHead responseHead(const Response &Reply) {
  proxy::ResponseHead Head;
  Head.Status = static_cast<unsigned>(Reply.Status);
  if (!Reply.Body.empty())
    Head.Headers.add("Content-Type", Reply.ContentType);
  addHeaders(Head, Reply.Headers);
  return Head;
}

ConnectionExchange::ConnectionExchange(std::shared_ptr<ResponseChannel> Channel,
                                       proxy::Request Incoming)
    : m_Channel(std::move(Channel)),
      m_Request(makeRequest(std::move(Incoming))),
      m_RequestId(validRequestId(m_Request.header("x-request-id"))) {}

ConnectionExchange::~ConnectionExchange() {
  if (!m_Responded.load())
    replyProblem(internalError("the request was dropped without a response"));
}

void ConnectionExchange::reply(Response Reply) {
  if (m_Responded.exchange(true))
    return;
  proxy::ResponseHead Head = responseHead(Reply);
  addHeaders(Head, m_Headers);
  if (!m_RequestId.empty())
    addHeaders(Head, {{"X-Request-Id", m_RequestId}});
  m_Channel->respond(std::move(Head), std::move(Reply.Body));
}

void ConnectionExchange::replyProblem(const Error &Problem) {
  reply(problemResponse(Problem, m_RequestId));
}

void ConnectionExchange::replyUnknownPath(bool PathKnown) {
  Response Reply = problemResponse(
      Error{ResultCode::InvalidInput,
            PathKnown ? "method not allowed for this path: " + m_Request.Method
                      : "unknown path: " + m_Request.Path,
            "path", std::nullopt},
      m_RequestId);
  Reply.Status = PathKnown ? 405 : 404;
  reply(std::move(Reply));
}

std::shared_ptr<EventStream>
ConnectionExchange::startEventStream(HeaderList Headers,
                                     std::function<void()> OnDisconnect) {
  if (m_Responded.exchange(true))
    return nullptr;
  proxy::ResponseHead Head;
  Head.Status = 200;
  addHeaders(Head, {{"Content-Type", "text/event-stream"},
                    {"Cache-Control", "no-cache"}});
  addHeaders(Head, Headers);
  addHeaders(Head, m_Headers);
  if (!m_RequestId.empty())
    addHeaders(Head, {{"X-Request-Id", m_RequestId}});
  m_Channel->beginStream(std::move(Head), std::move(OnDisconnect));
  return std::make_shared<ConnectionEventStream>(m_Channel);
}

void ConnectionExchange::handle(const Handler &Handle) {
  try {
    Handle(shared_from_this());
  } catch (const std::exception &Problem) {
    replyProblem(internalError(Problem.what()));
  }
}

} // namespace figlift::http
