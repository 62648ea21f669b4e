//===- Message.cpp - Heads of HTTP/1.1 messages ---------------------------===//
//
// Header lookup, serialization and the removal of hop-by-hop fields.
//
//===----------------------------------------------------------------------===//

#include "LibProxy/Message.h"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/http/status.hpp>
#include <spdlog/fmt/fmt.h>

namespace figlift::proxy {

namespace {

char lower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character | 0x20)
             : Character;
}

/// Calls \p Visit with each comma-separated token of \p Value.
template <typename Visitor>
void forEachToken(std::string_view Value, Visitor &&Visit) {
  while (!Value.empty()) {
    const size_t Comma = Value.find(',');
    Visit(trimmed(Value.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      return;
    Value.remove_prefix(Comma + 1);
  }
}

/// Hop-by-hop fields (RFC 9110, 7.6.1).
constexpr std::array<std::string_view, 9> HopByHopFields = {
    "Connection",         "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "TE",         "Trailer",
    "Transfer-Encoding",  "Upgrade",    "Expect"};

} // namespace

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

std::string_view trimmed(std::string_view Text) {
  const size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

void HeaderList::add(std::string Name, std::string Value) {
  m_Fields.push_back({std::move(Name), std::move(Value)});
}

void HeaderList::remove(std::string_view Name) {
  std::erase_if(m_Fields, [&](const HeaderField &Field) {
    return equalsIgnoreCase(Field.Name, Name);
  });
}

std::optional<std::string_view> HeaderList::find(std::string_view Name) const {
  for (const HeaderField &Field : m_Fields)
    if (equalsIgnoreCase(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

bool HeaderList::containsToken(std::string_view Name,
                               std::string_view Token) const {
  bool Found = false;
  for (const HeaderField &Field : m_Fields)
    if (equalsIgnoreCase(Field.Name, Name))
      forEachToken(Field.Value, [&](std::string_view Listed) {
        Found = Found || equalsIgnoreCase(Listed, Token);
      });
  return Found;
}

std::string_view RequestHead::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

HeaderList endToEndHeaders(const HeaderList &Headers) {
  HeaderList EndToEnd;
  for (const HeaderField &Field : Headers) {
    const bool IsHopByHop = std::any_of(
        HopByHopFields.begin(), HopByHopFields.end(),
        [&](auto Name) { return equalsIgnoreCase(Name, Field.Name); });
    if (!IsHopByHop && !Headers.containsToken("Connection", Field.Name))
      EndToEnd.add(Field.Name, Field.Value);
  }
  return EndToEnd;
}

std::string serializeRequestHead(const RequestHead &Head,
                                 const HeaderList &Fields, size_t BodyBytes) {
  std::string Text =
      fmt::format("{} {} HTTP/1.1\r\n", Head.Method, Head.Target);
  for (const HeaderField &Field : Fields)
    Text += fmt::format("{}: {}\r\n", Field.Name, Field.Value);
  const bool HasBody = BodyBytes > 0 || Head.Headers.has("Content-Length") ||
                       Head.Headers.has("Transfer-Encoding");
  if (HasBody)
    Text += fmt::format("Content-Length: {}\r\n", BodyBytes);
  Text += "\r\n";
  return Text;
}

std::string_view describe(BodyFraming Framing) {
  switch (Framing) {
  case BodyFraming::Length:
    return "length";
  case BodyFraming::Chunks:
    return "chunks";
  case BodyFraming::ConnectionEnd:
    return "connection end";
  }
  return {};
}

std::string_view reasonPhrase(unsigned Status) {
  const auto Text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(Status));
  return {Text.data(), Text.size()};
}

} // namespace figlift::proxy
