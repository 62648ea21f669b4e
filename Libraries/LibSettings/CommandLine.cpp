//===- CommandLine.cpp - Command line shared by the services --------------===//
//
// Converts exceptions of cxxopts to errors.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/CommandLine.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace figlift::settings {

namespace {

auto invalid(std::string Message, std::string Field = {}) {
  return failure(ResultCode::SettingsInvalid, std::move(Message),
                 std::move(Field));
}

Result<std::string> readFile(const std::string &Name) try {
  std::ifstream File(Name, std::ios::binary);
  if (File)
    return std::string{std::istreambuf_iterator<char>(File), {}};
  return invalid("cannot read the file \"" + Name + "\"", "--settings");
} catch (const std::ios_base::failure &Exception) {
  // Reading a directory throws although the stream's exceptions are disabled.
  return invalid("cannot read \"" + Name + "\": " + Exception.what(),
                 "--settings");
}

cxxopts::Options describeOptions(const std::string &Program,
                                 const std::string &Purpose) {
  cxxopts::Options Options(Program, Purpose);
  Options.add_options()("settings", "Settings file, JSON with comments",
                        cxxopts::value<std::string>(), "FILE")(
      "check-config", "Check the settings file and exit")(
      "print-config",
      "Print the active settings, including defaults, and exit")(
      "version", "Print the version and exit")("help",
                                               "Print this help and exit");
  return Options;
}

template <typename Settings>
Result<Startup<Settings>>
readCommandLine(const std::string &Program, const std::string &Purpose,
                Result<Settings> (*Parse)(std::string_view), int ArgumentCount,
                const char *const *Arguments) try {
  cxxopts::Options Options = describeOptions(Program, Purpose);
  cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
  if (Parsed.count("help"))
    return ExitRequest{Options.help()};
  if (Parsed.count("version"))
    return ExitRequest{Program + " " + std::string(version()) + "\n"};
  if (!Parsed.unmatched().empty())
    return invalid("found \"" + Parsed.unmatched().front() +
                   "\"; expected one of the options listed by --help");
  if (!Parsed.count("settings"))
    return invalid("found nothing; expected the name of a file", "--settings");
  FIGLIFT_TRY(Text, readFile(Parsed["settings"].as<std::string>()));
  FIGLIFT_TRY(Active, Parse(Text));
  if (Parsed.count("print-config"))
    return ExitRequest{printSettings(Active)};
  if (Parsed.count("check-config"))
    return ExitRequest{"settings are valid\n"};
  return Active;
} catch (const cxxopts::exceptions::exception &Exception) {
  return invalid(Exception.what());
}

} // namespace

Result<Startup<EntrySettings>>
readEntryCommandLine(int ArgumentCount, const char *const *Arguments) {
  return readCommandLine("figlift-entry",
                         "Accepts callers' requests and operators' records.",
                         parseEntrySettings, ArgumentCount, Arguments);
}

Result<Startup<AgentSettings>>
readAgentCommandLine(int ArgumentCount, const char *const *Arguments) {
  return readCommandLine("figlift-agent",
                         "Controls one target as its only writer.",
                         parseAgentSettings, ArgumentCount, Arguments);
}

Result<Startup<GatewaySettings>>
readGatewayCommandLine(int ArgumentCount, const char *const *Arguments) {
  return readCommandLine(
      "figlift-gateway",
      "Forwards callers' requests to the platform's servers.",
      parseGatewaySettings, ArgumentCount, Arguments);
}

int reportFailure(std::string_view Program, const Error &Reason) {
  std::cerr << Program << ": ";
  if (!Reason.Field.empty())
    std::cerr << Reason.Field << ": ";
  std::cerr << Reason.Message << " (" << static_cast<int>(Reason.Code) << " "
            << resultCodeInfo(Reason.Code).Name << ")\n";
  return Reason.Code == ResultCode::SettingsInvalid ? SettingsExitStatus : 1;
}

std::string_view version() { return FIGLIFT_VERSION; }

} // namespace figlift::settings
