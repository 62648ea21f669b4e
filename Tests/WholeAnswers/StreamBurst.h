//===- StreamBurst.h - Concurrent streams -----------------------*- C++ -*-===//
//
// Starts many streams with different prompts and collects their responses, so
// that a test can inject a fault while all of them are running.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace figlift::test {

class StreamBurst {
public:
  enum class KeyMode { None, Fresh };

  /// Distributes the streams over \p Entries in turn.
  StreamBurst(Fleet &TargetFleet, unsigned Count, unsigned Tokens,
              const std::vector<std::string> &Entries, KeyMode Mode);
  ~StreamBurst() { join(); }

  /// Waits until every caller has received the first part of its response.
  bool waitUntilAllStarted(std::chrono::milliseconds Limit);
  /// Waits until all requests have ended and sends them again with the same
  /// idempotency keys through \p Entry.
  void repeatRequests(const std::string &Entry);
  /// Waits until all requests have ended. Returns a line for each response that
  /// is incomplete or wrong.
  std::string problems();

private:
  void start(const std::vector<std::string> &Entries);
  void join();

  Fleet &m_Fleet;
  const unsigned m_Tokens;
  std::vector<std::string> m_Prompts;
  std::vector<std::string> m_Keys;
  std::vector<Answer> m_Answers;
  std::atomic<unsigned> m_Started{0};
  std::vector<std::thread> m_Threads;
};

} // namespace figlift::test
