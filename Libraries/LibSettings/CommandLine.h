//===- CommandLine.h - Command line shared by the services ------*- C++ -*-===//
//
// --settings FILE, --check-config, --print-config, --version and --help. The
// main program gets either settings to run with or the status to exit with.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"
#include "LibSettings/GatewaySettings.h"
#include "LibSettings/Settings.h"

#include <cstdio>
#include <string>
#include <string_view>
#include <variant>

namespace figlift::settings {

/// Everything was done by reading the command line: print and exit.
struct ExitRequest {
  std::string Output;
  int Status = 0;
};

template <typename Settings>
using Startup = std::variant<Settings, ExitRequest>;

/// Fail with SettingsInvalid; see reportFailure().
Result<Startup<EntrySettings>>
readEntryCommandLine(int ArgumentCount, const char *const *Arguments);
Result<Startup<AgentSettings>>
readAgentCommandLine(int ArgumentCount, const char *const *Arguments);
Result<Startup<GatewaySettings>>
readGatewayCommandLine(int ArgumentCount, const char *const *Arguments);

/// Exit status of a program whose settings or command line are wrong.
inline constexpr int SettingsExitStatus = 2;

/// Prints one line for a person on standard error and returns the status to
/// exit with.
int reportFailure(std::string_view Program, const Error &Reason);

/// The end of each program's main(): runs \p Body with the settings, or does
/// what the command line asked for instead. The result is the exit status.
template <typename Settings, typename Run>
int runProgram(std::string_view Program, Result<Startup<Settings>> Read,
               Run Body) {
  if (!Read)
    return reportFailure(Program, Read.error());
  if (const auto *Exit = std::get_if<ExitRequest>(&Read.value())) {
    std::fputs(Exit->Output.c_str(), stdout);
    return Exit->Status;
  }
  return Body(std::get<Settings>(Read.value()));
}

/// Version of this build, "0.1.0".
std::string_view version();

} // namespace figlift::settings
