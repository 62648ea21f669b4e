//===- SignalsBlocked.h - Threads that take no signals ----------*- C++ -*-===//
//
// A signal goes to any thread that does not block it. Of two signals that are
// sent one after the other, two threads take one each, in either order. Threads
// that are made while this stands inherit the blocked signals, so that all of
// them go to the one thread that waits for them, which takes those that are
// there together by their numbers: SIGHUP before SIGTERM.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <csignal>

namespace figlift {

class SignalsBlocked {
public:
  SignalsBlocked() {
    sigset_t All;
    sigfillset(&All);
    pthread_sigmask(SIG_SETMASK, &All, &m_Before);
  }
  SignalsBlocked(const SignalsBlocked &) = delete;
  SignalsBlocked &operator=(const SignalsBlocked &) = delete;
  ~SignalsBlocked() { pthread_sigmask(SIG_SETMASK, &m_Before, nullptr); }

private:
  /// What the calling thread blocked before.
  sigset_t m_Before{};
};

} // namespace figlift
