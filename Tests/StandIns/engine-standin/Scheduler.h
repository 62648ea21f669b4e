//===- Scheduler.h - Continuous batching of the engine ----------*- C++ -*-===//
//
// One thread plays steps: each step computes one chunk of waiting prompts and
// one token of every running sequence, and takes the time that the cost model
// gives it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "EngineOptions.h"
#include "PrefixCache.h"
#include "TokenStream.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace figlift::standin {

struct Completion {
  std::string RequestId;
  /// "name" or "name@version".
  std::string Model;
  std::string Prompt;
  uint64_t PromptTokens = 0;
  uint64_t MaximumTokens = 0;
  /// Lower is more urgent.
  int Priority = 0;
  /// Tokens that another engine produced already.
  uint64_t FirstToken = 0;
};

/// Text of token \p Index of the answer to \p Prompt.
std::string tokenText(const std::string &Prompt, uint64_t Index);

class Scheduler {
public:
  explicit Scheduler(const EngineOptions &Options);

  /// Returns why the completion cannot run, or nothing when it waits or runs.
  std::optional<std::string> submit(Completion Asked,
                                    const web::http::http_request &Request);
  bool cancel(const std::string &RequestId);
  /// Breaks the streams of \p Model ("name"), or all streams when it is empty.
  void cut(const std::string &Model);
  /// Drops everything, as a crash does. The book stays.
  void forget(const std::string &Role);
  void setRole(const std::string &Role);
  void configure(const Json &Settings);
  /// Calls \p Hook after \p Tokens more tokens.
  void afterTokens(uint64_t Tokens, std::function<void()> Hook);

  Json load();
  Json cacheEvents(uint64_t After);
  Json book();
  /// Sequences that compute, and that wait.
  std::pair<uint64_t, uint64_t> counts();

  struct KvCopy {
    std::string Handle;
    uint64_t Bytes = 0;
    std::chrono::microseconds Time{0};
  };
  /// Describes the KV cache of a decoding sequence, if there is such a one.
  std::optional<KvCopy> exportKv(const std::string &RequestId);
  /// Reserves memory for the KV cache of \p Handle, if it fits. Throws when
  /// the handle is malformed.
  std::optional<KvCopy> importKv(const std::string &Handle);

private:
  struct Record {
    std::string RequestId;
    uint64_t FirstToken = 0;
    uint64_t Produced = 0;
    int Priority = 0;
    std::string Outcome;
  };

  struct Sequence {
    uint64_t Serial = 0;
    Completion Asked;
    std::shared_ptr<Record> Entry;
    TokenStream Stream;
    bool Admitted = false;
    bool Ended = false;
    std::vector<uint64_t> Hashes;
    size_t PinnedBlocks = 0;
    /// KV tokens that are its own, apart from the pinned blocks.
    uint64_t ReservedTokens = 0;
    uint64_t CachedTokens = 0;
    uint64_t PrefillLeft = 0;
    uint64_t NextToken = 0;
    SteadyTime LastWrite;
  };
  using SequencePointer = std::shared_ptr<Sequence>;
  /// Most urgent first, then first come.
  using Order = std::pair<int, uint64_t>;

  struct Import {
    uint64_t Tokens = 0;
    SteadyTime Expiry;
  };
  struct Step {
    std::vector<std::pair<SequencePointer, uint64_t>> Prefills;
    std::vector<SequencePointer> Decodes;
    std::chrono::duration<double> Duration{0};
  };
  /// Text that goes out once the mutex is free.
  struct Output {
    SequencePointer To;
    std::string Text;
    bool Last = false;
  };
  struct LoadReport {
    SteadyTime When;
    uint64_t QueuedPrefillTokens = 0;
    uint64_t Running = 0;
    uint64_t KvFreeTokens = 0;
  };

  void run();
  void admit();
  bool admitOne(const SequencePointer &Next);
  bool makeRoom(uint64_t Tokens);
  void dropExpiredImports();
  Step planStep();
  void apply(const Step &Done, std::vector<Output> &Outputs);
  void finishPrefill(Sequence &Done);
  void emitToken(const SequencePointer &To, std::vector<Output> &Outputs);
  void keepAlive(std::vector<Output> &Outputs);
  void end(Sequence &Ended, const std::string &Outcome);
  void endGone(uint64_t Serial);
  uint64_t usedTokens() const;
  void report();
  template <typename Function> void forEach(Function Visit);

  std::mutex m_Mutex;
  std::condition_variable m_Work;
  EngineOptions m_Options;
  std::string m_Role;
  std::map<Order, SequencePointer> m_Waiting;
  std::map<Order, SequencePointer> m_Admitted;
  PrefixCache m_Cache;
  /// By hash of the whole prompt.
  std::map<uint64_t, Import> m_Imports;
  /// Sum of ReservedTokens and of the imports.
  uint64_t m_ReservedTokens = 0;
  uint64_t m_LastSerial = 0;
  std::deque<std::shared_ptr<Record>> m_Book;
  /// Oldest first; the first one is what a lagging report shows.
  std::deque<LoadReport> m_Reports;
  uint64_t m_HookTokens = 0;
  std::function<void()> m_Hook;
};

template <typename Function> void Scheduler::forEach(Function Visit) {
  for (const auto &[Place, Each] : m_Waiting)
    Visit(Each);
  for (const auto &[Place, Each] : m_Admitted)
    Visit(Each);
}

} // namespace figlift::standin
