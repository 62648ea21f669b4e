//===- ChildProcess.h - Child processes of tests ----------------*- C++ -*-===//
//
// Starts a program, waits for its ready line and sends signals to its process
// id. The child is killed when the object is destroyed.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace figlift::test {

class ChildProcess {
public:
  ChildProcess() = default;
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  /// Kills the child if it still runs.
  ~ChildProcess();

  /// Starts \p Program (a path below the build folder) with standard output
  /// and error going to \p LogFile.
  static ChildProcess start(const std::string &Program,
                            std::vector<std::string> Arguments,
                            const std::string &LogFile);
  /// The same with a limit on file descriptors, for the child only.
  static ChildProcess startWithDescriptors(size_t Limit,
                                           const std::string &Program,
                                           std::vector<std::string> Arguments,
                                           const std::string &LogFile);

  /// Waits until the log contains \p Text; false after \p Limit or if the child
  /// exits first.
  bool waitForOutput(const std::string &Text, std::chrono::milliseconds Limit);
  std::string output() const;

  void kill() { signal(9); }
  void terminate() { signal(15); }
  /// Sends SIGSTOP.
  void pause();
  /// Sends SIGCONT.
  void resume();

  bool running();
  /// Exit code, or the negated signal that ended the child; empty after \p
  /// Limit.
  std::optional<int> waitForExit(std::chrono::milliseconds Limit);
  pid_t pid() const { return m_Pid; }
  /// Highest memory of the child so far, in bytes; 0 if it has ended.
  size_t highestMemory() const;

private:
  /// \p Command: path of the program and its arguments.
  static ChildProcess spawn(std::vector<std::string> Command,
                            const std::string &LogFile);
  void signal(int Number);

  pid_t m_Pid = -1;
  std::string m_LogFile;
  std::optional<int> m_ExitCode;
};

} // namespace figlift::test
