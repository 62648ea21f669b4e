//===- ResumeName.h - Names for resuming answers ----------------*- C++ -*-===//
//
// An entry resumes an answer that it requested by the request id. A caller that
// reconnects through another entry sends its idempotency key instead: the Run
// request carries a digest of the key, and a Resume request with that digest
// resumes the answer of the key if it has no reader.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace figlift::stream {

/// Distinguishes keys from request ids, which are UUIDs.
inline constexpr std::string_view KeyNamePrefix = "key/";

/// Resume name of the answer whose idempotency key has the digest \p Digest.
inline std::string resumeNameOf(std::string_view Digest) {
  return std::string(KeyNamePrefix).append(Digest);
}

/// The key digest in \p Name, or no value if it is a request id.
inline std::optional<std::string> keyDigestOf(std::string_view Name) {
  if (!Name.starts_with(KeyNamePrefix))
    return std::nullopt;
  return std::string(Name.substr(KeyNamePrefix.size()));
}

} // namespace figlift::stream
