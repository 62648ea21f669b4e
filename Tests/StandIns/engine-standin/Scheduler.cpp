//===- Scheduler.cpp - Continuous batching of the engine ------------------===//
//
// The step loop: admission by memory and priority, cost of a step, tokens.
//
//===----------------------------------------------------------------------===//

#include "Scheduler.h"

#include <xxhash.h>

#include <algorithm>
#include <thread>

namespace figlift::standin {

namespace {

/// A comment on a silent stream, so that a caller who has gone is noticed.
constexpr std::chrono::milliseconds KeepAliveInterval{500};
/// Delay of the step loop that is made up for in the next step.
constexpr std::chrono::milliseconds CatchUp{20};

struct RoleFactors {
  double PrefillRate = 1;
  double DecodeTime = 1;
};

RoleFactors factorsOf(const std::string &Role) {
  if (Role == "prefill")
    return {1.6, 3.0};
  if (Role == "decode")
    return {1 / 3.0, 1 / 1.6};
  return {};
}

} // namespace

std::string tokenText(const std::string &Prompt, uint64_t Index) {
  char Text[8];
  std::snprintf(Text, sizeof Text, " w%x",
                static_cast<unsigned>(
                    XXH64(Prompt.data(), Prompt.size(), Index) & 0xffff));
  return Text;
}

Scheduler::Scheduler(const EngineOptions &Options)
    : m_Options(Options), m_Role(Options.Role) {
  report();
  std::thread([this] { run(); }).detach();
}

void Scheduler::run() {
  auto LastEnd = std::chrono::steady_clock::now();
  std::unique_lock Lock(m_Mutex);
  for (;;) {
    std::vector<Output> Outputs;
    admit();
    const Step Next = planStep();
    keepAlive(Outputs);
    report();
    if (Next.Prefills.empty() && Next.Decodes.empty() && Outputs.empty()) {
      // What waits without a place in memory is looked at again soon.
      m_Work.wait_for(Lock, KeepAliveInterval);
      LastEnd = std::chrono::steady_clock::now();
      continue;
    }
    Lock.unlock();
    const auto Now = std::chrono::steady_clock::now();
    LastEnd =
        std::max(LastEnd, Now - CatchUp) +
        std::chrono::duration_cast<std::chrono::nanoseconds>(Next.Duration);
    std::this_thread::sleep_until(LastEnd);
    Lock.lock();
    apply(Next, Outputs);
    Lock.unlock();
    for (const Output &Each : Outputs) {
      Each.To->Stream.write(Each.Text);
      if (Each.Last)
        Each.To->Stream.end();
    }
    Lock.lock();
  }
}

void Scheduler::admit() {
  dropExpiredImports();
  while (!m_Waiting.empty() && m_Admitted.size() < m_Options.MaximumSequences) {
    const auto First = m_Waiting.begin();
    if (!admitOne(First->second))
      return;
    m_Admitted.insert(m_Waiting.extract(First));
  }
}

bool Scheduler::admitOne(const SequencePointer &Next) {
  const Completion &Asked = Next->Asked;
  const uint64_t Needed = Asked.PromptTokens + Asked.FirstToken;
  Next->PinnedBlocks = m_Cache.pinPrefix(Next->Hashes);
  const uint64_t Pinned = Next->PinnedBlocks * BlockTokens;
  uint64_t Known = Pinned;
  const uint64_t Key = XXH64(Asked.Prompt.data(), Asked.Prompt.size(), 0);
  const auto Moved = m_Imports.find(Key);
  if (Moved != m_Imports.end()) {
    // Its memory becomes the sequence's own.
    Known = std::max(Known, Moved->second.Tokens);
    m_ReservedTokens -= Moved->second.Tokens;
  }
  const uint64_t Own = Asked.PromptTokens + Asked.MaximumTokens - Pinned;
  if (!makeRoom(Own)) {
    m_Cache.unpin(Next->Hashes, std::exchange(Next->PinnedBlocks, 0));
    if (Moved != m_Imports.end())
      m_ReservedTokens += Moved->second.Tokens;
    return false;
  }
  if (Moved != m_Imports.end())
    m_Imports.erase(Moved);
  m_ReservedTokens += Own;
  Next->ReservedTokens = Own;
  // The last token is computed in any case: it gives the next one.
  Next->CachedTokens = std::min(Known, Needed - 1);
  Next->PrefillLeft = Needed - Next->CachedTokens;
  Next->Admitted = true;
  Next->Entry->Outcome = "running";
  return true;
}

bool Scheduler::makeRoom(uint64_t Tokens) {
  while (usedTokens() + Tokens > m_Options.KvTokens)
    if (!m_Cache.evictOne())
      return false;
  return true;
}

void Scheduler::dropExpiredImports() {
  const auto Now = std::chrono::steady_clock::now();
  std::erase_if(m_Imports, [&](const auto &Entry) {
    if (Entry.second.Expiry > Now)
      return false;
    m_ReservedTokens -= Entry.second.Tokens;
    return true;
  });
}

Scheduler::Step Scheduler::planStep() {
  Step Next;
  const RoleFactors Factors = factorsOf(m_Role);
  uint64_t Budget = m_Options.ChunkTokens;
  for (const auto &[Place, Each] : m_Admitted) {
    if (Each->PrefillLeft == 0) {
      Next.Decodes.push_back(Each);
      continue;
    }
    const uint64_t Tokens = std::min(Budget, Each->PrefillLeft);
    if (Tokens > 0)
      Next.Prefills.emplace_back(Each, Tokens);
    Budget -= Tokens;
  }
  const uint64_t Prefilled = m_Options.ChunkTokens - Budget;
  Next.Duration += std::chrono::duration<double>(
      static_cast<double>(Prefilled) /
      (m_Options.PrefillRate * Factors.PrefillRate));
  if (!Next.Decodes.empty())
    Next.Duration += Factors.DecodeTime *
                     std::chrono::duration<double>(m_Options.DecodeStep +
                                                   m_Options.DecodePerSequence *
                                                       Next.Decodes.size());
  return Next;
}

void Scheduler::apply(const Step &Done, std::vector<Output> &Outputs) {
  for (const auto &[Each, Tokens] : Done.Prefills) {
    if (Each->Ended)
      continue;
    Each->PrefillLeft -= Tokens;
    if (Each->PrefillLeft > 0)
      continue;
    finishPrefill(*Each);
    emitToken(Each, Outputs);
  }
  for (const SequencePointer &Each : Done.Decodes)
    if (!Each->Ended)
      emitToken(Each, Outputs);
}

void Scheduler::finishPrefill(Sequence &Done) {
  for (size_t Index = Done.PinnedBlocks; Index < Done.Hashes.size(); ++Index) {
    m_Cache.store(Done.Hashes[Index]);
    Done.ReservedTokens -= BlockTokens;
    m_ReservedTokens -= BlockTokens;
  }
  Done.PinnedBlocks = Done.Hashes.size();
}

void Scheduler::emitToken(const SequencePointer &To,
                          std::vector<Output> &Outputs) {
  const Completion &Asked = To->Asked;
  const uint64_t Index = To->NextToken;
  Output New{To, {}, false};
  if (Index < Asked.MaximumTokens) {
    New.Text = "data: {\"index\":" + std::to_string(Index) + ",\"text\":\"" +
               tokenText(Asked.Prompt, Index) + "\"}\n\n";
    ++To->NextToken;
    ++To->Entry->Produced;
    To->LastWrite = std::chrono::steady_clock::now();
  }
  if (To->NextToken >= Asked.MaximumTokens) {
    New.Text += "data: {\"finish_reason\":\"length\",\"total_tokens\":" +
                std::to_string(To->NextToken) + ",\"cached_prompt_tokens\":" +
                std::to_string(To->CachedTokens) + "}\n\ndata: [DONE]\n\n";
    New.Last = true;
    end(*To, "finished");
  }
  Outputs.push_back(std::move(New));
  if (m_HookTokens > 0 && --m_HookTokens == 0)
    m_Hook();
}

void Scheduler::keepAlive(std::vector<Output> &Outputs) {
  const auto Now = std::chrono::steady_clock::now();
  const auto Visit = [&](const SequencePointer &Each) {
    if (Now - Each->LastWrite < KeepAliveInterval)
      return;
    Each->LastWrite = Now;
    Outputs.push_back({Each, ": waiting\n\n", false});
  };
  forEach(Visit);
}

void Scheduler::end(Sequence &Ended, const std::string &Outcome) {
  const Order Place{Ended.Asked.Priority, Ended.Serial};
  m_Cache.unpin(Ended.Hashes, std::exchange(Ended.PinnedBlocks, 0));
  m_ReservedTokens -= std::exchange(Ended.ReservedTokens, 0);
  Ended.Ended = true;
  Ended.Entry->Outcome = Outcome;
  m_Admitted.erase(Place);
  m_Waiting.erase(Place);
}

uint64_t Scheduler::usedTokens() const {
  return m_ReservedTokens + m_Cache.tokens();
}

void Scheduler::report() {
  const auto Now = std::chrono::steady_clock::now();
  LoadReport New;
  New.When = Now;
  New.Running = m_Admitted.size();
  for (const auto &[Place, Each] : m_Waiting)
    New.QueuedPrefillTokens +=
        Each->Asked.PromptTokens + Each->Asked.FirstToken;
  for (const auto &[Place, Each] : m_Admitted)
    New.QueuedPrefillTokens += Each->PrefillLeft;
  const uint64_t Used = m_ReservedTokens + m_Cache.pinnedTokens();
  New.KvFreeTokens = m_Options.KvTokens - std::min(m_Options.KvTokens, Used);
  m_Reports.push_back(New);
  while (m_Reports.size() > 1 && m_Reports[1].When <= Now - m_Options.LoadLag)
    m_Reports.pop_front();
}

} // namespace figlift::standin
