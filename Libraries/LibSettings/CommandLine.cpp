//===- CommandLine.cpp - Command line shared by entry and agent -----------===//
//
// Exceptions of cxxopts end here.
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
} catch (const std::ios_base::failure &Thrown) {
  // Reading a directory throws, although exceptions are off for the stream.
  return invalid("cannot read \"" + Name + "\": " + Thrown.what(),
                 "--settings");
}

cxxopts::Options describeOptions(const std::string &Program,
                                 const std::string &Purpose) {
  cxxopts::Options Described(Program, Purpose);
  Described.add_options()("settings", "Settings file, JSON with comments",
                          cxxopts::value<std::string>(), "FILE")(
      "check-config", "Check the settings file and exit")(
      "print-config", "Print the settings in force, with defaults, and exit")(
      "version", "Print the version and exit")("help", "Print this and exit");
  return Described;
}

template <typename Settings>
Result<Startup<Settings>>
readCommandLine(const std::string &Program, const std::string &Purpose,
                Result<Settings> (*Parse)(std::string_view), int ArgumentCount,
                const char *const *Arguments) try {
  cxxopts::Options Described = describeOptions(Program, Purpose);
  cxxopts::ParseResult Given = Described.parse(ArgumentCount, Arguments);
  if (Given.count("help"))
    return ExitRequest{Described.help()};
  if (Given.count("version"))
    return ExitRequest{Program + " " + std::string(version()) + "\n"};
  if (!Given.unmatched().empty())
    return invalid("found \"" + Given.unmatched().front() +
                   "\"; allowed are the options that --help lists");
  if (!Given.count("settings"))
    return invalid("found nothing; allowed is the name of a file",
                   "--settings");
  FIGLIFT_TRY(Text, readFile(Given["settings"].as<std::string>()));
  FIGLIFT_TRY(InForce, Parse(Text));
  if (Given.count("print-config"))
    return ExitRequest{printSettings(InForce)};
  if (Given.count("check-config"))
    return ExitRequest{"settings are valid\n"};
  return InForce;
} catch (const cxxopts::exceptions::exception &Thrown) {
  return invalid(Thrown.what());
}

} // namespace

Result<Startup<EntrySettings>>
readEntryCommandLine(int ArgumentCount, const char *const *Arguments) {
  return readCommandLine("figlift-entry",
                         "Takes callers' requests and operators' records.",
                         parseEntrySettings, ArgumentCount, Arguments);
}

Result<Startup<AgentSettings>>
readAgentCommandLine(int ArgumentCount, const char *const *Arguments) {
  return readCommandLine("figlift-agent",
                         "The only writer to the target beside it.",
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
