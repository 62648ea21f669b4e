//===- Message.h - Heads of HTTP/1.1 messages -------------------*- C++ -*-===//
//
// Heads of requests and responses as the gateway reads and writes them. Field
// names keep the sender's spelling and are compared case-insensitively.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::proxy {

/// Compares two field names or tokens, ignoring ASCII case.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);
/// \p Text without leading and trailing spaces and tabs.
std::string_view trimmed(std::string_view Text);

struct HeaderField {
  std::string Name;
  std::string Value;
};

/// Header fields in the order of the message.
class HeaderList {
public:
  void add(std::string Name, std::string Value);
  /// Removes all fields of this name.
  void remove(std::string_view Name);
  /// The value of the first field of this name.
  std::optional<std::string_view> find(std::string_view Name) const;
  bool has(std::string_view Name) const { return find(Name).has_value(); }
  /// Whether a field of this name lists \p Token among its comma-separated
  /// values.
  bool containsToken(std::string_view Name, std::string_view Token) const;

  auto begin() const { return m_Fields.begin(); }
  auto end() const { return m_Fields.end(); }

private:
  std::vector<HeaderField> m_Fields;
};

struct RequestHead {
  std::string Method;
  /// As in the request line; forwarded unchanged, without normalization.
  std::string Target;
  /// 11 for HTTP/1.1, 10 for HTTP/1.0.
  unsigned Version = 11;
  HeaderList Headers;

  /// The request target without its query.
  std::string_view path() const;
};

/// How a message body is delimited (RFC 9112, 6.3).
enum class BodyFraming {
  /// Content-Length, or a status without a body.
  Length,
  Chunks,
  /// The body ends with its connection. A sender that crashes may close its
  /// connection in the same way.
  ConnectionEnd,
};

/// Short text for the log.
std::string_view describe(BodyFraming Framing);

struct ResponseHead {
  unsigned Status = 0;
  std::string Reason;
  unsigned Version = 11;
  HeaderList Headers;
  /// Of a received response; a writer chooses its own framing.
  BodyFraming Framing = BodyFraming::Length;
  /// Content-Length of a received response.
  std::optional<uint64_t> Length = std::nullopt;
};

/// A copy without the hop-by-hop fields (RFC 9110, 7.6.1), including those that
/// the Connection field of \p Headers names. Forwarding one would let a caller
/// control the connection to the target.
HeaderList endToEndHeaders(const HeaderList &Headers);

/// Serializes the head of a request: the request line of \p Head, and
/// \p Fields. A body is sent with Content-Length, also when it was received in
/// chunks.
std::string serializeRequestHead(const RequestHead &Head,
                                 const HeaderList &Fields, size_t BodyBytes);

/// Standard reason phrase of a status code; "Unknown" for codes without one.
std::string_view reasonPhrase(unsigned Status);

} // namespace figlift::proxy
