//===- AnswerStore.h - Answers held for resumption --------------*- C++ -*-===//
//
// State machine of held answers, without I/O. When the connection to the entry
// is lost, a run continues for a limited time, and the same or another entry
// can resume the answer at a token index. A lost connection thus needs no
// second run. Memory and holding time are limited.
//
// A run is one execution at the engine; a reader is a wire stream that an entry
// opened for it. A run has at most one reader, the most recent one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Result.h"
#include "LibStream/HeldAnswer.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace figlift::stream {

using RunId = uint64_t;
using ReaderId = uint64_t;

struct StoreLimits {
  /// Memory of all held answers together.
  size_t MaximumBytes = 64u << 20;
  /// How long a run without a reader continues and its answer is held.
  std::chrono::milliseconds DetachedTime{10000};
  /// How long a delivered answer is held: the entry may have failed before it
  /// forwarded the last tokens.
  std::chrono::milliseconds DeliveredTime{5000};
};

/// Outcome of a run that completed.
struct Completed {
  uint32_t TotalTokens = 0;
  std::string FinishReason;
  uint32_t CachedPromptTokens = 0;
  std::string KvHandle;
};
using RunOutcome = std::variant<Completed, Error>;

// Events.

/// A run starts, with \p Reader attached. It replaces a run that is still held
/// for the same request.
struct RunStarted {
  std::string RequestId;
  RunId Run = 0;
  ReaderId Reader = 0;
  uint32_t FirstToken = 0;
};
struct TokenProduced {
  RunId Run = 0;
  uint32_t Index = 0;
  std::string Text;
};
struct RunEnded {
  RunId Run = 0;
  RunOutcome Outcome;
};
/// The connection to the reader was lost; the answer may be resumed.
struct ReaderLost {
  ReaderId Reader = 0;
};
/// The reader canceled the request.
struct ReaderCancelled {
  ReaderId Reader = 0;
};
struct ReaderResumed {
  std::string RequestId;
  ReaderId Reader = 0;
  uint32_t FirstToken = 0;
};
struct TimePassed {};

using Event = std::variant<RunStarted, TokenProduced, RunEnded, ReaderLost,
                           ReaderCancelled, ReaderResumed, TimePassed>;

// Actions.

struct SendTokens {
  ReaderId Reader = 0;
  TokenRange Tokens;
};
/// Send the last frame and end the reader's stream.
struct SendOutcome {
  ReaderId Reader = 0;
  RunOutcome Outcome;
  /// Number of tokens of the answer, including those of earlier attempts.
  uint32_t Tokens = 0;
};
struct RejectResume {
  ReaderId Reader = 0;
  ResultCode Code = ResultCode::AnswerNoLongerHeld;
};
/// Close the reader's stream: its run has a newer reader or was replaced.
struct CloseReader {
  ReaderId Reader = 0;
};
/// Cancel the run at the engine.
struct CancelRun {
  RunId Run = 0;
};

using Action =
    std::variant<SendTokens, SendOutcome, RejectResume, CloseReader, CancelRun>;

class AnswerStore {
public:
  explicit AnswerStore(StoreLimits Limits) : m_Limits(Limits) {}

  std::vector<Action> step(const Event &Input, BootTime Now);

  size_t bytes() const { return m_Bytes; }
  /// Number of held answers, including those of active runs.
  size_t answers() const { return m_Answers.size(); }
  /// Number of answers whose outcome has not been sent to a reader.
  size_t undelivered() const { return m_Answers.size() - m_Delivered; }
  bool holds(const std::string &RequestId) const {
    return m_ByRequest.contains(RequestId);
  }
  /// Whether an answer of this request is held that has no reader and whose run
  /// has not failed. Resuming it does not detach another reader.
  bool isResumable(const std::string &RequestId) const;

private:
  struct Answer {
    std::string RequestId;
    HeldAnswer Tokens;
    std::optional<ReaderId> Reader;
    /// Set when the run has ended.
    std::optional<RunOutcome> Outcome;
    /// Set if the answer has no reader or has been delivered.
    std::optional<BootTime> Expires;
    /// The outcome has been sent to a reader.
    bool Delivered = false;
  };
  using Answers = std::map<RunId, Answer>;
  struct Transition;

  Answer *find(RunId Run);
  void attach(RunId Run, Answer &Held, ReaderId Reader,
              std::vector<Action> &Actions);
  void detach(Answer &Held);
  void deliverOutcome(Answer &Ended, BootTime Now,
                      std::vector<Action> &Actions);
  void remove(Answers::iterator Position);
  /// Removes the answer and cancels its run unless it has ended.
  void cancelAndRemove(Answers::iterator Position,
                       std::vector<Action> &Actions);
  /// Evicts answers and delivered tokens until MaximumBytes is kept.
  void evictToLimit(std::vector<Action> &Actions);

  const StoreLimits m_Limits;
  /// Sum of bytes() over m_Answers.
  size_t m_Bytes = 0;
  /// Answers with Delivered set.
  size_t m_Delivered = 0;
  /// Ordered by age, because run ids ascend.
  Answers m_Answers;
  std::unordered_map<std::string, RunId> m_ByRequest;
  /// Contains exactly the runs whose Reader is set.
  std::unordered_map<ReaderId, RunId> m_ByReader;
};

} // namespace figlift::stream
