//===- Main.cpp - The fault soak ------------------------------------------===//
//
// Runs seeds one after another and exits with 1 if an invariant was violated.
// Keeps the logs of seeds that failed.
//
//===----------------------------------------------------------------------===//

#include "EndedServers.h"
#include "FaultInjector.h"
#include "LateEntries.h"
#include "OddEntries.h"
#include "OutOfStep.h"

#include <cxxopts.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <random>

using namespace figlift;
using namespace figlift::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds TickInterval{50};
/// After the repair of the last fault: the platform's recovery bound of 12 s,
/// plus the start of a process that was just killed.
constexpr seconds RecoveryLimit{15};
/// The stand-ins of the store and the servers run in this process, so a stall
/// of it, for example on disk I/O, counts as a fault of all of them.
constexpr milliseconds StallThreshold{500};
/// Maximum wait for the last responses, after the callers were stopped.
constexpr seconds ResponseLimit{10};
/// The longest shutdown grace, plus the start of a process.
constexpr seconds StopLimit{12};
/// Fraction of the requests of one second that have to succeed after recovery.
constexpr double RecoveredFraction = 0.9;
/// The same where servers are full: the platform's bound.
constexpr double RecoveredFractionIfFull = 0.25;

struct Options {
  unsigned Gateways = 3;
  unsigned Callers = 24;
  seconds Length{15};
  /// Plain servers have few slots.
  bool Full = false;
  /// Callers end their input, heads are cut, and versions come and go around
  /// kills of all gateways.
  bool Interrupted = false;
  /// Gateways are out of step while a software version comes and goes.
  bool IsOutOfStep = false;
  /// Other writers leave odd rows in the store.
  bool OddEntries = false;
  /// Writes of servers are performed late, and entries lapse or go.
  bool LateEntries = false;
  /// Callers send requests that may run only once and may outlast every grace.
  bool SlowRequests = false;
  /// Answers of servers are broken, and callers send long uploads.
  bool BrokenAnswers = false;
  /// Servers end as processes do, beside gateways that are late.
  bool EndedServers = false;
  /// The addresses of servers that have ended refuse connections for a while.
  bool DelayedSuccessors = false;
  std::filesystem::path Folder;
};

class SeedRun {
public:
  SeedRun(uint64_t Seed, const Options &RunOptions)
      : m_Seed(Seed), m_Options(RunOptions),
        m_Folder(RunOptions.Folder / fmt::format("seed-{}", Seed)) {}

