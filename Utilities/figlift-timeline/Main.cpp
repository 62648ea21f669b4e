//===- Main.cpp - figlift-timeline ----------------------------------------===//
//
// Collects the events of the given processes, merges them in causal order and
// writes them as text, JSON or an HTML page.
//
//===----------------------------------------------------------------------===//

#include "Fetcher.h"

#include <cpprest/asyncrt_utils.h>
#include <cxxopts.hpp>
#include <pplx/threadpool.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace figlift::timeline {

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
/// The output was written, but some processes did not respond.
constexpr int ExitPartial = 3;

constexpr std::chrono::milliseconds DefaultTimeout{3000};
constexpr int PoolThreads = 4;

struct Arguments {
  std::vector<Endpoint> Processes;
  std::string Format;
  std::string Request;
  std::string Output;
  std::string After;
  std::chrono::milliseconds Timeout{};
};

cxxopts::Options describeOptions() {
  cxxopts::Options Options(
      "figlift-timeline",
      "Shows the events of several figlift processes in causal order.\n"
      "Exit status: 0 all responded, 1 none responded or the output could not "
      "be written,\n2 invalid command line, 3 some did not respond.");
  Options.add_options()(
      "from", "Processes to query: HTTP addresses of entries and agents",
      cxxopts::value<std::vector<std::string>>(),
      "ip:port,...")("format", "text, json or html",
                     cxxopts::value<std::string>()->default_value("text"))(
      "follow-request", "Show only the events of this request",
      cxxopts::value<std::string>()->default_value(""),
      "ID")("after", "Show only events after this stamp",
            cxxopts::value<std::string>()->default_value(""),
            "STAMP")("timeout-ms", "How long to wait for responses",
                     cxxopts::value<unsigned>()->default_value(
                         std::to_string(DefaultTimeout.count())))(
      "output", "Write to this file instead of standard output",
      cxxopts::value<std::string>()->default_value(""), "FILE")(
      "version", "Print the version and exit")("help", "Print this and exit");
  return Options;
}

auto invalid(std::string Message, std::string Option) {
  return failure(ResultCode::InvalidInput, std::move(Message),
                 std::move(Option));
}

Result<std::vector<Endpoint>>
parseEndpoints(const std::vector<std::string> &Texts) {
  std::vector<Endpoint> Parsed;
  for (const std::string &Text : Texts) {
    FIGLIFT_TRY(Address, Endpoint::parse(Text));
    Parsed.push_back(Address);
  }
  return Parsed;
}

Result<Arguments> readArguments(const cxxopts::ParseResult &Parsed) {
  if (!Parsed.unmatched().empty())
    return invalid("found \"" + Parsed.unmatched().front() +
                       "\"; expected options listed by --help",
                   "");
  if (!Parsed.count("from"))
    return invalid("missing; expected addresses", "--from");
  Arguments Settings;
  FIGLIFT_TRY(Processes,
              parseEndpoints(Parsed["from"].as<std::vector<std::string>>()));
  Settings.Processes = Processes;
  Settings.Format = Parsed["format"].as<std::string>();
  if (Settings.Format != "text" && Settings.Format != "json" &&
      Settings.Format != "html")
    return invalid("found \"" + Settings.Format +
                       "\"; expected text, json or html",
                   "--format");
  Settings.Request = Parsed["follow-request"].as<std::string>();
  Settings.Output = Parsed["output"].as<std::string>();
  Settings.After = Parsed["after"].as<std::string>();
  if (!Settings.After.empty()) {
    FIGLIFT_TRY(Stamp::parse(Settings.After));
  }
  Settings.Timeout =
      std::chrono::milliseconds(Parsed["timeout-ms"].as<unsigned>());
  return Settings;
}

std::string render(const MergedTimeline &Merged, const std::string &Format) {
  if (Format == "json")
    return renderJson(Merged);
  if (Format == "html")
    return renderHtml(Merged);
  return renderText(Merged);
}

bool write(const std::string &Text, const std::string &FileName) {
  if (FileName.empty())
    return static_cast<bool>(std::cout << Text << std::flush);
  std::ofstream File(FileName, std::ios::binary);
  return static_cast<bool>(File << Text << std::flush);
}

int run(const Arguments &Options) {
  crossplat::threadpool::initialize_with_threads(PoolThreads);
  MergedTimeline Merged = mergeResponses(
      fetchAll(Options.Processes, Options.After, Options.Timeout));
  if (!Options.Request.empty())
    followRequest(Merged, Options.Request);
  for (const Source &Process : Merged.Sources)
    if (Process.Failure)
      std::cerr << "figlift-timeline: " << Process.Address.toString() << ": "
                << Process.Failure->Message << "\n";
  if (!write(render(Merged, Options.Format), Options.Output)) {
    std::cerr << "figlift-timeline: cannot write the output\n";
    return ExitFailure;
  }
  bool NoneResponded =
      std::ranges::all_of(Merged.Sources, [](const Source &Process) {
        return Process.Failure.has_value();
      });
  if (NoneResponded)
    return ExitFailure;
  return Merged.isPartial() ? ExitPartial : EXIT_SUCCESS;
}

int usageError(const std::string &Message) {
  std::cerr << "figlift-timeline: " << Message << "\n";
  return ExitUsage;
}

int start(int ArgumentCount, const char *const *Values) try {
  cxxopts::Options Options = describeOptions();
  cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Values);
  if (Parsed.count("help")) {
    std::cout << Options.help();
    return EXIT_SUCCESS;
  }
  if (Parsed.count("version")) {
    std::cout << "figlift-timeline " FIGLIFT_VERSION "\n";
    return EXIT_SUCCESS;
  }
  auto Settings = readArguments(Parsed);
  if (!Settings)
    return usageError(Settings.error().Field + ": " + Settings.error().Message);
  return run(Settings.value());
} catch (const cxxopts::exceptions::exception &Exception) {
  return usageError(Exception.what());
}

} // namespace

} // namespace figlift::timeline

int main(int ArgumentCount, char **Arguments) {
  return figlift::timeline::start(ArgumentCount, Arguments);
}
