//===- Main.cpp - figlift-agent -------------------------------------------===//
//
// The process that runs beside each target: reads the settings, starts the
// agent and shuts it down on SIGTERM or SIGINT.
//
//===----------------------------------------------------------------------===//

#include "AdminServer.h"
#include "Agent.h"

#include "LibLog/FailureReport.h"
#include "LibLog/Log.h"
#include "LibMetrics/ProcessMetrics.h"
#include "LibSettings/CommandLine.h"

#include <pplx/threadpool.h>

#include <csignal>
#include <cstdlib>
#include <thread>
#include <unistd.h>

using namespace figlift;

static constexpr char ProgramName[] = "figlift-agent";

static sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

static timeline::TimelineOptions
timelineOptions(const settings::AgentSettings &Settings) {
  timeline::TimelineOptions Options;
  Options.ProcessId = Settings.Process.Id;
  Options.ProcessKind = "agent";
  Options.Zone = Settings.Process.Zone;
  Options.Capacity = Settings.TimelineEvents;
  return Options;
}

static int run(const settings::AgentSettings &Settings) {
  log::Options Log;
  Log.OutputFormat = Settings.Log.Format;
  Log.Threshold = Settings.Log.Level;
  Log.ProcessId = Settings.Process.Id;
  log::configure(Log);
  log::reportFailures(Settings.Process.Id, STDERR_FILENO);
  crossplat::threadpool::initialize_with_threads(Settings.Threads.Http);

  agent::EventLoop Loop;
  timeline::Timeline Events(timelineOptions(Settings));
  metrics::Registry Metrics;
  metrics::registerProcessMetrics(Metrics);
  const agent::Context Shared{Settings, Loop, Events, Metrics};

  auto Agent = agent::Agent::create(Shared);
  if (!Agent)
    return settings::reportFailure(ProgramName, Agent.error());
  metrics::registerControlBytes(Metrics,
                                [&] { return Agent.value()->controlBytes(); });
  auto Admin = agent::createAdminServer(Shared, Agent.value()->snapshots());
  if (!Admin)
    return settings::reportFailure(ProgramName, Admin.error());
  Agent.value()->start();
  std::thread Signals([&] {
    const sigset_t Set = stopSignals();
    int Received = 0;
    sigwait(&Set, &Received);
    Loop.post([&] { Agent.value()->stop(); });
  });
  log::logEvent(log::Level::Info, "ready",
                {{"peer", Settings.Listen.Peer.toString()},
                 {"target", Settings.Target.Address.toString()}});
  Loop.run();
  Signals.join();
  Admin.value()->stop();
  Agent.value()->close();
  log::logEvent(log::Level::Info, "stopped");
  // Exits without running destructors: a late answer of the target or the
  // platform, on a thread of the HTTP pool, would access its destroyed receiver
  // and crash the process after an orderly shutdown.
  std::quick_exit(EXIT_SUCCESS);
}

int main(int ArgumentCount, char **Arguments) {
  // Blocked before any thread is created, so that all threads inherit the mask
  // and only sigwait() receives the signals.
  const sigset_t Set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return settings::runProgram<settings::AgentSettings>(
      ProgramName, settings::readAgentCommandLine(ArgumentCount, Arguments),
      run);
}
