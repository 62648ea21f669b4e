//===- BoundedJson.h - Parser for foreign JSON and CBOR ---------*- C++ -*-===//
//
// Parses bytes that another program wrote: rows of the store, responses of
// servers, datagrams of peers. The sender must not decide how deep this process
// recurses: copying, printing and reading CBOR recurse once for each level of
// nesting, and a stack overflow cannot be caught. The depth is therefore
// checked while the value is built.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

namespace figlift {

/// Twice the depth of the most deeply nested message, the operator's
/// configuration (services, engine, models, adapters).
inline constexpr size_t MaximumMessageDepth = 16;

/// What becomes of arrays and objects below MaximumMessageDepth.
enum class DeepParts {
  /// The whole message is refused.
  Refused,
  /// They are replaced by null. For a list of messages of several writers, one
  /// of which must not hide the others.
  Dropped,
};

/// Parses a JSON text. The last one of several members of the same name counts.
/// Fails with InvalidInput if \p Text is not valid JSON, has a number that does
/// not fit, has a text that is not UTF-8, or nests arrays and objects more than
/// MaximumMessageDepth levels deep.
Result<nlohmann::json> parseMessage(std::string_view Text,
                                    DeepParts Deep = DeepParts::Refused);

/// Like parseMessage(), for CBOR. Strings of indefinite length are rejected:
/// their parts may be nested as well, and no process of figlift sends them.
Result<nlohmann::json> parseCborMessage(std::string_view Bytes);

namespace detail {
[[noreturn]] void throwNotInRange(const nlohmann::json &Value);
} // namespace detail

/// Reads an integer from \p Minimum to \p Maximum. Json::get() converts
/// fractions, truth values and integers that do not fit without an error: 1.5
/// to 1, and -1 to the largest unsigned number. Throws
/// nlohmann::json::exception for such values, as get() does for texts.
template <std::integral T>
T wholeNumber(const nlohmann::json &Value,
              T Minimum = std::numeric_limits<T>::min(),
              T Maximum = std::numeric_limits<T>::max()) {
  const auto IsInRange = [&](auto Number) {
    return std::cmp_less_equal(Minimum, Number) &&
           std::cmp_less_equal(Number, Maximum);
  };
  if (const auto *Unsigned = Value.get_ptr<const uint64_t *>()) {
    if (IsInRange(*Unsigned))
      return static_cast<T>(*Unsigned);
  } else if (const auto *Signed = Value.get_ptr<const int64_t *>()) {
    if (IsInRange(*Signed))
      return static_cast<T>(*Signed);
  }
  detail::throwNotInRange(Value);
}

} // namespace figlift
