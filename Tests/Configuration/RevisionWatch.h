//===- RevisionWatch.h - Sees a revision that falls -------------*- C++ -*-===//
//
// Asks every entry and agent of a fleet without a pause for the revision that
// it serves with, for as long as it lives.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace figlift::test {

class RevisionWatch {
public:
  RevisionWatch(Fleet &Of, std::vector<std::string> Entries,
                std::vector<std::string> Targets);
  ~RevisionWatch() { stop(); }

  /// Ends the questions; a line for each revision that was lower than one
  /// seen before at the same process.
  std::vector<std::string> stop();
  size_t answers() const { return m_Answers; }

private:
  /// Asks one process once; empty when it gave no revision.
  using Question = std::function<std::optional<uint64_t>()>;

  void watch(const std::string &Name, Question Ask);

  std::atomic<bool> m_Stopping{false};
  std::atomic<size_t> m_Answers{0};
  std::mutex m_Mutex;
  std::vector<std::string> m_Falls;
  std::vector<std::thread> m_Threads;
};

/// Revision that an entry's status reports; 0 without one.
uint64_t entryRevision(const Fleet &Of, const std::string &Entry);
/// Revision that an agent's own listener reports; 0 without one.
uint64_t agentRevision(const Fleet &Of, const std::string &Target);
/// Whether all of these processes report \p Revision or a later one.
bool everywhere(const Fleet &Of, uint64_t Revision,
                const std::vector<std::string> &Entries,
                const std::vector<std::string> &Targets);

} // namespace figlift::test