  bool run() {
    // Logs of an earlier run of the seed name other addresses.
    std::filesystem::remove_all(m_Folder);
    std::filesystem::create_directories(m_Folder);
    SoakFleet Fleet(m_Loop, m_Checker, m_Seed, m_Options.Gateways, m_Folder);
    if (m_Options.IsOutOfStep)
      Fleet.relayPeers();
    if (m_Options.EndedServers)
      Fleet.letServersEnd();
    if (!Fleet.start()) {
      m_Checker.addViolation("the fleet did not start");
      return report({});
    }
    FaultInjector Faults(Fleet, m_Checker, m_Seed);
    if (m_Options.Interrupted)
      Faults.interruptMore();
    if (m_Options.BrokenAnswers)
      Faults.breakAnswers();
    if (m_Options.IsOutOfStep)
      m_OutOfStep = std::make_unique<OutOfStep>(Fleet, m_Checker, m_Seed);
    if (m_Options.EndedServers)
      m_EndedServers.emplace(m_Loop, Fleet, m_Checker, m_Seed);
    if (m_Options.EndedServers && m_Options.DelayedSuccessors)
      m_EndedServers->delaySuccessors();
    if (m_Options.OddEntries)
      m_OddEntries.emplace(Fleet.store(), m_Seed);
    if (m_Options.LateEntries)
      m_LateEntries.emplace(Fleet, m_Checker, m_Seed);
    std::vector<std::unique_ptr<SoakCaller>> Callers;
    for (unsigned I = 0; I < m_Options.Callers; ++I) {
      Callers.push_back(std::make_unique<SoakCaller>(
          m_Loop, m_Checker, m_Seed * 1000 + I, fmt::format("c{}", I),
          Fleet.gatewayEndpoints(), promptTokens(), crashingRequests(),
          hasRollouts(m_Seed) || m_Options.Interrupted || m_Options.IsOutOfStep
              ? Preference::ResumableStreams
              : Preference::None));
      if (m_Options.Interrupted)
        Callers.back()->endInputSometimes();
      if (m_Options.IsOutOfStep)
        Callers.back()->insistOnResuming();
      if (m_Options.SlowRequests)
        Callers.back()->sendSlowRequests();
      if (m_Options.BrokenAnswers)
        Callers.back()->sendLongUploads();
      if (m_Options.EndedServers)
        Callers.back()->askForLongAnswers();
      Callers.back()->start();
    }
    runUntil(Fleet, Faults, false, RecoveryLimit,
             [&] { return m_Checker.count("status 200") > 100; });
    // Before, the gateways do not know each other and their budget.
    if (m_Options.Full)
      Fleet.limitPlainServers();
    runUntil(Fleet, Faults, true, m_Options.Length, [] { return false; });
    recover(Fleet, Faults);
    for (const auto &Caller : Callers)
      Caller->stop();
    runUntil(Fleet, Faults, false, ResponseLimit, [&] {
      return std::all_of(Callers.begin(), Callers.end(),
                         [](const auto &Caller) { return Caller->idle(); });
    });
    std::vector<std::string> History = Faults.history();
    if (m_OutOfStep)
      History.insert(History.end(), m_OutOfStep->history().begin(),
                     m_OutOfStep->history().end());
    if (m_EndedServers) {
      History.insert(History.end(), m_EndedServers->history().begin(),
                     m_EndedServers->history().end());
      History.insert(History.end(), Fleet.endedServers().begin(),
                     Fleet.endedServers().end());
    }
    if (m_LateEntries)
      History.insert(History.end(), m_LateEntries->history().begin(),
                     m_LateEntries->history().end());
    return report(History);
  }

private:
  /// From short prompts, which need decode engines, to long ones, which need
  /// prefill engines.
  unsigned promptTokens() const {
    return 1000 + static_cast<unsigned>(m_Seed % 4) * 4000;
  }

  CrashingRequests crashingRequests() const {
    if (hasCrashingParts(m_Seed))
      return CrashingRequests::PromptParts;
    return hasCrashesAndLimits(m_Seed) ? CrashingRequests::Repeated
                                       : CrashingRequests::None;
  }

  double recoveredFraction() const {
    return m_Options.Full ? RecoveredFractionIfFull : RecoveredFraction;
  }

  /// Runs the loop until \p Done returns true; false after \p Limit.
  template <typename Condition>
  bool runUntil(SoakFleet &Fleet, FaultInjector &Faults, bool AllowFaults,
                seconds Limit, Condition Done) {
    const BootTime End = BootClock::now() + Limit;
    while (!Done()) {
      const BootTime Now = BootClock::now();
      if (Now > End)
        return false;
      const bool IsInStep = !m_OutOfStep || m_OutOfStep->calm();
      // Few of these can be judged beside signals to the gateways.
      const bool IsAlone = m_LateEntries && hasPlannedChangesOnly(m_Seed);
      Faults.tick(Now, AllowFaults && IsInStep && !IsAlone);
      // Without the store, streams do not begin at a new version.
      if (m_OutOfStep)
        m_OutOfStep->tick(Now, AllowFaults && !Faults.isActive("store"));
      if (m_EndedServers)
        m_EndedServers->tick(Now, AllowFaults);
      Fleet.tick(Now);
      if (m_OddEntries)
        m_OddEntries->tick(Now);
      if (m_LateEntries)
        m_LateEntries->tick(Now, AllowFaults && !Faults.isActive("store"));
      recordStall(Now, milliseconds(0));
      m_Loop.run_for(TickInterval);
      recordStall(Now, TickInterval);
    }
    return true;
  }

