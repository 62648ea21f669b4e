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

#include <cstddef>
#include <string_view>

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

} // namespace figlift
