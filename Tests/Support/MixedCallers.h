//===- MixedCallers.h - Mixed load of concurrent callers --------*- C++ -*-===//
//
// Threads that continuously send requests through the entries, as clients do:
// long and short streams, long prompts with a single output token, and slot
// holds. Every response is compared with the expected one.
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
  /// Whether every fourth call holds a slot at a service.
  bool Holds = true;
  /// Number of threads that only hold slots. The others hold none while they
  /// retry rejected completions.
  unsigned HoldingThreads = 0;
};

/// Results of all calls so far.
struct CallerTally {
  /// Correct responses.
  size_t Whole = 0;
  /// Responses with "not-run", after which the call was retried.
  size_t Refused = 0;
  /// Failed connections to entries, after which another entry was tried.
  size_t Unreachable = 0;
  /// One line for each response that was wrong, incomplete or missing.
  std::vector<std::string> Faults;

  std::string text() const;
};

class MixedCallers {
public:
  MixedCallers(Fleet &TestedFleet, CallerMix Mix);
  ~MixedCallers();

  /// Waits until \p Count more calls have started and succeeded.
  bool waitForSuccesses(size_t Count, std::chrono::milliseconds Limit);
  /// Starts no more calls and waits for the present ones. Slot holds that were
  /// not executed exactly once are added to the faults.
  CallerTally stop();

private:
  struct ExpectedCall {
    std::string Path;
    std::string Body;
    std::string Key;
    /// Expected text; if empty, any complete response with status 200 is
    /// correct.
    std::string Text;
  };

  void work(unsigned Thread);
  ExpectedCall createCall(unsigned Thread, unsigned Number) const;
  /// Retries the call until a final response or a failure.
  void performCall(const ExpectedCall &Call, unsigned &NextEntry);
  /// True if the call is finished and must not be retried.
  bool checkResponse(const ExpectedCall &Call, const std::string &Entry,
                     const Answer &Response);
  std::string pickEntry(unsigned &NextIndex);
  void count(size_t CallerTally::*Counter);
  void recordFailure(std::string Description);

  Fleet &m_Fleet;
  const CallerMix m_Mix;
  std::vector<std::string> m_Entries;
  std::atomic<bool> m_Stopping{false};
  std::mutex m_Mutex;
  CallerTally m_Tally;
  /// Keys of slot holds that got a final response.
  std::vector<std::string> m_HoldKeys;
  std::vector<std::thread> m_Threads;
};

} // namespace figlift::test
