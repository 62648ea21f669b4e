//===- ResponseParser.cpp - Reads responses of servers --------------------===//
//
// Boost.Beast's grammar; interim responses (1xx) are passed over.
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
/// Bytes of a response's head; a longer one is no response in the protocol.
constexpr uint32_t HeadBytes = 32768;
} // namespace

class ResponseParser::Grammar : public http::basic_parser<false> {
public:
  ResponseHead Head;
  std::string Body;

private:
  void on_request_impl(http::verb, StringView, StringView, int,
                       ErrorCode &) override {}
  void on_response_impl(int Status, StringView Reason, int Version,
                        ErrorCode &) override {
    Head.Status = static_cast<unsigned>(Status);
    Head.Reason = std::string(Reason);
    Head.Version = static_cast<unsigned>(Version);
  }
  void on_field_impl(http::field, StringView Name, StringView Value,
                     ErrorCode &) override {
    Head.Headers.add(std::string(Name), std::string(Value));
  }
  void on_header_impl(ErrorCode &Code) override {
    // An unknown coding would be read as if it were the body itself.
    for (const HeaderField &Field : Head.Headers)
      if (equalsIgnoreCase(Field.Name, "Transfer-Encoding") &&
          !equalsIgnoreCase(Field.Value, "chunked"))
        Code = http::error::bad_transfer_encoding;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  std::size_t on_body_impl(StringView Bytes, ErrorCode &) override {
    Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode &) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, StringView Bytes,
                                 ErrorCode &) override {
    Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }
  void on_finish_impl(ErrorCode &) override {}
};

ResponseParser::ResponseParser(bool BodiesAllowed)
    : m_BodiesAllowed(BodiesAllowed) {
  reset();
}

ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser &&) noexcept = default;
ResponseParser &ResponseParser::operator=(ResponseParser &&) noexcept = default;

void ResponseParser::reset() {
  m_Grammar = std::make_unique<Grammar>();
  m_Grammar->eager(true);
  m_Grammar->header_limit(HeadBytes);
  m_Grammar->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (!m_BodiesAllowed)
    m_Grammar->skip(true);
}

ResponseParser::State ResponseParser::feed(std::string_view Bytes) {
  m_Begun = m_Begun || !Bytes.empty();
  m_Input.append(Bytes);
  if (m_State == State::Complete || m_State == State::Failed)
    return m_State;
  ErrorCode Code = consume(*m_Grammar, m_Input);
  // An interim response ends with its head and says nothing of the final one.
  while (!Code && m_Grammar->is_done() && m_Grammar->Head.Status / 100 == 1) {
    reset();
    Code = consume(*m_Grammar, m_Input);
  }
  if (Code && Code != http::error::need_more)
    return m_State = State::Failed;
  if (m_Grammar->is_done())
    return m_State = State::Complete;
  if (m_Grammar->is_header_done())
    return m_State = State::Body;
  return m_State;
}

ResponseParser::State ResponseParser::finish() {
  if (m_State == State::Body && m_Grammar->need_eof() && m_Input.empty())
    return m_State = State::Complete;
  if (m_State != State::Complete)
    m_State = State::Failed;
  return m_State;
}

const ResponseHead &ResponseParser::head() const { return m_Grammar->Head; }

std::string ResponseParser::takeBody() {
  return std::exchange(m_Grammar->Body, {});
}

bool ResponseParser::keepsAlive() const {
  return m_State == State::Complete && !hasExcess() && !m_Grammar->need_eof() &&
         m_Grammar->keep_alive();
}

} // namespace figlift::proxy