  void recordStall(BootTime Since, milliseconds Expected) {
    const BootTime Now = BootClock::now();
    const auto Time =
        std::chrono::duration_cast<milliseconds>(Now - Since) - Expected;
    m_LongestStall = std::max(m_LongestStall, Time);
    if (Time <= StallThreshold)
      return;
    m_Checker.recordFault(InvariantChecker::AllGateways, Now);
    m_Checker.recordFault(InvariantChecker::ServerLinks, Now);
  }

  void recover(SoakFleet &Fleet, FaultInjector &Faults) {
    runUntil(Fleet, Faults, false, StopLimit, [&] {
      return Faults.calm() && Fleet.allRunning() &&
             (!m_OutOfStep || m_OutOfStep->calm()) &&
             (!m_EndedServers || m_EndedServers->calm()) &&
             (!m_LateEntries || m_LateEntries->calm());
    });
    uint64_t SuccessCount = 0;
    uint64_t RequestCount = 0;
    BootTime Since{};
    const bool Recovered = runUntil(Fleet, Faults, false, RecoveryLimit, [&] {
      const BootTime Now = BootClock::now();
      if (Now - Since < seconds(1))
        return false;
      const uint64_t NewSuccesses =
          m_Checker.count("status 200") - SuccessCount;
      const uint64_t NewRequests = m_Checker.count("requests") - RequestCount;
      const bool IsFirst = Since == BootTime{};
      SuccessCount += NewSuccesses;
      RequestCount += NewRequests;
      Since = Now;
      return !IsFirst && NewRequests > 20 &&
             double(NewSuccesses) > recoveredFraction() * double(NewRequests);
    });
    if (!Recovered)
      m_Checker.addViolation(
          "RECOVER: requests did not succeed again after the last fault");
  }

  bool report(const std::vector<std::string> &History) {
    std::string Counts;
    for (const char *Name :
         {"requests", "retries", "orders", "crashes", "backoffs", "leaving",
          "resumed", "not resumed", "status 200", "status 500", "status 502",
          "status 503", "status 504", "no response"})
      Counts += fmt::format(" {}: {};", Name, m_Checker.count(Name));
    std::printf(
        "seed %lu: %zu faults,%s longest stall: %ld ms; %zu violations\n",
        static_cast<unsigned long>(m_Seed), History.size(), Counts.c_str(),
        static_cast<long>(m_LongestStall.count()),
        m_Checker.violations().size());
    constexpr size_t MaximumShown = 10;
    for (size_t I = 0; I < m_Checker.violations().size() && I < MaximumShown;
         ++I)
      std::printf("  %s\n", m_Checker.violations()[I].c_str());
    std::fflush(stdout);
    if (m_Checker.violations().empty()) {
      std::filesystem::remove_all(m_Folder);
      return true;
    }
    std::ofstream File(m_Folder / "run.txt");
    for (const std::string &Line : History)
      File << Line << "\n";
    for (const std::string &Violation : m_Checker.violations())
      File << Violation << "\n";
    for (const std::string &Line : m_Checker.retryLines())
      File << Line << "\n";
    std::printf("  logs: %s\n", m_Folder.c_str());
    return false;
  }

  const uint64_t m_Seed;
  const Options &m_Options;
  const std::filesystem::path m_Folder;
  boost::asio::io_context m_Loop;
  InvariantChecker m_Checker;
  /// Null without such faults.
  std::unique_ptr<OutOfStep> m_OutOfStep;
  std::optional<OddEntries> m_OddEntries;
  std::optional<LateEntries> m_LateEntries;
  std::optional<EndedServers> m_EndedServers;
  milliseconds m_LongestStall{0};
};

