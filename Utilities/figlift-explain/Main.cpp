//===- Main.cpp - figlift-explain -----------------------------------------===//
//
// From log files and a request's id to what became of it and why, as text or
// as a page.
//
//===----------------------------------------------------------------------===//

#include "LibExplain/LogLines.h"
#include "LibExplain/Story.h"

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
  cxxopts::Options Described(
      "figlift-explain",
      "Tells from the logs of all processes what became of a request.\n"
      "Exit status: 0 told, 1 no such request or a file cannot be read, "
      "2 wrong command line.");
  auto Add = Described.add_options();
  Add("request", "Id of the client attempt (X-Attempt-Id)",
      cxxopts::value<std::string>(), "ID");
  Add("html", "Write a page with the time line to this file, too",
      cxxopts::value<std::string>(), "FILE");
  Add("before-ms", "How far back what its processes believed belongs to it",
      cxxopts::value<unsigned>()->default_value("10000"));
  Add("files", "Logs; \"-\" is standard input",
      cxxopts::value<std::vector<std::string>>());
  Add("version", "Print the version and exit");
  Add("help", "Print this and exit");
  Described.parse_positional("files");
  Described.positional_help("LOG...");
  return Described;
}

int usageError(const std::string &Message) {
  std::cerr << "figlift-explain: " << Message << "\n";
  return ExitUsage;
}

bool readInto(LogLines &Lines, const std::string &Name) {
  std::ifstream File;
  if (Name != "-")
    File.open(Name, std::ios::binary);
  std::istream &From = Name == "-" ? std::cin : File;
  if (!From)
    return false;
  Lines.add(std::string(std::istreambuf_iterator<char>(From), {}));
  return true;
}

int run(const cxxopts::ParseResult &Given) {
  LogLines Lines;
  for (const auto &Name : Given["files"].as<std::vector<std::string>>())
    if (!readInto(Lines, Name)) {
      std::cerr << "figlift-explain: cannot read " << Name << "\n";
      return ExitFailure;
    }
  Lines.sort();
  StoryOptions Options;
  Options.Before = std::chrono::milliseconds(Given["before-ms"].as<unsigned>());
  const auto Told =
      tellStory(Lines.Events, Given["request"].as<std::string>(), Options);
  if (!Told) {
    std::cerr << "figlift-explain: " << Told.error().Message << "\n";
    return ExitFailure;
  }
  std::cout << timeline::renderText(Told.value().Lines) << "\n";
  for (const std::string &Each : Told.value().Findings)
    std::cout << "- " << Each << "\n";
  if (!Given.count("html"))
    return EXIT_SUCCESS;
  std::ofstream Page(Given["html"].as<std::string>(), std::ios::binary);
  if (Page << timeline::renderHtml(Told.value().Lines) << std::flush)
    return EXIT_SUCCESS;
  std::cerr << "figlift-explain: cannot write the page\n";
  return ExitFailure;
}

int start(int ArgumentCount, const char *const *Values) try {
  cxxopts::Options Described = describeOptions();
  const cxxopts::ParseResult Given = Described.parse(ArgumentCount, Values);
  if (Given.count("help")) {
    std::cout << Described.help();
    return EXIT_SUCCESS;
  }
  if (Given.count("version")) {
    std::cout << "figlift-explain " FIGLIFT_VERSION "\n";
    return EXIT_SUCCESS;
  }
  if (!Given.count("request"))
    return usageError("--request: found nothing; allowed is an id");
  if (!Given.count("files"))
    return usageError("LOG: found nothing; allowed are files");
  return run(Given);
} catch (const cxxopts::exceptions::exception &Thrown) {
  return usageError(Thrown.what());
}

} // namespace

} // namespace figlift::explain

int main(int ArgumentCount, char **Arguments) {
  return figlift::explain::start(ArgumentCount, Arguments);
}
