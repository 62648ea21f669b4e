//===- TestFailureReport.cpp - Last line of a process that fails ----------===//
//
// Each test lets a child process fail and reads what it wrote last.
//
//===----------------------------------------------------------------------===//

#include "LibLog/FailureReport.h"
#include "LibLog/HandledMessage.h"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace figlift::log;
using Json = nlohmann::json;

namespace {

struct EndedChild {
  std::string Output;
  int Status = 0;
};

void silenceErrors() {
  // std::terminate() and the sanitizers write to standard error.
  close(STDERR_FILENO);
  const rlimit NoCoreFile{0, 0};
  setrlimit(RLIMIT_CORE, &NoCoreFile);
}

EndedChild runChild(const std::function<void()> &Body) {
  std::array<int, 2> Pipe{};
  CHECK_EQUAL(0, pipe(Pipe.data()));
  const pid_t Child = fork();
  if (Child == 0) {
    silenceErrors();
    close(Pipe[0]);
    reportFailures("gateway-1", Pipe[1]);
    [&]() noexcept { Body(); }();
    _exit(0);
  }
  close(Pipe[1]);
  EndedChild Ended;
  std::array<char, 4096> Buffer;
  ssize_t Count = 0;
  while ((Count = read(Pipe[0], Buffer.data(), Buffer.size())) > 0)
    Ended.Output.append(Buffer.data(), static_cast<size_t>(Count));
  close(Pipe[0]);
  waitpid(Child, &Ended.Status, 0);
  return Ended;
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Winfinite-recursion"
/// Uses stack until there is none left.
unsigned recurse(unsigned Depth) {
  std::array<char, 1024> Frame{};
  // Keeps the compiler from leaving out the frame.
  char *volatile Used = Frame.data();
  *Used = 1;
  return recurse(Depth + 1) + static_cast<unsigned>(*Used);
}
#pragma GCC diagnostic pop

} // namespace

TEST_GROUP(FailureReport){Json lineOf(const EndedChild &Ended, int Signal){
    CHECK(WIFSIGNALED(Ended.Status));
LONGS_EQUAL(Signal, WTERMSIG(Ended.Status));
Json Line = Json::parse(Ended.Output, nullptr, false);
CHECK(Line.is_object());
CHECK(Line["event"] == "process-failed");
CHECK(Line["process"] == "gateway-1");
return Line;
}
}
;

// Failure: an exception that nobody catches ends the process, and its log looks
// as if it had been killed.
TEST(FailureReport, UncaughtExceptionIsReported) {
  const Json Line =
      lineOf(runChild([] {
               const HandledMessage Scope("page", "the \"store\"");
               throw std::runtime_error("no \"part\"\n");
             }),
             SIGABRT);
  CHECK(Line["how"] == "exception");
  CHECK(Line["reason"] == "no ?part??");
  CHECK(Line["message"] == "page from the ?store?");
}

// Failure: an exhausted stack ends the process without a line.
TEST(FailureReport, ExhaustedStackIsReported) {
  const Json Line = lineOf(runChild([] {
                             const HandledMessage Outer("page", "the store");
                             const HandledMessage Inner("entry", "s-1");
                             recurse(0);
                           }),
                           SIGSEGV);
  CHECK(Line["how"] == "signal");
  CHECK(Line["reason"] == "SEGV");
  CHECK(Line["message"] == "entry from s-1");
}

// Failure: the report names a message whose handling has ended.
TEST(FailureReport, EndedScopeIsNotReported) {
  const Json Line = lineOf(runChild([] {
                             { const HandledMessage Scope("entry", "s-1"); }
                             raise(SIGBUS);
                           }),
                           SIGBUS);
  CHECK(Line["message"] == "");
}

// Failure: an exception is caught far from the message that caused it, and the
// log names another one.
TEST(FailureReport, MessageThatAnExceptionLeftIsKnown) {
  const auto Fail = [] {
    const HandledMessage Outer("page", "the store");
    const HandledMessage Inner("entry", "s-1");
    throw std::runtime_error("odd");
  };
  CHECK_THROWS(std::runtime_error, Fail());
  CHECK(HandledMessage::failed() == "entry from s-1");
  { const HandledMessage Next("entry", "s-2"); }
  CHECK(HandledMessage::failed().empty());
}

TEST(FailureReport, LongSourcesAreCut) {
  const HandledMessage Scope("entry", std::string(1000, 'x'));
  CHECK(HandledMessage::current().starts_with("entry from xxx"));
  CHECK(HandledMessage::current().size() < 200);
}

TEST(FailureReport, ProcessThatEndsInOrderReportsNothing) {
  const EndedChild Ended = runChild([] {});
  CHECK(Ended.Output.empty());
  CHECK(WIFEXITED(Ended.Status));
}
