//===- Main.cpp - figlift-load, the load and experiment tool --------------===//
//
// Plays an experiment file against entries at the offsets of its schedule
// (open loop), or keeps a number of requests in flight (closed loop), and
// prints what became of the requests.
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
  Experiment What;
  std::vector<Arrival> Schedule;
};

milliseconds lengthOf(const Experiment &What) {
  milliseconds Sum{0};
  for (const Phase &Each : What.Phases)
    Sum += Each.Duration;
  return Sum;
}

/// Sends each request at its offset, whatever became of the earlier ones.
milliseconds playOpen(LoadCaller &Caller, const Run &Played) {
  auto Begin = steady_clock::now();
  for (const Arrival &Each : Played.Schedule) {
    std::this_thread::sleep_until(Begin + Each.Offset);
    Caller.send(Each, Played.What.Workloads.at(Each.Workload));
  }
  Caller.waitForAll();
  return lengthOf(Played.What);
}

/// Sends the next request as soon as one of \p Concurrency has ended.
milliseconds playClosed(LoadCaller &Caller, const Run &Played,
                        unsigned Concurrency) {
  std::counting_semaphore<> Free(Concurrency);
  auto Begin = steady_clock::now();
  for (const Arrival &Each : Played.Schedule) {
    Free.acquire();
    Caller.send(Each, Played.What.Workloads.at(Each.Workload),
                [&Free] { Free.release(); });
  }
  Caller.waitForAll();
  for (unsigned Index = 0; Index < Concurrency; ++Index)
    Free.acquire();
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - Begin);
}

cxxopts::Options makeOptions() {
  cxxopts::Options Options("figlift-load",
                           "Plays an experiment file against figlift entries.");
  Options.add_options()("experiment", "experiment file, JSON with comments",
                        cxxopts::value<std::string>())(
      "entry", "entries as address:port, separated by commas",
      cxxopts::value<std::vector<std::string>>())(
      "seed", "seed of the schedule",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "concurrency",
      "closed loop with so many requests in flight; 0: open loop",
      cxxopts::value<unsigned>()->default_value("0"))(
      "timeout-ms", "limit of one request",
      cxxopts::value<unsigned>()->default_value("60000"))(
      "direct",
      "the addresses are engines, not entries: what figlift adds is the "
      "difference to such a run",
      cxxopts::value<bool>()->default_value("false"))(
      "o,output", "table or json",
      cxxopts::value<std::string>()->default_value("table"))("h,help",
                                                             "this text");
  return Options;
}

Result<Run> readRun(const std::string &File, uint64_t Seed) {
  std::ifstream Source(File);
  if (!Source)
    return failure(ResultCode::InvalidInput, "cannot read " + File);
  std::ostringstream Text;
  Text << Source.rdbuf();
  FIGLIFT_TRY(What, parseExperiment(Text.str()));
  return Run{What, makeSchedule(What, Seed)};
}

int play(const cxxopts::ParseResult &Arguments) {
  Result<Run> Played = readRun(Arguments["experiment"].as<std::string>(),
                               Arguments["seed"].as<uint64_t>());
  if (!Played) {
    std::cerr << "figlift-load: " << Played.error().Message << "\n";
    return ExitInvalid;
  }
  LoadCaller Caller(Arguments["entry"].as<std::vector<std::string>>(),
                    milliseconds(Arguments["timeout-ms"].as<unsigned>()),
                    Arguments["direct"].as<bool>());
  unsigned Concurrency = Arguments["concurrency"].as<unsigned>();
  milliseconds Took = Concurrency > 0
                          ? playClosed(Caller, Played.value(), Concurrency)
                          : playOpen(Caller, Played.value());
  const Report &Made = Caller.report();
  bool AsJson = Arguments["output"].as<std::string>() == "json";
  std::cout << (AsJson ? Made.toJson(Took) + "\n" : Made.toTable(Took));
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
      std::cerr << "figlift-load: --experiment and --entry are needed\n";
      return ExitUsage;
    }
    return play(Parsed);
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "figlift-load: " << Fault.what() << "\n";
    return ExitUsage;
  }
}
