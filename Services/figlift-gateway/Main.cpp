//===- Main.cpp - figlift-gateway -----------------------------------------===//
//
// Reads the settings, sets up the log and runs the gateway.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "LibLog/Log.h"
#include "LibSettings/CommandLine.h"

#include <csignal>
#include <string_view>

using namespace figlift;

namespace {

constexpr std::string_view Program = "figlift-gateway";

/// The name behind --settings; the command line was checked before.
std::string settingsFile(int Count, const char *const *Arguments) {
  for (int At = 1; At < Count; ++At) {
    const std::string_view Each = Arguments[At];
    if (Each == "--settings" && At + 1 < Count)
      return Arguments[At + 1];
    if (Each.starts_with("--settings="))
      return std::string(Each.substr(Each.find('=') + 1));
  }
  return {};
}

int serve(const settings::GatewaySettings &Given, const std::string &File) {
  // A write to a connection that its peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  gateway::OutputWriter Output;
  log::Options Log;
  Log.Threshold = Given.Log.Level;
  Log.ProcessId = Given.Process.Id;
  Log.Sink = [&Output](std::string_view Line) { Output.line(Line); };
  log::configure(Log);
  gateway::Gateway Process(Given, Output, File);
  if (const auto Started = Process.start(); !Started)
    return settings::reportFailure(Program, Started.error());
  Output.flush();
  Process.run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  return settings::runProgram<settings::GatewaySettings>(
      Program, settings::readGatewayCommandLine(Count, Arguments),
      [&](const settings::GatewaySettings &Given) {
        return serve(Given, settingsFile(Count, Arguments));
      });
}
