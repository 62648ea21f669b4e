//===- Main.cpp - figlift-entry -------------------------------------------===//
//
// Where callers and operators reach figlift: reads the settings, starts the
// entry and takes it out of service on SIGTERM.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Entry.h"

#include "LibLog/Log.h"
#include "LibSettings/CommandLine.h"

#include <pplx/threadpool.h>

#include <csignal>
#include <cstdlib>

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
  Log.Form = Settings.Log.Format;
  Log.Threshold = Settings.Log.Level;
  Log.ProcessId = Settings.Process.Id;
  log::configure(Log);
  crossplat::threadpool::initialize_with_threads(Settings.Threads.Http);

  auto Running = entry::Entry::create(Settings);
  if (!Running)
    return settings::reportFailure(ProgramName, Running.error());
  log::logEvent(log::Level::Info, "ready",
                {{"callers", Settings.Listen.Callers.toString()},
                 {"peer", Settings.Listen.Peer.toString()}});
  const sigset_t Signals = stopSignals();
  int Which = 0;
  sigwait(&Signals, &Which);
  const bool Whole = Running.value()->leave();
  // Without destructors: a late answer of the platform or an agent, on a
  // thread of a library's pool, would find its receiver gone and crash a stop
  // that was in good order.
  std::quick_exit(Whole ? EXIT_SUCCESS : EXIT_FAILURE);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  // Blocked before any thread is made, so that only main waits for them.
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return settings::runProgram<settings::EntrySettings>(
      ProgramName, settings::readEntryCommandLine(ArgumentCount, Arguments),
      run);
}
