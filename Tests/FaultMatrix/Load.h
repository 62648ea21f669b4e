//===- Load.h - A light load while something breaks -------------*- C++ -*-===//
//
// A few callers that stream completions and make keyed calls through all
// entries until they are told to stop, go to another entry when theirs does not
// answer (as behind the platform's balancer), and judge every answer: whole, a
// true refusal, or unknown.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace figlift::test {

/// How one call ended.
struct Sample {
  std::chrono::steady_clock::time_point Begin;
  std::chrono::steady_clock::time_point End;
  bool Whole = false;
  /// A slot hold; otherwise a completion.
  bool Keyed = false;
};

class Load {
public:
  /// \p Callers threads of each kind, or of completions only.
  Load(Fleet &On, unsigned Callers, bool WithHolds = true);
  ~Load() { stop(); }
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  void stop();
  size_t whole() const { return m_Whole; }
  size_t total() const;
  std::vector<Sample> samples() const;
  /// First broken promise: a wrong text, a key that ran more than once, a
  /// refusal "not run" of a key that ran. Ask after stop().
  std::string violation();

private:
  struct KeyedCall {
    std::string Key;
    bool SaysNotRun = false;
    bool Answered = false;
  };

  /// Both give whether the entry was reached.
  bool complete(const std::string &Entry, unsigned Number);
  bool hold(const std::string &Entry);
  void note(Sample What);
  void blame(const std::string &What);

  Fleet &m_Fleet;
  std::atomic<bool> m_Stop{false};
  /// With m_Lock: m_Stop has been set.
  std::condition_variable m_Stopped;
  std::atomic<size_t> m_Whole{0};
  mutable std::mutex m_Lock;
  std::vector<Sample> m_Samples;
  std::vector<KeyedCall> m_Keyed;
  std::string m_Violation;
  std::vector<std::thread> m_Threads;
};

} // namespace figlift::test
