//===- FailureReport.cpp - Last line of a process that fails --------------===//
//
// The handlers allocate nothing and take no lock: the failure may have come in
// the middle of either.
//
//===----------------------------------------------------------------------===//

#include "LibLog/FailureReport.h"

#include "LibCore/Clock.h"
#include "LibLog/HandledMessage.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <unistd.h>

namespace figlift::log {

namespace {

constexpr std::array FatalSignals = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
constexpr size_t MaximumIdBytes = 64;
constexpr size_t MaximumReasonBytes = 200;
/// A pipe accepts lines up to this length as a whole.
constexpr size_t MaximumLineBytes = 1024;

std::array<char, MaximumIdBytes> ProcessId;
int OutputHandle = STDOUT_FILENO;
/// A failure ends in a second one: std::terminate() raises SIGABRT.
volatile std::sig_atomic_t HasReported = 0;

/// Bytes that JSON would have to escape are replaced.
template <size_t Size>
std::string_view copyPlain(std::array<char, Size> &To, std::string_view Text) {
  const size_t Count = std::min(Text.size(), Size - 1);
  std::transform(Text.begin(), Text.begin() + Count, To.begin(), printableByte);
  To[Count] = '\0';
  return {To.data(), Count};
}

void writeLine(std::string_view How, std::string_view Reason,
               std::string_view Message) {
  if (HasReported != 0)
    return;
  HasReported = 1;
  const WallTime Now = wallNow();
  const auto Day = std::chrono::floor<std::chrono::days>(Now);
  const std::chrono::year_month_day Date(Day);
  const std::chrono::hh_mm_ss Time(Now - Day);
  std::array<char, MaximumReasonBytes> PlainReason;
  std::array<char, MaximumLineBytes> Line;
  const auto End = fmt::format_to_n(
      Line.data(), Line.size(),
      "{{\"time\":\"{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z\",\"level\":"
      "\"error\",\"process\":\"{}\",\"event\":\"process-failed\",\"how\":\"{}"
      "\",\"reason\":\"{}\",\"message\":\"{}\"}}\n",
      static_cast<int>(Date.year()), static_cast<unsigned>(Date.month()),
      static_cast<unsigned>(Date.day()), Time.hours().count(),
      Time.minutes().count(), Time.seconds().count(), Time.subseconds().count(),
      ProcessId.data(), How, copyPlain(PlainReason, Reason), Message);
  const size_t Size = std::min(End.size, Line.size());
  // A failed write cannot be reported anywhere.
  [[maybe_unused]] const ssize_t Ignored =
      write(OutputHandle, Line.data(), Size);
}

void onSignal(int Signal) {
  // strsignal() may allocate.
  const char *const Name = sigabbrev_np(Signal);
  writeLine("signal", Name ? Name : "", HandledMessage::current());
  // The default action, which ends the process, is in force again.
  raise(Signal);
}

[[noreturn]] void onTerminate() {
  // Scopes may have been left before this was called.
  const std::string_view Failed = HandledMessage::failed();
  const std::string_view Message =
      Failed.empty() ? HandledMessage::current() : Failed;
  if (const std::exception_ptr Thrown = std::current_exception()) {
    try {
      std::rethrow_exception(Thrown);
    } catch (const std::exception &Exception) {
      writeLine("exception", Exception.what(), Message);
    } catch (...) {
      writeLine("exception", "not a std::exception", Message);
    }
  }
  writeLine("exception", "none", Message);
  std::abort();
}

} // namespace

void reportFailures(std::string_view Id, int Handle) {
  copyPlain(ProcessId, Id);
  OutputHandle = Handle;
  static const SignalStack MainThreadStack;
  std::set_terminate(onTerminate);
  struct sigaction Action {};
  Action.sa_handler = onSignal;
  Action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
  for (const int Signal : FatalSignals)
    sigaction(Signal, &Action, nullptr);
}

SignalStack::SignalStack() {
  stack_t Stack{};
  Stack.ss_sp = m_Memory.get();
  Stack.ss_size = Bytes;
  sigaltstack(&Stack, nullptr);
}

SignalStack::~SignalStack() {
  stack_t Stack{};
  Stack.ss_flags = SS_DISABLE;
  sigaltstack(&Stack, nullptr);
}

} // namespace figlift::log
