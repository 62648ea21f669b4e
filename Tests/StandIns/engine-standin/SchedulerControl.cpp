//===- SchedulerControl.cpp - What callers ask of the scheduler -----------===//
//
// Submission, cancellation, reports and the movement of KV cache.
//
//===----------------------------------------------------------------------===//

#include "Scheduler.h"

#include <xxhash.h>

namespace figlift::standin {

namespace {

constexpr std::chrono::seconds ImportLifetime{30};
constexpr const char *HandlePrefix = "kv-";

} // namespace

std::optional<std::string>
Scheduler::submit(Completion Asked, const web::http::http_request &Request) {
  const std::lock_guard Lock(m_Mutex);
  if (Asked.PromptTokens + Asked.MaximumTokens > m_Options.KvTokens)
    return "larger than the KV memory";
  bool Duplicate = false;
  forEach([&](const SequencePointer &Each) {
    Duplicate |= Each->Asked.RequestId == Asked.RequestId;
  });
  if (Duplicate)
    return "request id is in use";
  const auto New = std::make_shared<Sequence>();
  New->Serial = ++m_LastSerial;
  New->Hashes = hashBlocks(Asked.Prompt, Asked.PromptTokens);
  New->NextToken = Asked.FirstToken;
  New->LastWrite = std::chrono::steady_clock::now();
  New->Entry = std::make_shared<Record>(
      Record{Asked.RequestId, Asked.FirstToken, 0, Asked.Priority, "waiting"});
  New->Asked = std::move(Asked);
  m_Book.push_back(New->Entry);
  m_Waiting.emplace(Order{New->Asked.Priority, New->Serial}, New);
  New->Stream.start(Request, [this, Serial = New->Serial] { endGone(Serial); });
  report();
  m_Work.notify_one();
  return std::nullopt;
}

void Scheduler::endGone(uint64_t Serial) {
  const std::lock_guard Lock(m_Mutex);
  SequencePointer Found;
  forEach([&](const SequencePointer &Each) {
    if (Each->Serial == Serial)
      Found = Each;
  });
  if (Found)
    end(*Found, "disconnected");
}

bool Scheduler::cancel(const std::string &RequestId) {
  const std::lock_guard Lock(m_Mutex);
  SequencePointer Found;
  forEach([&](const SequencePointer &Each) {
    if (Each->Asked.RequestId == RequestId)
      Found = Each;
  });
  if (!Found)
    return false;
  end(*Found, "cancelled");
  Found->Stream.write(
      "data: {\"finish_reason\":\"cancelled\",\"total_tokens\":" +
      std::to_string(Found->NextToken) + ",\"cached_prompt_tokens\":" +
      std::to_string(Found->CachedTokens) + "}\n\ndata: [DONE]\n\n");
  Found->Stream.end();
  m_Work.notify_one();
  return true;
}

void Scheduler::cut(const std::string &Model) {
  const std::lock_guard Lock(m_Mutex);
  std::vector<SequencePointer> Found;
  forEach([&](const SequencePointer &Each) {
    const std::string &Name = Each->Asked.Model;
    if (Model.empty() || Name.substr(0, Name.find('@')) == Model)
      Found.push_back(Each);
  });
  for (const SequencePointer &Each : Found) {
    end(*Each, "cut");
    Each->Stream.tear();
  }
}

void Scheduler::forget(const std::string &Role) {
  const std::lock_guard Lock(m_Mutex);
  std::vector<SequencePointer> Found;
  forEach([&](const SequencePointer &Each) { Found.push_back(Each); });
  for (const SequencePointer &Each : Found) {
    end(*Each, "crashed");
    Each->Stream.tear();
  }
  m_Cache.clear();
  m_Imports.clear();
  m_ReservedTokens = 0;
  m_Reports.clear();
  m_Role = Role;
  report();
}

void Scheduler::setRole(const std::string &Role) {
  const std::lock_guard Lock(m_Mutex);
  m_Role = Role;
}

void Scheduler::configure(const Json &Settings) {
  const std::lock_guard Lock(m_Mutex);
  m_Options.LoadLag = durationOr(Settings, "load_lag", m_Options.LoadLag);
  m_Options.CacheEventLag =
      durationOr(Settings, "cache_event_lag", m_Options.CacheEventLag);
  m_Options.CacheEventGap =
      Settings.value("cache_event_gap", m_Options.CacheEventGap);
  m_Options.DecodeStep =
      durationOr(Settings, "decode_step", m_Options.DecodeStep);
  m_Options.PrefillRate = Settings.value("prefill_rate", m_Options.PrefillRate);
}

void Scheduler::afterTokens(uint64_t Tokens, std::function<void()> Hook) {
  const std::lock_guard Lock(m_Mutex);
  m_HookTokens = Tokens;
  m_Hook = std::move(Hook);
}

Json Scheduler::load() {
  const std::lock_guard Lock(m_Mutex);
  report();
  const LoadReport &Old = m_Reports.front();
  // The oldest report still holds at the instant that the lag looks back to.
  return {{"queued_prefill_tokens", Old.QueuedPrefillTokens},
          {"running", Old.Running},
          {"kv_free_tokens", Old.KvFreeTokens},
          {"age_ms", m_Options.LoadLag.count() / 1000}};
}

Json Scheduler::cacheEvents(uint64_t After) {
  const std::lock_guard Lock(m_Mutex);
  return m_Cache.events(After, m_Options.CacheEventLag,
                        m_Options.CacheEventGap);
}

Json Scheduler::book() {
  const std::lock_guard Lock(m_Mutex);
  Json Entries = Json::array();
  for (const auto &Entry : m_Book)
    Entries.push_back({{"request_id", Entry->RequestId},
                       {"first_token", Entry->FirstToken},
                       {"produced", Entry->Produced},
                       {"priority", Entry->Priority},
                       {"outcome", Entry->Outcome}});
  return Entries;
}

std::pair<uint64_t, uint64_t> Scheduler::counts() {
  const std::lock_guard Lock(m_Mutex);
  return {m_Admitted.size(), m_Waiting.size()};
}

std::optional<Scheduler::KvCopy>
Scheduler::exportKv(const std::string &RequestId) {
  const std::lock_guard Lock(m_Mutex);
  for (const auto &[Place, Each] : m_Admitted) {
    if (Each->Asked.RequestId != RequestId || Each->PrefillLeft > 0)
      continue;
    const std::string &Prompt = Each->Asked.Prompt;
    const uint64_t Tokens = Each->Asked.PromptTokens + Each->NextToken;
    const uint64_t Bytes = Tokens * m_Options.KvBytesPerToken;
    const std::chrono::duration<double> Time(static_cast<double>(Bytes) /
                                             m_Options.KvTransferRate);
    // The handle tells all, so that any engine can import it.
    return KvCopy{
        HandlePrefix + std::to_string(XXH64(Prompt.data(), Prompt.size(), 0)) +
            "-" + std::to_string(Tokens),
        Bytes, std::chrono::duration_cast<std::chrono::microseconds>(Time)};
  }
  return std::nullopt;
}

std::optional<Scheduler::KvCopy>
Scheduler::importKv(const std::string &Handle) {
  const std::string Text = Handle.substr(std::string(HandlePrefix).size());
  const uint64_t Key = std::stoull(Text);
  const uint64_t Tokens = std::stoull(Text.substr(Text.find('-') + 1));
  const std::lock_guard Lock(m_Mutex);
  Import &Held = m_Imports[Key];
  m_ReservedTokens -= std::exchange(Held.Tokens, 0);
  if (!makeRoom(Tokens)) {
    m_Imports.erase(Key);
    return std::nullopt;
  }
  m_ReservedTokens += Tokens;
  Held = {Tokens, std::chrono::steady_clock::now() + ImportLifetime};
  const uint64_t Bytes = Tokens * m_Options.KvBytesPerToken;
  const std::chrono::duration<double> Time(static_cast<double>(Bytes) /
                                           m_Options.KvTransferRate);
  return KvCopy{Handle, Bytes,
                std::chrono::duration_cast<std::chrono::microseconds>(Time)};
}

} // namespace figlift::standin
