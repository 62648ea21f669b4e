//===- Main.cpp - figlift-agent -------------------------------------------===//
//
// The process beside each target: reads its settings, starts the agent and
// ends it on SIGTERM.
//
//===----------------------------------------------------------------------===//

#include "AdminServer.h"
#include "Agent.h"

#include "LibLog/Log.h"
#include "LibMetrics/ProcessMetrics.h"
#include "LibSettings/CommandLine.h"

#include <pplx/threadpool.h>

#include <csignal>
#include <cstdlib>
#include <thread>

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
  crossplat::threadpool::initialize_with_threads(Settings.Threads.Http);

  agent::Loop Decisions;
  timeline::Timeline Events(timelineOptions(Settings));
  metrics::Registry Metrics;
  metrics::registerProcessMetrics(Metrics);
  const agent::Context Shared{Settings, Decisions, Events, Metrics};

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
    int Which = 0;
    sigwait(&Set, &Which);
    Decisions.post([&] { Agent.value()->stop(); });
  });
  log::logEvent(log::Level::Info, "ready",
                {{"peer", Settings.Listen.Peer.toString()},
                 {"target", Settings.Target.Address.toString()}});
  Decisions.run();
  Signals.join();
  Admin.value()->stop();
  Agent.value()->close();
  log::logEvent(log::Level::Info, "stopped");
  // Without destructors: a late answer of the target or the platform, on a
  // thread of the HTTP pool, would find its receiver gone and crash a stop
  // that was in good order.
  std::quick_exit(EXIT_SUCCESS);
}

int main(int ArgumentCount, char **Arguments) {
  // Blocked before any thread is made, so that only the waiting one sees them.
  const sigset_t Set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return settings::runProgram<settings::AgentSettings>(
      ProgramName, settings::readAgentCommandLine(ArgumentCount, Arguments),
      run);
}
