//===- StreamBurst.h - Many streams at once ---------------------*- C++ -*-===//
//
// Starts many streams with different prompts through all entries and keeps
// their answers, so that a fault can be made while every one of them runs.
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
  enum class Keys { None, Fresh };

  /// Through all of \p Entries in turn.
  StreamBurst(Fleet &Under, unsigned Count, unsigned Tokens,
              const std::vector<std::string> &Entries, Keys With);
  ~StreamBurst() { join(); }

  /// Waits until every caller has the first part of its answer.
  bool waitUntilAllRun(std::chrono::milliseconds Limit);
  /// After all ends: sends the same requests, with their idempotency keys,
  /// through \p Entry.
  void callAgain(const std::string &Entry);
  /// Waits for all ends. Empty when every caller got the whole right answer,
  /// else a line for each that did not.
  std::string problems();

private:
  void start(const std::vector<std::string> &Entries);
  void join();

  Fleet &m_Fleet;
  const unsigned m_Tokens;
  std::vector<std::string> m_Prompts;
  std::vector<std::string> m_Keys;
  std::vector<Answer> m_Answers;
  std::atomic<unsigned> m_Running{0};
  std::vector<std::thread> m_Threads;
};

} // namespace figlift::test
