//===- AnswerStore.h - Answers that outlive their readers -------*- C++ -*-===//
//
// The pure state machine behind held answers. A run goes on for a bounded time
// when the link to the entry breaks, and the same or another entry resumes the
// answer at its offset, so that a broken link costs no second run. Memory and
// time are bounded.
//
// A run is one execution at the engine; a reader is one wire stream that an
// entry opened for it. A run has at most one reader: the last one to come.
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
  /// Text of all answers together.
  size_t MaximumBytes = 64u << 20;
  /// How long a run goes on, and its answer is held, without a reader.
  std::chrono::milliseconds DetachedTime{10000};
  /// How long a delivered answer is held: the entry may have died before it
  /// passed the last tokens on.
  std::chrono::milliseconds DeliveredTime{5000};
};

/// How a run ended.
struct Completed {
  uint32_t TotalTokens = 0;
  std::string FinishReason;
  uint32_t CachedPromptTokens = 0;
  std::string KvHandle;
};
using Ending = std::variant<Completed, Error>;

// Events.

/// A run begins, read by \p Reader. A run that is still held for the same
/// request gives way.
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
  Ending How;
};
/// The link to the reader broke; it may come back.
struct ReaderLost {
  ReaderId Reader = 0;
};
/// The reader wants no more of this answer.
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
/// The last frame; the reader's stream ends after it.
struct SendEnding {
  ReaderId Reader = 0;
  Ending How;
  /// Tokens of the answer so far, those of earlier attempts included.
  uint32_t Tokens = 0;
};
struct RefuseResume {
  ReaderId Reader = 0;
  ResultCode Code = ResultCode::AnswerNoLongerHeld;
};
/// The run has a newer reader, or gave way to another run.
struct DismissReader {
  ReaderId Reader = 0;
};
/// The engine should stop this run.
struct CancelRun {
  RunId Run = 0;
};

using Action = std::variant<SendTokens, SendEnding, RefuseResume, DismissReader,
                            CancelRun>;

class AnswerStore {
public:
  explicit AnswerStore(StoreLimits Limits) : m_Limits(Limits) {}

  std::vector<Action> step(const Event &What, BootTime Now);

  size_t bytes() const { return m_Bytes; }
  /// Answers that are held, running ones included.
  size_t answers() const { return m_Answers.size(); }
  /// Answers whose end no reader has got yet.
  size_t undelivered() const { return m_Answers.size() - m_Delivered; }
  bool holds(const std::string &RequestId) const {
    return m_ByRequest.contains(RequestId);
  }
  /// Whether an answer that can still become whole is held, and nobody reads
  /// it: a reader that comes takes nothing away from another.
  bool isUnread(const std::string &RequestId) const;

private:
  struct Answer {
    std::string RequestId;
    HeldAnswer Held;
    std::optional<ReaderId> Reader;
    /// Set when the run ended.
    std::optional<Ending> End;
    /// Set whenever the answer has no reader, or is delivered.
    std::optional<BootTime> Expires;
    /// The end was sent to a reader.
    bool Delivered = false;
  };
  using Answers = std::map<RunId, Answer>;
  struct Step;

  Answer *find(RunId Run);
  void attach(RunId Run, Answer &To, ReaderId Reader,
              std::vector<Action> &Actions);
  void detach(Answer &From);
  void deliverEnd(Answer &Ended, BootTime Now, std::vector<Action> &Actions);
  void remove(Answers::iterator Which);
  /// Removes and cancels the run when it has not ended.
  void abandon(Answers::iterator Which, std::vector<Action> &Actions);
  void makeRoom(std::vector<Action> &Actions);

  const StoreLimits m_Limits;
  /// Sum of bytes() over m_Answers.
  size_t m_Bytes = 0;
  /// Answers with Delivered set.
  size_t m_Delivered = 0;
  /// Ordered by age, as run ids ascend.
  Answers m_Answers;
  std::unordered_map<std::string, RunId> m_ByRequest;
  /// Exactly the runs whose Reader is set.
  std::unordered_map<ReaderId, RunId> m_ByReader;
};

} // namespace figlift::stream
