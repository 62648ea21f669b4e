//===- Main.cpp - figlift-entry -------------------------------------------===//
//
// The process that serves callers and operators: reads the settings, starts the
// entry and shuts it down on SIGTERM or SIGINT.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Entry.h"

#include "LibLog/FailureReport.h"
#include "LibLog/Log.h"
#include "LibSettings/CommandLine.h"

#include <pplx/threadpool.h>

#include <csignal>
#include <cstdlib>
#include <unistd.h>

using namespace figlift;

namespace {

constexpr const char *ProgramName = "figlift-entry";

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

int run(const settings::EntrySettings &Settings) {
  log::Options Log;
  Log.OutputFormat = Settings.Log.Format;
  Log.Threshold = Settings.Log.Level;
  Log.ProcessId = Settings.Process.Id;
  log::configure(Log);
  log::reportFailures(Settings.Process.Id, STDERR_FILENO);
  crossplat::threadpool::initialize_with_threads(Settings.Threads.Http);

  auto EntryProcess = entry::Entry::create(Settings);
  if (!EntryProcess)
    return settings::reportFailure(ProgramName, EntryProcess.error());
  log::logEvent(log::Level::Info, "ready",
                {{"callers", Settings.Listen.Callers.toString()},
                 {"peer", Settings.Listen.Peer.toString()}});
  const sigset_t Signals = stopSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  const bool Completed = EntryProcess.value()->shutDown();
  // Skips destructors: a late reply from the platform or an agent, handled on
  // a library's thread pool, would use a destroyed receiver and crash an
  // otherwise clean shutdown.
  std::quick_exit(Completed ? EXIT_SUCCESS : EXIT_FAILURE);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  // Blocked before any thread starts, so that only main receives them.
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return settings::runProgram<settings::EntrySettings>(
      ProgramName, settings::readEntryCommandLine(ArgumentCount, Arguments),
      run);
}
