//===- Main.cpp - Entry point of figlift-gateway --------------------------===//
//
// Reads the settings, configures the log and runs the gateway.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "LibLog/FailureReport.h"
#include "LibLog/Log.h"
#include "LibSettings/CommandLine.h"

#include <csignal>
#include <malloc.h>
#include <string_view>
#include <unistd.h>

using namespace figlift;

namespace {

constexpr std::string_view Program = "figlift-gateway";

/// Returns the argument of --settings. The command line has been validated
/// before.
std::string settingsFile(int Count, const char *const *Arguments) {
  for (int I = 1; I < Count; ++I) {
    const std::string_view Argument = Arguments[I];
    if (Argument == "--settings" && I + 1 < Count)
      return Arguments[I + 1];
    if (Argument.starts_with("--settings="))
      return std::string(Argument.substr(Argument.find('=') + 1));
  }
  return {};
}

/// Makes the allocator return every large buffer to the system when it is
/// freed. By default it keeps those up to the size of the largest one so far.
void returnLargeBuffers() {
  constexpr int LargeBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, LargeBytes);
}

/// \p How: SIG_BLOCK or SIG_UNBLOCK.
void maskHangup(int How) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(How, &Signals, nullptr);
}

int serve(const settings::GatewaySettings &Settings, const std::string &File) {
  // A write to a connection that the peer has closed must not kill the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  log::reportFailures(Settings.Process.Id, STDOUT_FILENO);
  gateway::OutputWriter Output;
  log::Options Log;
  Log.Threshold = Settings.Log.Level;
  Log.ProcessId = Settings.Process.Id;
  Log.Sink = [&Output](std::string_view Line) { Output.line(Line); };
  log::configure(Log);
  gateway::Gateway Process(Settings, Output, File);
  maskHangup(SIG_UNBLOCK);
  if (const auto Started = Process.start(); !Started)
    return settings::reportFailure(Program, Started.error());
  Output.flush();
  Process.run();
  // The handler ends before the process does.
  maskHangup(SIG_BLOCK);
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  // Without a handler SIGHUP ends the process. It stays pending until there is
  // one, so that settings that change meanwhile are read again.
  maskHangup(SIG_BLOCK);
  returnLargeBuffers();
  return settings::runProgram<settings::GatewaySettings>(
      Program, settings::readGatewayCommandLine(Count, Arguments),
      [&](const settings::GatewaySettings &Settings) {
        return serve(Settings, settingsFile(Count, Arguments));
      });
}
