//===- MixedCallers.h - A running mixed load of callers ---------*- C++ -*-===//
//
// A few threads that call through the entries without a pause, as customers'
// clients would: long and short streams, decisions on long prompts and slot
// holds. Every answer is compared with the one that is due.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figlift::test {

struct CallerMix {
  unsigned Threads = 8;
  unsigned LongTokens = 400;
  unsigned ShortTokens = 6;
  /// Whether every fourth call holds a slot at a plain service.
  bool Holds = true;
  /// So many of the threads do nothing else: the others wait for completions
  /// that are refused, and hold none meanwhile.
  unsigned HoldingThreads = 0;
};

/// What became of all calls so far.
struct CallerTally {
  /// Right answers.
  size_t Whole = 0;
  /// Answers that said "not run"; the call was sent again.
  size_t Refused = 0;
  /// Entries that could not be reached; the call went to another.
  size_t Unreached = 0;
  /// A line for each answer that was wrong, broken or never came.
  std::vector<std::string> Faults;

  std::string text() const;
};

class MixedCallers {
public:
  MixedCallers(Fleet &Under, CallerMix Mix);
  ~MixedCallers();

  /// Waits until \p Count more calls have begun and ended well.
  bool waitForMore(size_t Count, std::chrono::milliseconds Limit);
  /// Lets the running calls end and begins no more. Slot holds that ran not
  /// exactly once are among the faults.
  CallerTally stop();

private:
  struct Wanted {
    std::string Path;
    std::string Body;
    std::string Key;
    /// Text that the answer must have; empty: any answer with status 200.
    std::string Text;
  };

  void work(unsigned Thread);
  Wanted make(unsigned Thread, unsigned Number) const;
  /// Calls until the answer came or a fault is certain.
  void obtain(const Wanted &What, unsigned &NextEntry);
  /// True when the call is over.
  bool judge(const Wanted &What, const std::string &Entry, const Answer &Got);
  std::string pickEntry(unsigned &Next);
  void count(size_t CallerTally::*Which);
  void fault(std::string What);

  Fleet &m_Fleet;
  const CallerMix m_Mix;
  std::vector<std::string> m_Entries;
  std::atomic<bool> m_Stopping{false};
  std::mutex m_Mutex;
  CallerTally m_Tally;
  /// Keys of slot holds that were answered.
  std::vector<std::string> m_Held;
  std::vector<std::thread> m_Threads;
};

} // namespace figlift::test
