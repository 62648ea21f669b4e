//===- ScopedSignalBlock.h - Blocks signals in a scope ----------*- C++ -*-===//
//
// A signal is delivered to any thread that does not block it, so two threads
// may handle two successive signals in either order. Threads created within the
// scope inherit the blocked mask. All signals then reach the one thread that
// waits for them, which receives pending signals in the order of their numbers:
// SIGHUP before SIGTERM.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <csignal>

namespace figlift {

/// Blocks all signals in the calling thread until destroyed.
class ScopedSignalBlock {
public:
  ScopedSignalBlock() {
    sigset_t All;
    sigfillset(&All);
    pthread_sigmask(SIG_SETMASK, &All, &m_PreviousMask);
  }
  ScopedSignalBlock(const ScopedSignalBlock &) = delete;
  ScopedSignalBlock &operator=(const ScopedSignalBlock &) = delete;
  ~ScopedSignalBlock() {
    pthread_sigmask(SIG_SETMASK, &m_PreviousMask, nullptr);
  }

private:
  sigset_t m_PreviousMask{};
};

} // namespace figlift
