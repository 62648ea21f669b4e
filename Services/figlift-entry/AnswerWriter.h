//===- AnswerWriter.h - Answers in the caller's form ------------*- C++ -*-===//
//
// What a call writes to its caller: a stream of chunks, one whole completion,
// or the answer of a plain service.
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

/// End of a completion.
struct CompletionEnd {
  std::string FinishReason;
  uint32_t PromptTokens = 0;
  uint32_t TotalTokens = 0;
  uint32_t CachedPromptTokens = 0;
};

/// Server-sent events. The answer begins with the first token, so that what
/// fails before it is an HTTP status of its own.
class StreamedCompletion {
public:
  StreamedCompletion(std::shared_ptr<http::Exchange> Caller,
                     const CompletionWork &Work, std::string Id,
                     std::function<void()> Gone);
  /// False when the caller has gone.
  bool tokens(std::string_view Text);
  /// Writes something that a caller ignores; begins the answer. Any thread.
  bool keepAlive();
  void finish(const CompletionEnd &End);
  void fail(const Error &What);

private:
  void begin();

  const std::shared_ptr<http::Exchange> m_Caller;
  const std::function<void()> m_Gone;
  const bool m_IsChat;
  /// Everything of a chunk before its text.
  std::string m_Head;
  /// The answer is begun, or ended as a problem, once: tokens, the keep-alive
  /// timer and a failure may all come first.
  std::once_flag m_Begun;
  /// Null until begun, and for ever when the answer is a problem.
  std::shared_ptr<http::EventStream> m_Stream;
};

/// One JSON object, written at the end.
class WholeCompletion {
public:
  WholeCompletion(std::shared_ptr<http::Exchange> Caller,
                  const CompletionWork &Work, std::string Id);
  bool tokens(std::string_view Text);
  bool keepAlive() { return true; }
  void finish(const CompletionEnd &End);
  void fail(const Error &What) { m_Caller->replyProblem(What); }

private:
  const std::shared_ptr<http::Exchange> m_Caller;
  const CompletionApi m_Api;
  const std::string m_Model;
  const std::string m_Id;
  std::string m_Text;
};

/// Status and body as the target gave them.
class PlainAnswer {
public:
  explicit PlainAnswer(std::shared_ptr<http::Exchange> Caller)
      : m_Caller(std::move(Caller)) {}
  void answer(const wire::ServiceAnswer &Answer);
  bool keepAlive() { return true; }
  void fail(const Error &What) { m_Caller->replyProblem(What); }

private:
  const std::shared_ptr<http::Exchange> m_Caller;
};

using AnswerWriter = std::variant<std::unique_ptr<StreamedCompletion>,
                                  std::unique_ptr<WholeCompletion>,
                                  std::unique_ptr<PlainAnswer>>;

/// The writer that fits the request. \p Gone is called when a write to the
/// caller failed.
AnswerWriter makeAnswerWriter(std::shared_ptr<http::Exchange> Caller,
                              const CallerRequest &For,
                              std::function<void()> Gone);

} // namespace figlift::entry
