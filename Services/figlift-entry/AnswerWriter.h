//===- AnswerWriter.h - HTTP responses to callers ---------------*- C++ -*-===//
//
// Writes the response of a call: a stream of completion chunks, a buffered
// completion, or the response of a service back end.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/CallerRequest.h"

#include "LibHttp/Exchange.h"
#include "LibWire/Messages.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace figlift::entry {

/// Finish reason and token usage of a completion.
struct CompletionEnd {
  std::string FinishReason;
  uint32_t PromptTokens = 0;
  uint32_t TotalTokens = 0;
  uint32_t CachedPromptTokens = 0;
};

/// Streams server-sent events. The response starts with the first token, so
/// that an earlier failure can still be reported with its own HTTP status.
class StreamedCompletion {
public:
  StreamedCompletion(std::shared_ptr<http::Exchange> Caller,
                     const CompletionWork &Work, std::string Id,
                     std::function<void()> OnDisconnect);
  /// Returns false when the caller has disconnected.
  bool tokens(std::string_view Text);
  /// Writes a comment event, which callers ignore, and starts the response if
  /// necessary. Thread-safe.
  bool keepAlive();
  void finish(const CompletionEnd &End);
  void fail(const Error &Failure);

private:
  void start();

  const std::shared_ptr<http::Exchange> m_Caller;
  const std::function<void()> m_OnDisconnect;
  const bool m_IsChat;
  /// JSON prefix of every chunk, up to the generated text.
  std::string m_Head;
  /// Starts the event stream, or sends a problem response instead, only once:
  /// tokens, the keep-alive timer and a failure can race to be first.
  std::once_flag m_StartOnce;
  /// Null until the response starts; stays null for a problem response.
  std::shared_ptr<http::EventStream> m_Stream;
};

/// Buffers the tokens and sends one JSON object at the end.
class BufferedCompletion {
public:
  BufferedCompletion(std::shared_ptr<http::Exchange> Caller,
                     const CompletionWork &Work, std::string Id);
  bool tokens(std::string_view Text);
  bool keepAlive() { return true; }
  void finish(const CompletionEnd &End);
  void fail(const Error &Failure) { m_Caller->replyProblem(Failure); }

private:
  const std::shared_ptr<http::Exchange> m_Caller;
  const CompletionApi m_Api;
  const std::string m_Model;
  const std::string m_Id;
  std::string m_Text;
};

/// Forwards status and body of a service back end unchanged.
class ServiceResponse {
public:
  explicit ServiceResponse(std::shared_ptr<http::Exchange> Caller)
      : m_Caller(std::move(Caller)) {}
  void answer(const wire::ServiceAnswer &Answer);
  bool keepAlive() { return true; }
  void fail(const Error &Failure) { m_Caller->replyProblem(Failure); }

private:
  const std::shared_ptr<http::Exchange> m_Caller;
};

using AnswerWriter = std::variant<std::unique_ptr<StreamedCompletion>,
                                  std::unique_ptr<BufferedCompletion>,
                                  std::unique_ptr<ServiceResponse>>;

/// Creates the writer for the kind of request. \p OnDisconnect is called when a
/// write to the caller fails.
AnswerWriter makeAnswerWriter(std::shared_ptr<http::Exchange> Caller,
                              const CallerRequest &Request,
                              std::function<void()> OnDisconnect);

} // namespace figlift::entry
