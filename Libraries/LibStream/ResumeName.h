//===- ResumeName.h - Names under which answers are resumed -----*- C++ -*-===//
//
// An entry resumes an answer of its own by its request id. A caller who comes
// back through another entry brings an idempotency key instead: the Run names
// a digest of the key, and a Resume asks for whichever answer has it and is
// read by nobody.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace figlift::stream {

/// No request id, which is a UUID, begins so.
inline constexpr std::string_view KeyNamePrefix = "key/";

/// Name to resume the answer with the key digest \p Digest by.
inline std::string nameOfKey(std::string_view Digest) {
  return std::string(KeyNamePrefix).append(Digest);
}

/// Digest in \p Name; nothing when it is a request id.
inline std::optional<std::string> keyOfName(std::string_view Name) {
  if (!Name.starts_with(KeyNamePrefix))
    return std::nullopt;
  return std::string(Name.substr(KeyNamePrefix.size()));
}

} // namespace figlift::stream
