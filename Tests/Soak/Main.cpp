//===- Main.cpp - The fault soak ------------------------------------------===//
//
// Plays seeds one after another; ends with 1 when a promise was broken. The
// logs of a seed that failed are kept.
//
//===----------------------------------------------------------------------===//

#include "Disturber.h"

#include <cxxopts.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

using namespace figlift;
using namespace figlift::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds TickInterval{50};
/// After the last fault is mended: the platform's bound for recovery, 12 s,
/// and the start of a process that was just killed.
constexpr seconds RecoveryLimit{15};
/// A soak that stands still, say for a disk, is a store and servers that do.
constexpr milliseconds StandstillBound{500};
/// Callers wait no longer for their last answers.
constexpr seconds LongestAnswer{10};
/// The longest grace of a stop, and the start of a process.
constexpr seconds StopLimit{12};
/// Share of the answers of a second that have to be successes then.
constexpr double RecoveredShare = 0.9;

struct Options {
  unsigned Gateways = 3;
  unsigned Callers = 24;
  seconds Length{15};
  std::filesystem::path Folder;
};

class SeedRun {
public:
  SeedRun(uint64_t Seed, const Options &With)
      : m_Seed(Seed), m_With(With),
        m_Folder(With.Folder / fmt::format("seed-{}", Seed)) {}

  bool play() {
    // Logs of an earlier play of the seed hold other addresses.
    std::filesystem::remove_all(m_Folder);
    std::filesystem::create_directories(m_Folder);
    SoakFleet Fleet(m_Loop, m_Book, m_Seed, m_With.Gateways, m_Folder);
    if (!Fleet.start()) {
      m_Book.broken("the fleet did not start");
      return report({});
    }
    Disturber Faults(Fleet, m_Book, m_Seed);
    std::vector<std::unique_ptr<SoakCaller>> Callers;
    for (unsigned Each = 0; Each < m_With.Callers; ++Each) {
      Callers.push_back(std::make_unique<SoakCaller>(
          m_Loop, m_Book, m_Seed * 1000 + Each, fmt::format("c{}", Each),
          Fleet.doors(), promptTokens(), crashingRequests()));
      Callers.back()->start();
    }
    turn(Fleet, Faults, false, RecoveryLimit,
         [&] { return m_Book.count("status 200") > 100; });
    turn(Fleet, Faults, true, m_With.Length, [] { return false; });
    recover(Fleet, Faults);
    for (const auto &Each : Callers)
      Each->stop();
    turn(Fleet, Faults, false, LongestAnswer, [&] {
      return std::all_of(Callers.begin(), Callers.end(),
                         [](const auto &Each) { return Each->idle(); });
    });
    return report(Faults.history());
  }

private:
  /// From short prompts, which ask for engines that run, to long ones, which
  /// ask for engines that read.
  unsigned promptTokens() const {
    return 1000 + static_cast<unsigned>(m_Seed % 4) * 4000;
  }

  CrashingRequests crashingRequests() const {
    return hasServersInNeed(m_Seed) ? CrashingRequests::Some
                                    : CrashingRequests::None;
  }

  /// Turns the loop until \p Done or \p Limit.
  template <typename Condition>
  bool turn(SoakFleet &Fleet, Disturber &Faults, bool May, seconds Limit,
            Condition Done) {
    const BootTime End = BootClock::now() + Limit;
    while (!Done()) {
      const BootTime Now = BootClock::now();
      if (Now > End)
        return false;
      Faults.tick(Now, May);
      Fleet.tick(Now);
      noteStandstill(Now, milliseconds(0));
      m_Loop.run_for(TickInterval);
      noteStandstill(Now, TickInterval);
    }
    return true;
  }

  void noteStandstill(BootTime Since, milliseconds Usual) {
    const BootTime Now = BootClock::now();
    const auto Time =
        std::chrono::duration_cast<milliseconds>(Now - Since) - Usual;
    m_LongestStandstill = std::max(m_LongestStandstill, Time);
    if (Time > StandstillBound)
      m_Book.disturbed(PromiseBook::Everything, Now);
  }

