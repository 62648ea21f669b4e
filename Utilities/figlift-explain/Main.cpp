//===- Main.cpp - figlift-explain -----------------------------------------===//
//
// Explains the outcome of a request and its cause from log files, as text or as
// an HTML page.
//
//===----------------------------------------------------------------------===//

#include "LibExplain/Explanation.h"
#include "LibExplain/LogLines.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace figlift::explain {

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

cxxopts::Options describeOptions() {
  cxxopts::Options Options(
      "figlift-explain",
      "Explains the outcome of a request from the logs of all processes.\n"
      "Exit status: 0 explained, 1 unknown request or a file cannot be read, "
      "2 invalid command line.");
  auto Add = Options.add_options();
  Add("request", "Id of the client attempt (X-Attempt-Id)",
      cxxopts::value<std::string>(), "ID");
  Add("html", "Also write the timeline as an HTML page to this file",
      cxxopts::value<std::string>(), "FILE");
  Add("before-ms",
      "Include the state of the request's processes from this many "
      "milliseconds before it",
      cxxopts::value<unsigned>()->default_value("10000"));
  Add("files", "Log files; \"-\" is standard input",
      cxxopts::value<std::vector<std::string>>());
  Add("version", "Print the version and exit");
  Add("help", "Print this and exit");
  Options.parse_positional("files");
  Options.positional_help("LOG...");
  return Options;
}

int usageError(const std::string &Message) {
  std::cerr << "figlift-explain: " << Message << "\n";
  return ExitUsage;
}

bool readFile(LogLines &Lines, const std::string &Name) {
  std::ifstream File;
  if (Name != "-")
    File.open(Name, std::ios::binary);
  std::istream &Input = Name == "-" ? std::cin : File;
  if (!Input)
    return false;
  Lines.add(std::string(std::istreambuf_iterator<char>(Input), {}));
  return true;
}

int run(const cxxopts::ParseResult &Arguments) {
  LogLines Lines;
  for (const auto &Name : Arguments["files"].as<std::vector<std::string>>())
    if (!readFile(Lines, Name)) {
      std::cerr << "figlift-explain: cannot read " << Name << "\n";
      return ExitFailure;
    }
  Lines.sort();
  ExplanationOptions Settings;
  Settings.ContextWindow =
      std::chrono::milliseconds(Arguments["before-ms"].as<unsigned>());
  const auto Outcome = explainRequest(
      Lines.Events, Arguments["request"].as<std::string>(), Settings);
  if (!Outcome) {
    std::cerr << "figlift-explain: " << Outcome.error().Message << "\n";
    return ExitFailure;
  }
  std::cout << timeline::renderText(Outcome.value().Lines) << "\n";
  for (const std::string &Finding : Outcome.value().Findings)
    std::cout << "- " << Finding << "\n";
  if (!Arguments.count("html"))
    return EXIT_SUCCESS;
  std::ofstream Html(Arguments["html"].as<std::string>(), std::ios::binary);
  if (Html << timeline::renderHtml(Outcome.value().Lines) << std::flush)
    return EXIT_SUCCESS;
  std::cerr << "figlift-explain: cannot write the HTML page\n";
  return ExitFailure;
}

int start(int ArgumentCount, const char *const *Values) try {
  cxxopts::Options Options = describeOptions();
  const cxxopts::ParseResult Arguments = Options.parse(ArgumentCount, Values);
  if (Arguments.count("help")) {
    std::cout << Options.help();
    return EXIT_SUCCESS;
  }
  if (Arguments.count("version")) {
    std::cout << "figlift-explain " FIGLIFT_VERSION "\n";
    return EXIT_SUCCESS;
  }
  if (!Arguments.count("request"))
    return usageError("--request: missing; expected an id");
  if (!Arguments.count("files"))
    return usageError("LOG: missing; expected log files");
  return run(Arguments);
} catch (const cxxopts::exceptions::exception &Thrown) {
  return usageError(Thrown.what());
}

} // namespace

} // namespace figlift::explain

int main(int ArgumentCount, char **Arguments) {
  return figlift::explain::start(ArgumentCount, Arguments);
}
