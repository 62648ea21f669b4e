//===- Completions.h - Runs at a model engine -------------------*- C++ -*-===//
//
// Takes completions through the gate to the engine and their tokens through
// the store of held answers to whoever reads them. Loop thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Answering.h"
#include "Gate.h"
#include "PrefixCache.h"

#include "LibStream/AnswerStore.h"
#include "LibTarget/Target.h"

#include <memory>
#include <unordered_map>

namespace figlift::agent {

class Completions {
public:
  struct Parts {
    Gate &Way;
    Answering &Out;
    target::Engine &Engine;
    PrefixCache &Prefixes;
  };

  Completions(Context Shared, Parts Of);
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
    Reader First;
    /// Digest of the caller's idempotency key, or empty.
    std::string Key;
    wire::Completion Work;
    uint32_t Priority = 0;
    std::optional<BootTime> Deadline;
    /// Null while queued.
    std::shared_ptr<target::Completion> AtEngine;
    uint32_t ExpectedCached = 0;
    uint32_t Produced = 0;
  };

  void admitted(WorkId Id);
  void refused(WorkId Id, const GateRefusal &Why);
  void token(WorkId Id, target::Token Produced);
  void ended(WorkId Id, target::CallResult<target::CompletionEnd> End);
  stream::RunOutcome
  judge(const Run &Which, const target::CallResult<target::CompletionEnd> &End);
  void expire(WorkId Id);
  void step(const stream::Event &What);
  void act(const stream::SendTokens &What);
  void act(const stream::SendOutcome &What);
  void act(const stream::RejectResume &What);
  void act(const stream::CloseReader &What);
  void act(const stream::CancelRun &What);
  admission::Work describe(const Run &Which) const;
  /// Request id of the answer that a Resume for \p Name means.
  std::string heldAs(const std::string &Name) const;

  Context m_Shared;
  Parts m_Parts;
  stream::AnswerStore m_Store;
  /// Answers that outlive this object find it gone.
  std::shared_ptr<Completions *> m_Self;
  /// Queued and at the engine; ids are also the store's run ids.
  std::unordered_map<WorkId, Run> m_Runs;
  std::unordered_map<StreamId, Reader> m_Readers;
  /// Queued runs by the stream that waits for them.
  std::unordered_map<StreamId, WorkId> m_Queued;
  /// Request ids of runs with an idempotency key; those that are no longer
  /// held are forgotten with the next tick.
  std::unordered_map<std::string, std::string> m_ByKey;
  metrics::Counter &m_Tokens;
  metrics::Counter &m_Resumed;
};

} // namespace figlift::agent