  void recover(SoakFleet &Fleet, Disturber &Faults) {
    turn(Fleet, Faults, false, StopLimit,
         [&] { return Faults.calm() && Fleet.allRun(); });
    uint64_t Good = 0;
    uint64_t All = 0;
    BootTime Since{};
    const bool Recovered = turn(Fleet, Faults, false, RecoveryLimit, [&] {
      const BootTime Now = BootClock::now();
      if (Now - Since < seconds(1))
        return false;
      const uint64_t NewGood = m_Book.count("status 200") - Good;
      const uint64_t NewAll = m_Book.count("requests") - All;
      const bool IsFirst = Since == BootTime{};
      Good += NewGood;
      All += NewAll;
      Since = Now;
      return !IsFirst && NewAll > 20 &&
             double(NewGood) > RecoveredShare * double(NewAll);
    });
    if (!Recovered)
      m_Book.broken("RECOVER: not served again after the last fault");
  }

  bool report(const std::vector<std::string> &History) {
    std::string Counts;
    for (const char *What : {"requests", "repeats", "orders", "crashes",
                             "status 200", "status 500", "status 502",
                             "status 503", "status 504", "without an answer"})
      Counts += fmt::format(" {}: {};", What, m_Book.count(What));
    std::printf("seed %lu: %zu faults,%s stood still: %ld ms; %zu broken\n",
                static_cast<unsigned long>(m_Seed), History.size(),
                Counts.c_str(), static_cast<long>(m_LongestStandstill.count()),
                m_Book.violations().size());
    constexpr size_t MostShown = 10;
    for (size_t At = 0; At < m_Book.violations().size() && At < MostShown; ++At)
      std::printf("  %s\n", m_Book.violations()[At].c_str());
    std::fflush(stdout);
    if (m_Book.violations().empty()) {
      std::filesystem::remove_all(m_Folder);
      return true;
    }
    std::ofstream Kept(m_Folder / "run.txt");
    for (const std::string &Each : History)
      Kept << Each << "\n";
    for (const std::string &Each : m_Book.violations())
      Kept << Each << "\n";
    std::printf("  logs: %s\n", m_Folder.c_str());
    return false;
  }

  const uint64_t m_Seed;
  const Options &m_With;
  const std::filesystem::path m_Folder;
  boost::asio::io_context m_Loop;
  PromiseBook m_Book;
  milliseconds m_LongestStandstill{0};
};

std::vector<uint64_t> seedsOf(const cxxopts::ParseResult &Given) {
  std::vector<uint64_t> Seeds;
  if (Given.count("list")) {
    std::ifstream File(Given["list"].as<std::string>());
    // The rest of a line is for its reader.
    for (std::string Line; std::getline(File, Line);)
      if (uint64_t Seed = 0; std::sscanf(Line.c_str(), "%lu", &Seed) == 1)
        Seeds.push_back(Seed);
    return Seeds;
  }
  constexpr unsigned DrawnSeeds = 1000000;
  uint64_t Seed = Given.count("seed") ? Given["seed"].as<uint64_t>()
                                      : std::random_device{}() % DrawnSeeds;
  for (unsigned Each = 0; Each < Given["seeds"].as<unsigned>(); ++Each)
    Seeds.push_back(Seed++);
  return Seeds;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Flags("figlift-soak", "Randomized faults, checked promises");
  auto Add = Flags.add_options();
  Add("seed", "first seed; drawn if not given", cxxopts::value<uint64_t>());
  Add("seeds", "how many, one after another",
      cxxopts::value<unsigned>()->default_value("1"));
  Add("seconds", "of faults for each seed",
      cxxopts::value<unsigned>()->default_value("15"));
  Add("gateways", "processes", cxxopts::value<unsigned>()->default_value("3"));
  Add("callers", "", cxxopts::value<unsigned>()->default_value("24"));
  Add("folder", "logs of seeds that fail",
      cxxopts::value<std::string>()->default_value("soak-logs"));
  Add("list",
      "file with seeds that failed once, one a line, each with its cause; all "
      "of them are played",
      cxxopts::value<std::string>());
  Add("help", "");
  const auto Given = Flags.parse(ArgumentCount, Arguments);
  if (Given.count("help")) {
    std::puts(Flags.help().c_str());
    return EXIT_SUCCESS;
  }
  Options With;
  With.Gateways = Given["gateways"].as<unsigned>();
  With.Callers = Given["callers"].as<unsigned>();
  With.Length = seconds(Given["seconds"].as<unsigned>());
  With.Folder = std::filesystem::absolute(Given["folder"].as<std::string>());
  const std::vector<uint64_t> Seeds = seedsOf(Given);
  unsigned Failed = 0;
  for (const uint64_t Seed : Seeds)
    Failed += SeedRun(Seed, With).play() ? 0 : 1;
  std::printf("%zu passed, %u failed\n", Seeds.size() - Failed, Failed);
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
