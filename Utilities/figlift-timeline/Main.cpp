//===- Main.cpp - figlift-timeline ----------------------------------------===//
//
// Collects the events of all given processes, merges them in causal order and
// writes them as text, JSON or one HTML page.
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
/// The output is there, but some processes gave no answer.
constexpr int ExitPartial = 3;

constexpr std::chrono::milliseconds DefaultTimeout{3000};
constexpr int PoolThreads = 4;

struct Arguments {
  std::vector<Endpoint> From;
  std::string Format;
  std::string Request;
  std::string Output;
  std::string After;
  std::chrono::milliseconds Timeout{};
};

cxxopts::Options describeOptions() {
  cxxopts::Options Described(
      "figlift-timeline",
      "Shows the events of many figlift processes in causal order.\n"
      "Exit status: 0 all answered, 1 none answered or the output could not "
      "be written,\n2 wrong command line, 3 some gave no answer.");
  Described.add_options()(
      "from", "Processes to ask: HTTP addresses of entries and agents",
      cxxopts::value<std::vector<std::string>>(),
      "ip:port,...")("format", "text, json or html",
                     cxxopts::value<std::string>()->default_value("text"))(
      "follow-request", "Show only what belongs to this request",
      cxxopts::value<std::string>()->default_value(""),
      "ID")("after", "Show only events after this stamp",
            cxxopts::value<std::string>()->default_value(""),
            "STAMP")("timeout-ms", "How long to wait for answers",
                     cxxopts::value<unsigned>()->default_value(
                         std::to_string(DefaultTimeout.count())))(
      "output", "Write to this file instead of standard output",
      cxxopts::value<std::string>()->default_value(""), "FILE")(
      "version", "Print the version and exit")("help", "Print this and exit");
  return Described;
}

auto invalid(std::string Message, std::string Option) {
  return failure(ResultCode::InvalidInput, std::move(Message),
                 std::move(Option));
}

Result<std::vector<Endpoint>>
parseEndpoints(const std::vector<std::string> &Texts) {
  std::vector<Endpoint> Parsed;
  for (const std::string &Text : Texts) {
    FIGLIFT_TRY(One, Endpoint::parse(Text));
    Parsed.push_back(One);
  }
  return Parsed;
}

Result<Arguments> readArguments(const cxxopts::ParseResult &Given) {
  if (!Given.unmatched().empty())
    return invalid("found \"" + Given.unmatched().front() +
                       "\"; allowed are the options that --help lists",
                   "");
  if (!Given.count("from"))
    return invalid("found nothing; allowed are addresses", "--from");
  Arguments Read;
  FIGLIFT_TRY(From,
              parseEndpoints(Given["from"].as<std::vector<std::string>>()));
  Read.From = From;
  Read.Format = Given["format"].as<std::string>();
  if (Read.Format != "text" && Read.Format != "json" && Read.Format != "html")
    return invalid("found \"" + Read.Format +
                       "\"; allowed are text, json and html",
                   "--format");
  Read.Request = Given["follow-request"].as<std::string>();
  Read.Output = Given["output"].as<std::string>();
  Read.After = Given["after"].as<std::string>();
  if (!Read.After.empty()) {
    FIGLIFT_TRY(Stamp::parse(Read.After));
  }
  Read.Timeout = std::chrono::milliseconds(Given["timeout-ms"].as<unsigned>());
  return Read;
}

std::string render(const MergedTimeline &Whole, const std::string &Format) {
  if (Format == "json")
    return renderJson(Whole);
  if (Format == "html")
    return renderHtml(Whole);
  return renderText(Whole);
}

bool write(const std::string &Text, const std::string &FileName) {
  if (FileName.empty())
    return static_cast<bool>(std::cout << Text << std::flush);
  std::ofstream File(FileName, std::ios::binary);
  return static_cast<bool>(File << Text << std::flush);
}

int run(const Arguments &Given) {
  crossplat::threadpool::initialize_with_threads(PoolThreads);
  MergedTimeline Whole =
      mergeAnswers(fetchAll(Given.From, Given.After, Given.Timeout));
  if (!Given.Request.empty())
    followRequest(Whole, Given.Request);
  for (const Source &Each : Whole.Sources)
    if (Each.Failure)
      std::cerr << "figlift-timeline: " << Each.Address.toString() << ": "
                << Each.Failure->Message << "\n";
  if (!write(render(Whole, Given.Format), Given.Output)) {
    std::cerr << "figlift-timeline: cannot write the output\n";
    return ExitFailure;
  }
  bool NoneAnswered =
      std::ranges::all_of(Whole.Sources, [](const Source &Each) {
        return Each.Failure.has_value();
      });
  if (NoneAnswered)
    return ExitFailure;
  return Whole.isPartial() ? ExitPartial : EXIT_SUCCESS;
}

int usageError(const std::string &Message) {
  std::cerr << "figlift-timeline: " << Message << "\n";
  return ExitUsage;
}

int start(int ArgumentCount, const char *const *Values) try {
  cxxopts::Options Described = describeOptions();
  cxxopts::ParseResult Given = Described.parse(ArgumentCount, Values);
  if (Given.count("help")) {
    std::cout << Described.help();
    return EXIT_SUCCESS;
  }
  if (Given.count("version")) {
    std::cout << "figlift-timeline " FIGLIFT_VERSION "\n";
    return EXIT_SUCCESS;
  }
  auto Read = readArguments(Given);
  if (!Read)
    return usageError(Read.error().Field + ": " + Read.error().Message);
  return run(Read.value());
} catch (const cxxopts::exceptions::exception &Thrown) {
  return usageError(Thrown.what());
}

} // namespace

} // namespace figlift::timeline

int main(int ArgumentCount, char **Arguments) {
  return figlift::timeline::start(ArgumentCount, Arguments);
}
