//===- WaitUntil.h - Waiting on a condition ---------------------*- C++ -*-===//
//
// Tests poll a condition with a time limit instead of sleeping for a fixed
// time.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <thread>

namespace figlift::test {

inline constexpr std::chrono::milliseconds PollInterval{10};

/// Polls \p Condition until it is true; false if \p Limit passes first.
template <typename Predicate>
bool waitUntil(std::chrono::milliseconds Limit, Predicate Condition) {
  auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  PollInterval);
  }
  return true;
}

} // namespace figlift::test
