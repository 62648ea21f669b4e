//===- ResponseParser.cpp - Parser for responses of servers ---------------===//
//
// Boost.Beast's parser; interim responses (1xx) are skipped.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/ResponseParser.h"

#include "LibProxy/ConsumeInput.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>

namespace figlift::proxy {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using StringView = boost::beast::string_view;

namespace {
/// Limit of a response head, of a trailer, and of all chunk extensions
/// together; a response that exceeds it fails.
constexpr uint32_t MaximumHeadBytes = 32768;
/// A response that has more of them before it fails.
constexpr unsigned MaximumInterimResponses = 16;
/// \name Status codes (RFC 9110, 15). Boost.Beast takes any three digits.
/// @{
constexpr int MinimumStatus = 100;
constexpr int MaximumStatus = 599;
/// @}
} // namespace

class ResponseParser::BeastParser : public http::basic_parser<false> {
public:
  ResponseHead Head;
  std::string Body;
  /// A chunk with data has begun.
  bool HasChunk = false;
  ExtensionBytes Extensions{MaximumHeadBytes};
  /// What is being parsed, during parseInput().
  std::string_view Input;

private:
  /// Whether the line of the field with this name, a part of Input, is
  /// continued by the next one. Boost.Beast joins such lines (RFC 9112, 5.2).
  bool isFolded(StringView Name) const {
    const auto NameBegin = static_cast<size_t>(Name.data() - Input.data());
    const size_t LineEnd = Input.find("\r\n", NameBegin + Name.size());
    const char Next = Input[LineEnd + 2];
    return Next == ' ' || Next == '\t';
  }

  bool m_HeadComplete = false;
  FieldCount m_Fields;
  ChunkOverhead m_Chunks;

  void on_request_impl(http::verb, StringView, StringView, int,
                       ErrorCode &) override {}
  void on_response_impl(int Status, StringView Reason, int Version,
                        ErrorCode &Code) override {
    if (Status < MinimumStatus || Status > MaximumStatus)
      Code = http::error::bad_status;
    Head.Status = static_cast<unsigned>(Status);
    Head.Reason = std::string(Reason);
    Head.Version = static_cast<unsigned>(Version);
  }
  void on_field_impl(http::field, StringView Name, StringView Value,
                     ErrorCode &Code) override {
    m_Fields.add(Code);
    if (isFolded(Name))
      Code = http::error::bad_value;
    // The fields of a trailer are dropped (RFC 9110, 6.5.1).
    if (!m_HeadComplete)
      Head.Headers.add(std::string(Name), std::string(Value));
  }
  void on_header_impl(ErrorCode &Code) override {
    m_HeadComplete = true;
    // Boost.Beast would pass the encoded bytes of an unknown transfer coding
    // on as the body. HTTP/1.0 has no codings, and its peers may take chunks
    // for the body (RFC 9112, 6.1).
    constexpr unsigned FirstWithCodings = 11;
    for (const HeaderField &Field : Head.Headers)
      if (equalsIgnoreCase(Field.Name, "Transfer-Encoding") &&
          (Head.Version < FirstWithCodings ||
           !equalsIgnoreCase(Field.Value, "chunked")))
        Code = http::error::bad_transfer_encoding;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  std::size_t on_body_impl(StringView Bytes, ErrorCode &) override {
    Body.append(Bytes.data(), Bytes.size());
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
    Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }
  void on_finish_impl(ErrorCode &) override {}
};

ResponseParser::ResponseParser(bool BodyAllowed) : m_BodyAllowed(BodyAllowed) {
  reset();
}

ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser &&) noexcept = default;
ResponseParser &ResponseParser::operator=(ResponseParser &&) noexcept = default;

void ResponseParser::reset() {
  m_BeastParser = std::make_unique<BeastParser>();
  m_BeastParser->eager(true);
  m_BeastParser->header_limit(MaximumHeadBytes);
  m_BeastParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (!m_BodyAllowed)
    m_BeastParser->skip(true);
}

void ResponseParser::next() {
  reset();
  m_State = State::Head;
  m_Started = !m_Input.empty();
  m_InterimResponses = 0;
}

ErrorCode ResponseParser::parseInput() {
  m_BeastParser->Input = m_Input;
  return consume(*m_BeastParser, m_Input);
}

ResponseParser::State ResponseParser::feed(std::string_view Bytes) {
  m_Started = m_Started || !Bytes.empty();
  m_Input.append(Bytes);
  if (m_State == State::Complete || m_State == State::Failed)
    return m_State;
  ErrorCode Code = parseInput();
  // An interim response consists of a head only; the final one follows.
  while (!Code && m_BeastParser->is_done() &&
         m_BeastParser->Head.Status / 100 == 1) {
    if (++m_InterimResponses > MaximumInterimResponses)
      return m_State = State::Failed;
    reset();
    Code = parseInput();
  }
  if (Code && Code != http::error::need_more)
    return m_State = State::Failed;
  if (isElementTooLong(*m_BeastParser, m_Input, MaximumHeadBytes))
    return m_State = State::Failed;
  if (m_BeastParser->is_header_done()) {
    m_BeastParser->Head.Framing = framing();
    if (const auto Length = m_BeastParser->content_length())
      m_BeastParser->Head.Length = *Length;
  }
  if (m_BeastParser->is_done())
    return m_State = State::Complete;
  if (m_BeastParser->is_header_done())
    return m_State = State::Body;
  return m_State;
}

ResponseParser::State ResponseParser::finish() {
  if (m_State == State::Body && m_BeastParser->need_eof() && m_Input.empty())
    return m_State = State::Complete;
  if (m_State != State::Complete)
    m_State = State::Failed;
  return m_State;
}

BodyFraming ResponseParser::framing() const {
  if (m_BeastParser->need_eof())
    return BodyFraming::ConnectionEnd;
  return m_BeastParser->chunked() ? BodyFraming::Chunks : BodyFraming::Length;
}

const ResponseHead &ResponseParser::head() const { return m_BeastParser->Head; }

std::string ResponseParser::takeBody() {
  return std::exchange(m_BeastParser->Body, {});
}

bool ResponseParser::keepsAlive() const {
  return m_State == State::Complete && !hasTrailingBytes() &&
         !m_BeastParser->need_eof() && m_BeastParser->keep_alive();
}

} // namespace figlift::proxy