std::vector<uint64_t> readSeeds(const cxxopts::ParseResult &Parsed) {
  std::vector<uint64_t> Seeds;
  if (Parsed.count("list")) {
    std::ifstream File(Parsed["list"].as<std::string>());
    // The rest of a line explains the seed.
    for (std::string Line; std::getline(File, Line);)
      if (uint64_t Seed = 0; std::sscanf(Line.c_str(), "%lu", &Seed) == 1)
        Seeds.push_back(Seed);
    return Seeds;
  }
  constexpr unsigned RandomSeedCount = 1000000;
  uint64_t Seed = Parsed.count("seed")
                      ? Parsed["seed"].as<uint64_t>()
                      : std::random_device{}() % RandomSeedCount;
  for (unsigned I = 0; I < Parsed["seeds"].as<unsigned>(); ++I)
    Seeds.push_back(Seed++);
  return Seeds;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Flags("figlift-soak",
                         "Randomized faults with checked invariants");
  auto Add = Flags.add_options();
  Add("seed", "first seed; random by default", cxxopts::value<uint64_t>());
  Add("seeds", "number of consecutive seeds",
      cxxopts::value<unsigned>()->default_value("1"));
  Add("seconds", "duration of faults for each seed",
      cxxopts::value<unsigned>()->default_value("15"));
  Add("gateways", "gateway processes",
      cxxopts::value<unsigned>()->default_value("3"));
  Add("callers", "concurrent callers",
      cxxopts::value<unsigned>()->default_value("24"));
  Add("full", "plain servers have few slots, and are full most of the time");
  Add("interrupted", "heads are cut, callers end their input, and versions "
                     "come and go around kills of all gateways");
  Add("out-of-step", "gateways do not hear of a software version that comes, "
                     "and the others are killed");
  Add("odd-entries", "other writers leave odd rows in the store");
  Add("late-entries", "writes of servers are performed late, entries lapse "
                      "while the store is away, and servers leave unannounced");
  Add("slow-requests", "callers send requests that may run only once and may "
                       "outlast every grace");
  Add("broken-answers", "answers have a status that is none, and long uploads "
                        "are answered at once and reset");
  Add("ended-servers", "servers end as processes do, at any byte of an answer, "
                       "beside gateways that are late");
  Add("delayed-successors", "with --ended-servers: no successor listens as "
                            "soon as a server has ended");
  Add("folder", "folder for the logs of seeds that fail",
      cxxopts::value<std::string>()->default_value("soak-logs"));
  Add("list",
      "file of seeds to run, one per line, each followed by an explanation",
      cxxopts::value<std::string>());
  Add("help", "");
  const auto Parsed = Flags.parse(ArgumentCount, Arguments);
  if (Parsed.count("help")) {
    std::puts(Flags.help().c_str());
    return EXIT_SUCCESS;
  }
  Options RunOptions;
  RunOptions.Gateways = Parsed["gateways"].as<unsigned>();
  RunOptions.Callers = Parsed["callers"].as<unsigned>();
  RunOptions.Length = seconds(Parsed["seconds"].as<unsigned>());
  RunOptions.Full = Parsed.count("full") > 0;
  RunOptions.Interrupted = Parsed.count("interrupted") > 0;
  RunOptions.IsOutOfStep = Parsed.count("out-of-step") > 0;
  RunOptions.OddEntries = Parsed.count("odd-entries") > 0;
  RunOptions.LateEntries = Parsed.count("late-entries") > 0;
  RunOptions.SlowRequests = Parsed.count("slow-requests") > 0;
  RunOptions.BrokenAnswers = Parsed.count("broken-answers") > 0;
  RunOptions.DelayedSuccessors = Parsed.count("delayed-successors") > 0;
  RunOptions.EndedServers = Parsed.count("ended-servers") > 0;
  RunOptions.Folder =
      std::filesystem::absolute(Parsed["folder"].as<std::string>());
  const std::vector<uint64_t> Seeds = readSeeds(Parsed);
  unsigned Failed = 0;
  for (const uint64_t Seed : Seeds)
    Failed += SeedRun(Seed, RunOptions).run() ? 0 : 1;
  std::printf("%zu passed, %u failed\n", Seeds.size() - Failed, Failed);
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
