//===- CallerRequest.h - Parsed request of a caller -------------*- C++ -*-===//
//
// A caller's HTTP request, parsed and validated against the configuration in
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

/// Response format of a completion.
enum class CompletionApi { Text, Chat };

struct CompletionWork {
  CompletionApi Api = CompletionApi::Text;
  bool Streamed = false;
  /// Model name as sent by the caller; repeated in the response.
  std::string RequestedModel;
  /// "name" or "name@version".
  std::string Model;
  std::string Prompt;
  uint32_t MaximumTokens = 0;

  /// Token count of the prompt, estimated from its length.
  uint32_t promptTokens() const;
};

struct ServiceWork {
  std::string Method;
  /// Path below the service, including the query, as received.
  std::string Path;
  std::string ContentType;
  std::string Body;
};

struct CallerRequest {
  /// Value of X-Request-Id: sent by the caller, or generated.
  std::string CallerId;
  /// Identifies the request among figlift's processes. Always generated: agents
  /// hold answers by this id, and two callers with the same X-Request-Id would
  /// receive each other's answers.
  std::string RequestId;
  std::string Workspace;
  std::string BackEnd;
  record::ServiceClass Class = record::ServiceClass::Interactive;
  /// Time until the request must be answered.
  std::chrono::milliseconds Deadline{0};
  bool Repeatable = true;
  /// Set only for non-repeatable work; other work needs no home.
  std::string IdempotencyKey;
  /// For a completion with an idempotency key: digest of the key and of
  /// everything that the answer depends on. A caller that retries the same
  /// request receives the answer that an agent still holds under this key.
  std::string ResumeKey;
  std::variant<CompletionWork, ServiceWork> Work;

  bool keyed() const { return !IdempotencyKey.empty(); }
};

/// Inputs of request parsing other than the HTTP request.
struct ReadContext {
  const config::Snapshot &Configuration;
  std::chrono::milliseconds DefaultDeadline;
  /// A newly generated unique id.
  std::string GeneratedId;
};

/// POST /v1/completions and /v1/chat/completions.
Result<CallerRequest> readCompletion(const http::Request &Request,
                                     CompletionApi Api,
                                     const ReadContext &Context);
/// Anything below /v1/services/{name}/.
Result<CallerRequest> readServiceCall(const http::Request &Request,
                                      const ReadContext &Context);

/// Returns the value of X-Request-Id, or \p GeneratedId when it is missing or
/// invalid.
std::string callerIdOf(const http::Request &Request,
                       const std::string &GeneratedId);

inline constexpr std::string_view ServicesPath = "/v1/services/";

} // namespace figlift::entry
