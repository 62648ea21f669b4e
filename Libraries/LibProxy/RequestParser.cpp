//===- RequestParser.cpp - Parser for requests of callers -----------------===//
//
// Boost.Beast's parser, with additional checks of the message framing.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/RequestParser.h"

#include "LibProxy/BodyBuffer.h"
#include "LibProxy/ConsumeInput.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace figlift::proxy {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using StringView = boost::beast::string_view;

class RequestParser::BeastParser : public http::basic_parser<true> {
public:
  Request Parsed;
  /// Of Parsed, until the request is complete.
  BodyBuffer Body;
  /// A chunk with data has begun.
  bool HasChunk = false;
  ExtensionBytes Extensions{0};

private:
  void on_request_impl(http::verb, StringView Method, StringView Target,
                       int Version, ErrorCode &) override {
    Parsed.Head.Method = std::string(Method);
    Parsed.Head.Target = std::string(Target);
    Parsed.Head.Version = static_cast<unsigned>(Version);
  }
  void on_response_impl(int, StringView, int, ErrorCode &) override {}
  void on_field_impl(http::field, StringView Name, StringView Value,
                     ErrorCode &Code) override {
    m_Fields.add(Code);
    // The fields of a trailer are dropped (RFC 9110, 6.5.1).
    if (!m_HeadComplete)
      Parsed.Head.Headers.add(std::string(Name), std::string(Value));
  }
  void on_header_impl(ErrorCode &Code) override {
    m_HeadComplete = true;
    // Boost.Beast ignores an unknown transfer coding and would then parse the
    // body as the next request.
    unsigned TransferCodings = 0;
    unsigned Hosts = 0;
    for (const HeaderField &Field : Parsed.Head.Headers) {
      if (equalsIgnoreCase(Field.Name, "Transfer-Encoding") &&
          (++TransferCodings > 1 || !equalsIgnoreCase(Field.Value, "chunked")))
        Code = http::error::bad_transfer_encoding;
      if (equalsIgnoreCase(Field.Name, "Host") && ++Hosts > 1)
        Code = http::error::bad_field;
    }
    if (Parsed.Head.Target.empty() || Parsed.Head.Target.front() != '/')
      Code = http::error::bad_target;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  std::size_t on_body_impl(StringView Bytes, ErrorCode &) override {
    Body.append({Bytes.data(), Bytes.size()});
    return Bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t Bytes, StringView Extension,
                            ErrorCode &Code) override {
    HasChunk = true;
    Extensions.add(Extension.size(), Code);
    m_Chunks.add(Bytes, Code);
  }
  std::size_t on_chunk_body_impl(std::uint64_t, StringView Bytes,
                                 ErrorCode &) override {
    Body.append({Bytes.data(), Bytes.size()});
    return Bytes.size();
  }
  void on_finish_impl(ErrorCode &) override {}

  bool m_HeadComplete = false;
  FieldCount m_Fields;
  ChunkOverhead m_Chunks;
};

RequestParser::RequestParser(RequestBounds Bounds) : m_Bounds(Bounds) {
  reset();
}

RequestParser::~RequestParser() = default;

void RequestParser::reset() {
  m_BeastParser = std::make_unique<BeastParser>();
  m_BeastParser->eager(true);
  setBounds(m_Bounds);
  m_State = State::Idle;
}

void RequestParser::setBounds(RequestBounds Bounds) {
  m_Bounds = Bounds;
  m_BeastParser->header_limit(m_Bounds.HeadBytes);
  m_BeastParser->body_limit(m_Bounds.BodyBytes);
  m_BeastParser->Extensions = ExtensionBytes(m_Bounds.HeadBytes);
}

RequestParser::State RequestParser::fail(unsigned Status) {
  m_FailureStatus = Status;
  return m_State = State::Failed;
}

RequestParser::State RequestParser::feed(std::string_view Bytes) {
  m_Input.append(Bytes);
  if (m_State == State::Complete || m_State == State::Failed)
    return m_State;
  // Empty lines before a request line are ignored (RFC 9112, 2.2).
  if (m_State == State::Idle)
    m_Input.erase(0, m_Input.find_first_not_of("\r\n"));
  const ErrorCode Code = consume(*m_BeastParser, m_Input);
  if (Code && Code != http::error::need_more) {
    if (Code == http::error::header_limit)
      return fail(431);
    return fail(Code == http::error::body_limit ? 413 : 400);
  }
  if (isElementTooLong(*m_BeastParser, m_Input, m_Bounds.HeadBytes))
    return fail(431);
  if (m_BeastParser->is_done())
    return m_State = State::Complete;
  if (m_BeastParser->is_header_done())
    return m_State = State::Body;
  return m_State = m_Input.empty() ? State::Idle : State::Head;
}

Request RequestParser::take() {
  Request Completed = std::move(m_BeastParser->Parsed);
  Completed.Body = m_BeastParser->Body.take();
  // An idle connection keeps no memory of a long head.
  if (m_Input.empty())
    std::string().swap(m_Input);
  reset();
  return Completed;
}

void RequestParser::discard() {
  std::string().swap(m_Input);
  reset();
}

bool RequestParser::expectsContinue() const {
  return m_State == State::Body &&
         m_BeastParser->Parsed.Head.Headers.containsToken("Expect",
                                                          "100-continue");
}

size_t RequestParser::bufferedBytes() const {
  return m_Input.capacity() + m_BeastParser->Body.capacity();
}

} // namespace figlift::proxy
