//===- Main.cpp - figlift-load, the load and experiment tool --------------===//
//
// Sends the requests of an experiment file to entries at their scheduled
// offsets (open loop), or keeps a fixed number of requests in flight (closed
// loop), and prints a report of the outcomes.
//
//===----------------------------------------------------------------------===//

#include "LoadCaller.h"

#include <cxxopts.hpp>
#include <pplx/threadpool.h>

#include <fstream>
#include <iostream>
#include <semaphore>
#include <sstream>
#include <thread>

using namespace figlift;
using namespace figlift::load;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitInvalid = 3;
constexpr int PoolThreads = 8;

struct Run {
  Experiment Definition;
  std::vector<Arrival> Schedule;
};

milliseconds durationOf(const Experiment &Definition) {
  milliseconds Sum{0};
  for (const Phase &Part : Definition.Phases)
    Sum += Part.Duration;
  return Sum;
}

/// Sends each request at its offset, independent of earlier responses.
milliseconds runOpenLoop(LoadCaller &Caller, const Run &Current) {
  auto Begin = steady_clock::now();
  for (const Arrival &Request : Current.Schedule) {
    std::this_thread::sleep_until(Begin + Request.Offset);
    Caller.send(Request, Current.Definition.Workloads.at(Request.Workload));
  }
  Caller.waitForAll();
  return durationOf(Current.Definition);
}

/// Keeps \p Concurrency requests in flight: sends the next request as soon as
/// one ends.
milliseconds runClosedLoop(LoadCaller &Caller, const Run &Current,
                           unsigned Concurrency) {
  std::counting_semaphore<> Free(Concurrency);
  auto Begin = steady_clock::now();
  for (const Arrival &Request : Current.Schedule) {
    Free.acquire();
    Caller.send(Request, Current.Definition.Workloads.at(Request.Workload),
                [&Free] { Free.release(); });
  }
  Caller.waitForAll();
  for (unsigned I = 0; I < Concurrency; ++I)
    Free.acquire();
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - Begin);
}

cxxopts::Options makeOptions() {
  cxxopts::Options Options(
      "figlift-load",
      "Sends the requests of an experiment file to figlift entries.");
  Options.add_options()("experiment", "experiment file, JSON with comments",
                        cxxopts::value<std::string>())(
      "entry", "entries as address:port, separated by commas",
      cxxopts::value<std::vector<std::string>>())(
      "seed", "seed of the schedule",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "concurrency",
      "closed loop with this many requests in flight; 0: open loop",
      cxxopts::value<unsigned>()->default_value("0"))(
      "timeout-ms", "timeout of one request",
      cxxopts::value<unsigned>()->default_value("60000"))(
      "direct",
      "the addresses are engines, not entries; the difference to such a run is "
      "the overhead of figlift",
      cxxopts::value<bool>()->default_value("false"))(
      "o,output", "table or json",
      cxxopts::value<std::string>()->default_value("table"))(
      "h,help", "print this and exit");
  return Options;
}

Result<Run> readRun(const std::string &File, uint64_t Seed) {
  std::ifstream Source(File);
  if (!Source)
    return failure(ResultCode::InvalidInput, "cannot read " + File);
  std::ostringstream Text;
  Text << Source.rdbuf();
  FIGLIFT_TRY(Definition, parseExperiment(Text.str()));
  return Run{Definition, makeSchedule(Definition, Seed)};
}

int runExperiment(const cxxopts::ParseResult &Arguments) {
  Result<Run> Loaded = readRun(Arguments["experiment"].as<std::string>(),
                               Arguments["seed"].as<uint64_t>());
  if (!Loaded) {
    std::cerr << "figlift-load: " << Loaded.error().Message << "\n";
    return ExitInvalid;
  }
  LoadCaller Caller(Arguments["entry"].as<std::vector<std::string>>(),
                    milliseconds(Arguments["timeout-ms"].as<unsigned>()),
                    Arguments["direct"].as<bool>());
  unsigned Concurrency = Arguments["concurrency"].as<unsigned>();
  milliseconds Duration =
      Concurrency > 0 ? runClosedLoop(Caller, Loaded.value(), Concurrency)
                      : runOpenLoop(Caller, Loaded.value());
  const Report &Results = Caller.report();
  bool AsJson = Arguments["output"].as<std::string>() == "json";
  std::cout << (AsJson ? Results.toJson(Duration) + "\n"
                       : Results.toTable(Duration));
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  crossplat::threadpool::initialize_with_threads(PoolThreads);
  cxxopts::Options Options = makeOptions();
  try {
    cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return 0;
    }
    if (Parsed.count("experiment") == 0 || Parsed.count("entry") == 0) {
      std::cerr << "figlift-load: --experiment and --entry are required\n";
      return ExitUsage;
    }
    return runExperiment(Parsed);
  } catch (const cxxopts::exceptions::exception &Exception) {
    std::cerr << "figlift-load: " << Exception.what() << "\n";
    return ExitUsage;
  }
}
