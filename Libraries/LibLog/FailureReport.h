//===- FailureReport.h - Last line of a process that fails ------*- C++ -*-===//
//
// Writes one line when the process ends by itself: by an uncaught
// exception or by a fatal signal such as a segmentation fault. Without it, the
// log of such a process looks like that of one that was killed from outside.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

namespace figlift::log {

/// From now on the line "process-failed" is written to \p Handle, directly:
/// lines that wait in a buffer are lost. Called at the start of main(), on the
/// main thread. \p ProcessId is the one of the other lines.
void reportFailures(std::string_view ProcessId, int Handle);

/// Lets fatal signals of the current thread be handled although its own stack
/// is exhausted. reportFailures() does the same for the main thread. Lives as
/// long as the thread.
class SignalStack {
public:
  SignalStack();
  SignalStack(const SignalStack &) = delete;
  SignalStack &operator=(const SignalStack &) = delete;
  ~SignalStack();

private:
  static constexpr size_t Bytes = 64 << 10;
  std::unique_ptr<char[]> m_Memory = std::make_unique<char[]>(Bytes);
};

} // namespace figlift::log
