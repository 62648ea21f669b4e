//===- Message.h - Heads of HTTP/1.1 messages --------------------*- C++
//-*-===//
//
// Typed heads of requests and responses as the gateway reads and writes them.
// Field names keep the spelling of their sender and compare without case.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::proxy {

/// Compares two field names or tokens without regard to ASCII case.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);
/// \p Text without blanks at both ends.
std::string_view trimmed(std::string_view Text);

struct HeaderField {
  std::string Name;
  std::string Value;
};

/// Fields in the order in which they came.
class HeaderList {
public:
  void add(std::string Name, std::string Value);
  /// Removes every field of this name.
  void remove(std::string_view Name);
  /// The value of the first field of this name.
  std::optional<std::string_view> find(std::string_view Name) const;
  bool has(std::string_view Name) const { return find(Name).has_value(); }
  /// Whether a field of this name lists \p Token among its comma-separated
  /// values.
  bool lists(std::string_view Name, std::string_view Token) const;

  auto begin() const { return m_Fields.begin(); }
  auto end() const { return m_Fields.end(); }

private:
  std::vector<HeaderField> m_Fields;
};

struct RequestHead {
  std::string Method;
  /// As in the request line, never normalised: it is forwarded unchanged.
  std::string Target;
  /// 11 for HTTP/1.1, 10 for HTTP/1.0.
  unsigned Version = 11;
  HeaderList Headers;

  /// The target without its query.
  std::string_view path() const;
};

struct ResponseHead {
  unsigned Status = 0;
  std::string Reason;
  unsigned Version = 11;
  HeaderList Headers;
};

/// The fields that concern one connection alone (RFC 9110, 7.6.1), those that
/// \p Headers names in Connection included, are left out of the copy. A
/// forwarded one would let a caller speak to the target's connection.
HeaderList endToEndHeaders(const HeaderList &Headers);

/// A whole request as bytes: the line of \p Head with these fields. A body has
/// its length, also when it came in chunks.
std::string requestText(const RequestHead &Head, const HeaderList &Fields,
                        std::string_view Body);

/// Standard text of a status code; "Unknown" for those that have none.
std::string_view reasonPhrase(unsigned Status);

} // namespace figlift::proxy
