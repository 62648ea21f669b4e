//===- CommandLine.h - Command line shared by the services ------*- C++ -*-===//
//
// Parses --settings FILE, --check-config, --print-config, --version and --help.
// Returns either the settings to run with or a request to exit.
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

/// The program should print \p Output and exit with \p Status.
struct ExitRequest {
  std::string Output;
  int Status = 0;
};

template <typename Settings>
using Startup = std::variant<Settings, ExitRequest>;

/// These fail with SettingsInvalid; see reportFailure().
Result<Startup<EntrySettings>>
readEntryCommandLine(int ArgumentCount, const char *const *Arguments);
Result<Startup<AgentSettings>>
readAgentCommandLine(int ArgumentCount, const char *const *Arguments);
Result<Startup<GatewaySettings>>
readGatewayCommandLine(int ArgumentCount, const char *const *Arguments);

/// Exit status for invalid settings or command lines.
inline constexpr int SettingsExitStatus = 2;

/// Prints the error on one line to standard error and returns the exit status.
int reportFailure(std::string_view Program, const Error &Reason);

/// Last call of each program's main(): runs \p Body with the settings, or
/// prints what the command line requested. Returns the exit status.
template <typename Settings, typename Run>
int runProgram(std::string_view Program, Result<Startup<Settings>> Parsed,
               Run Body) {
  if (!Parsed)
    return reportFailure(Program, Parsed.error());
  if (const auto *Exit = std::get_if<ExitRequest>(&Parsed.value())) {
    std::fputs(Exit->Output.c_str(), stdout);
    return Exit->Status;
  }
  return Body(std::get<Settings>(Parsed.value()));
}

/// Version of this build, such as "0.1.0".
std::string_view version();

} // namespace figlift::settings
