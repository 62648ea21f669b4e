//===- RevisionWatch.cpp - Sees a revision that falls ---------------------===//
//
// One thread for each source, so that the answers of a source come in order.
//
//===----------------------------------------------------------------------===//

#include "RevisionWatch.h"

#include "Support/WaitUntil.h"

#include <algorithm>
#include <charconv>

namespace figlift::test {

using nlohmann::json;

static std::optional<uint64_t> revisionIn(const json &Status) {
  if (!Status.is_object() || !Status.contains("revision"))
    return std::nullopt;
  return Status["revision"].get<uint64_t>();
}

/// What a caller sees: the header of an answer.
static std::optional<uint64_t> revisionOfAnswer(const std::string &Entry) {
  Answer Got =
      call(Entry, "GET", "/v1/models", {}, {}, std::chrono::seconds(5));
  auto Header = Got.Fields.find("X-Figlift-Revision");
  if (Header == Got.Fields.end())
    return std::nullopt;
  const std::string &Text = Header->second;
  uint64_t Revision = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Revision);
  return Revision;
}

RevisionWatch::RevisionWatch(Fleet &Of, std::vector<std::string> Entries,
                             std::vector<std::string> Targets) {
  for (const std::string &Id : Entries) {
    watch(Id + " to callers",
          [Address = Of.callers(Id)] { return revisionOfAnswer(Address); });
    watch(Id, [&Of, Id] {
      return revisionIn(Of.getJson(Of.callers(Id), "/operator/v1/status"));
    });
  }
  for (const std::string &Id : Targets)
    watch(Id, [&Of, Id] {
      return revisionIn(Of.getJson(Of.admin(Id), "/status"));
    });
}

void RevisionWatch::watch(const std::string &Name, Question Ask) {
  m_Threads.emplace_back([this, Name, Ask = std::move(Ask)] {
    uint64_t Highest = 0;
    while (!m_Stopping) {
      if (const auto Seen = Ask()) {
        ++m_Answers;
        if (*Seen < Highest) {
          std::lock_guard Lock(m_Mutex);
          m_Falls.push_back(Name + ": " + std::to_string(*Seen) + " after " +
                            std::to_string(Highest));
        }
        Highest = std::max(Highest, *Seen);
      }
      waitUntil(std::chrono::milliseconds(20),
                [this] { return m_Stopping.load(); });
    }
  });
}

std::vector<std::string> RevisionWatch::stop() {
  m_Stopping = true;
  for (std::thread &Each : m_Threads)
    Each.join();
  m_Threads.clear();
  return m_Falls;
}

uint64_t entryRevision(const Fleet &Of, const std::string &Entry) {
  return revisionIn(Of.getJson(Of.callers(Entry), "/operator/v1/status"))
      .value_or(0);
}

uint64_t agentRevision(const Fleet &Of, const std::string &Target) {
  return revisionIn(Of.getJson(Of.admin(Target), "/status")).value_or(0);
}

bool everywhere(const Fleet &Of, uint64_t Revision,
                const std::vector<std::string> &Entries,
                const std::vector<std::string> &Targets) {
  for (const std::string &Id : Entries)
    if (entryRevision(Of, Id) < Revision)
      return false;
  for (const std::string &Id : Targets)
    if (agentRevision(Of, Id) < Revision)
      return false;
  return true;
}

} // namespace figlift::test
