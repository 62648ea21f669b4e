//===- ChildProcess.cpp - Child processes of tests ------------------------===//
//
// Uses posix_spawn, waitpid and signals.
//
//===----------------------------------------------------------------------===//

#include "Support/ChildProcess.h"

#include "Support/WaitUntil.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ;

using namespace figlift::test;

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept {
  *this = std::move(Other);
}

ChildProcess &ChildProcess::operator=(ChildProcess &&Other) noexcept {
  std::swap(m_Pid, Other.m_Pid);
  std::swap(m_LogFile, Other.m_LogFile);
  std::swap(m_ExitCode, Other.m_ExitCode);
  return *this;
}

ChildProcess::~ChildProcess() {
  if (!running())
    return;
  resume();
  kill();
  waitForExit(std::chrono::seconds(5));
}

namespace {
std::string pathOf(const std::string &Program) {
  return std::string(FIGLIFT_BUILD_DIRECTORY) + "/" + Program;
}
} // namespace

ChildProcess ChildProcess::start(const std::string &Program,
                                 std::vector<std::string> Arguments,
                                 const std::string &LogFile) {
  Arguments.insert(Arguments.begin(), pathOf(Program));
  return spawn(std::move(Arguments), LogFile);
}

ChildProcess
ChildProcess::startWithDescriptors(size_t Limit, const std::string &Program,
                                   std::vector<std::string> Arguments,
                                   const std::string &LogFile) {
  const std::vector<std::string> Shell = {
      "/bin/sh", "-c", "ulimit -n \"$0\" && exec \"$@\"", std::to_string(Limit),
      pathOf(Program)};
  Arguments.insert(Arguments.begin(), Shell.begin(), Shell.end());
  return spawn(std::move(Arguments), LogFile);
}

ChildProcess ChildProcess::spawn(std::vector<std::string> Command,
                                 const std::string &LogFile) {
  std::vector<char *> ArgumentPointers;
  for (std::string &Argument : Command)
    ArgumentPointers.push_back(Argument.data());
  ArgumentPointers.push_back(nullptr);

  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDIN_FILENO, "/dev/null",
                                   O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // The sockets of the test's own process would count for the child.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);

  ChildProcess Child;
  Child.m_LogFile = LogFile;
  if (posix_spawn(&Child.m_Pid, Command.front().c_str(), &Actions, nullptr,
                  ArgumentPointers.data(), environ) != 0)
    Child.m_Pid = -1;
  posix_spawn_file_actions_destroy(&Actions);
  return Child;
}

bool ChildProcess::waitForOutput(const std::string &Text,
                                 std::chrono::milliseconds Limit) {
  return waitUntil(Limit,
                   [&] {
                     return output().find(Text) != std::string::npos ||
                            !running();
                   }) &&
         output().find(Text) != std::string::npos;
}

std::string ChildProcess::output() const {
  std::ifstream File(m_LogFile);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void ChildProcess::pause() { signal(SIGSTOP); }
void ChildProcess::resume() { signal(SIGCONT); }

void ChildProcess::signal(int Number) {
  if (running())
    ::kill(m_Pid, Number);
}

bool ChildProcess::running() {
  return m_Pid > 0 && !m_ExitCode && !waitForExit(std::chrono::seconds(0));
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds Limit) {
  if (m_Pid <= 0 || m_ExitCode)
    return m_ExitCode;
  waitUntil(Limit, [&] {
    int Status = 0;
    if (waitpid(m_Pid, &Status, WNOHANG) == m_Pid)
      m_ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
    return m_ExitCode.has_value();
  });
  return m_ExitCode;
}

size_t ChildProcess::highestMemory() const {
  std::ifstream Status("/proc/" + std::to_string(m_Pid) + "/status");
  constexpr std::string_view Name = "VmHWM:";
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with(Name))
      return std::stoul(Line.substr(Name.size())) << 10;
  return 0;
}
