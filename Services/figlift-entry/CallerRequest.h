//===- CallerRequest.h - What a caller asks for -----------------*- C++ -*-===//
//
// The typed form of a caller's HTTP request, checked against the records in
// force.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Snapshot.h"
#include "LibHttp/Message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace figlift::entry {

/// Shape of a completion's answer.
enum class CompletionApi { Text, Chat };

struct CompletionWork {
  CompletionApi Api = CompletionApi::Text;
  bool Streamed = false;
  /// As the caller wrote it; stands in the answer.
  std::string ModelAsAsked;
  /// "name" or "name@version".
  std::string Model;
  std::string Prompt;
  uint32_t MaximumTokens = 0;

  /// Estimated from its length.
  uint32_t promptTokens() const;
};

struct ServiceWork {
  std::string Method;
  /// Path below the service with its query, as received.
  std::string Path;
  std::string ContentType;
  std::string Body;
};

struct CallerRequest {
  /// Value of X-Request-Id: the caller's, or one made here.
  std::string CallerId;
  /// Names the request between figlift's processes. Never the caller's own
  /// value alone: agents hold answers by it, and two callers with the same
  /// X-Request-Id would get each other's answers.
  std::string RequestId;
  std::string Workspace;
  std::string BackEnd;
  record::ServiceClass Class = record::ServiceClass::Interactive;
  /// Time that the caller gives the request.
  std::chrono::milliseconds Deadline{0};
  bool Repeatable = true;
  /// Set only for work that may not be repeated: other work needs no home.
  std::string IdempotencyKey;
  /// Of a completion with an idempotency key: digest of the key and of all
  /// that the answer depends on. A caller who comes back with the same request
  /// gets the answer that an agent still holds under it.
  std::string ResumeKey;
  std::variant<CompletionWork, ServiceWork> Work;

  bool keyed() const { return !IdempotencyKey.empty(); }
};

/// What reading a request needs beside the request.
struct ReadContext {
  const config::Snapshot &Configuration;
  std::chrono::milliseconds DefaultDeadline;
  /// A fresh unique id.
  std::string FreshId;
};

/// POST /v1/completions and /v1/chat/completions.
Result<CallerRequest> readCompletion(const http::Request &From,
                                     CompletionApi Api,
                                     const ReadContext &With);
/// Anything below /v1/services/{name}/.
Result<CallerRequest> readServiceCall(const http::Request &From,
                                      const ReadContext &With);

/// Value of X-Request-Id, or \p FreshId when there is none or an unfit one.
std::string callerIdOf(const http::Request &From, const std::string &FreshId);

inline constexpr std::string_view ServicesPath = "/v1/services/";

} // namespace figlift::entry
