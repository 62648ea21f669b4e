//===- Completions.h - Completions at a model engine ------------*- C++ -*-===//
//
// Sends admitted completions to the engine, keeps their tokens in the store of
// held answers and sends them to the entries that read them. Event loop's
// thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "AdmissionGate.h"
#include "FrameSender.h"
#include "PrefixCache.h"

#include "LibStream/AnswerStore.h"
#include "LibTarget/Target.h"

#include <memory>
#include <unordered_map>

namespace figlift::agent {

class Completions {
public:
  struct Dependencies {
    AdmissionGate &Gate;
    FrameSender &Frames;
    target::Engine &Engine;
    PrefixCache &Prefixes;
  };

  Completions(Context Shared, Dependencies Services);
  ~Completions();

  void run(StreamId Stream, wire::RunRequest Request);
  void resume(StreamId Stream, const wire::ResumeRequest &Request);
  void streamEnded(StreamId Stream, wire::StreamEnd End);
  void tick();

  size_t heldAnswers() const { return m_Store.answers(); }
  size_t undelivered() const { return m_Store.undelivered(); }
  size_t heldBytes() const { return m_Store.bytes(); }

private:
  class Listener;
  struct Run {
    AttemptStream InitialStream;
    /// Digest of the caller's idempotency key, or empty.
    std::string Key;
    wire::Completion Request;
    uint32_t Priority = 0;
    std::optional<BootTime> Deadline;
    /// Null while queued.
    std::shared_ptr<target::Completion> AtEngine;
    uint32_t ExpectedCached = 0;
    uint32_t TokensProduced = 0;
  };

  void admitted(WorkId Id);
  void refused(WorkId Id, const GateRefusal &Refusal);
  void token(WorkId Id, target::Token Produced);
  void ended(WorkId Id, target::CallResult<target::CompletionEnd> End);
  stream::RunOutcome
  toEnding(const Run &Completion,
           const target::CallResult<target::CompletionEnd> &End);
  void expire(WorkId Id);
  void step(const stream::Event &Event);
  void perform(const stream::SendTokens &Action);
  void perform(const stream::SendOutcome &Action);
  void perform(const stream::RejectResume &Action);
  void perform(const stream::CloseReader &Action);
  void perform(const stream::CancelRun &Action);
  admission::Work describe(const Run &Completion) const;
  /// Request id of the held answer that a Resume for \p Name refers to. \p Name
  /// is a request id or a name that contains an idempotency key.
  std::string findRequestId(const std::string &Name) const;

  Context m_Shared;
  Dependencies m_Dependencies;
  stream::AnswerStore m_Store;
  /// Expires with this object, so that later callbacks of the engine are
  /// ignored.
  std::shared_ptr<Completions *> m_Self;
  /// Runs that are queued or at the engine. The answer store uses the same ids.
  std::unordered_map<WorkId, Run> m_Runs;
  std::unordered_map<StreamId, AttemptStream> m_Readers;
  /// Runs that wait for admission, by the stream that sent them.
  std::unordered_map<StreamId, WorkId> m_QueuedRuns;
  /// Request ids of runs with an idempotency key. Each tick removes those whose
  /// answer is no longer held.
  std::unordered_map<std::string, std::string> m_RequestIdsByKey;
  metrics::Counter &m_Tokens;
  metrics::Counter &m_Resumed;
};

} // namespace figlift::agent
