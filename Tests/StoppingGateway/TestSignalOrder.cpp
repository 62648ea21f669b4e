//===- TestSignalOrder.cpp - Order of signals -----------------------------===//
//
// Uses separate processes, because in the test's own process other threads
// could receive the signals.
//
//===----------------------------------------------------------------------===//

#include "Support/ChildProcess.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <sys/stat.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using Json = nlohmann::json;

namespace {

constexpr std::chrono::seconds Limit{10};
constexpr int ShortGrace = 4;
constexpr int LongGrace = 8;

/// Whether SIGHUP was sent to the process and not delivered yet.
bool isHangupPending(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  constexpr std::string_view Name = "ShdPnd:";
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with(Name))
      return (std::stoull(Line.substr(Name.size()), nullptr, 16) &
              (1ULL << (SIGHUP - 1))) != 0;
  return false;
}

} // namespace

TEST_GROUP(SignalOrder) {
  const std::filesystem::path Folder =
      "/tmp/figlift-signal-order-" + std::to_string(getpid());

  void setup() override { std::filesystem::create_directories(Folder); }
  void teardown() override { std::filesystem::remove_all(Folder); }

  /// An address used by this test process alone. The store's port refuses
  /// connections.
  std::string address(unsigned Port) const {
    constexpr int Hosts = 250;
    return "127.200." + std::to_string(getpid() / Hosts % Hosts) + "." +
           std::to_string(getpid() % Hosts + 1) + ":" + std::to_string(Port);
  }
  std::string settingsFile() const { return (Folder / "settings").string(); }
  void writeGrace(int Seconds) const {
    const Json Settings = {{"process", {{"id", "g1"}, {"zone", "z"}}},
                           {"listen",
                            {{"callers", address(7001)},
                             {"ready", address(7002)},
                             {"metrics", address(7003)},
                             {"peers", address(7004)}}},
                           {"store", {{"address", address(7005)}}},
                           {"drain", {{"graceSeconds", Seconds}}}};
    std::ofstream(Folder / "new") << Settings.dump();
    std::filesystem::rename(Folder / "new", settingsFile());
  }
  /// Returns the numeric field \p Name of the line with \p Event.
  static double field(const std::string &Log, const std::string &Event,
                      const std::string &Name) {
    const size_t Line = Log.find(Event);
    const size_t FieldStart = Log.find(Name, Line);
    return std::stod(
        Log.substr(Log.find_first_of("0123456789", FieldStart + Name.size())));
  }
};

// Failure: a stop interrupts streams seconds too early.
// Sequence: the settings get a longer grace period, followed by SIGHUP and
// immediately by SIGTERM.
// Cause: two threads receive one signal each, and the gateway handles SIGTERM
// first. It applies the shorter grace period, because the change seems to have
// come after SIGTERM.
TEST(SignalOrder, UsesTheNewGraceWhenTerminationFollowsAHangup) {
  constexpr int Rounds = 40;
  int LongerStops = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    writeGrace(ShortGrace);
    const std::string Log =
        (Folder / ("log-" + std::to_string(Round))).string();
    auto Process =
        test::ChildProcess::start("Services/figlift-gateway/figlift-gateway",
                                  {"--settings", settingsFile()}, Log);
    CHECK(Process.waitForOutput("started", Limit));
    writeGrace(LongGrace);
    kill(Process.pid(), SIGHUP);
    Process.terminate();
    CHECK(Process.waitForOutput("endsInMs", Limit));
    const double EndsInMs = field(Process.output(), "stopping", "endsInMs");
    LongerStops += EndsInMs > ShortGrace * 1000 ? 1 : 0;
  }
  LONGS_EQUAL(Rounds, LongerStops);
}

// Failure: a gateway that starts ends at once, with signal 1.
// Sequence: its settings change while it reads them, followed by SIGHUP.
// Cause: SIGHUP ends a process that has no handler for it yet.
TEST(SignalOrder, HangupDuringTheStartReloadsAfterIt) {
  writeGrace(ShortGrace);
  const std::string Regular = (Folder / "regular").string();
  std::filesystem::rename(settingsFile(), Regular);
  LONGS_EQUAL(0, mkfifo(settingsFile().c_str(), 0600));
  auto Process = test::ChildProcess::start(
      "Services/figlift-gateway/figlift-gateway",
      {"--settings", settingsFile()}, (Folder / "log-start").string());
  // Returns once the process opens the file, and holds it there.
  const int Pipe = open(settingsFile().c_str(), O_WRONLY);
  std::ifstream File(Regular);
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  std::filesystem::rename(Regular, settingsFile());
  kill(Process.pid(), SIGHUP);
  LONGS_EQUAL(static_cast<long>(Text.size()),
              write(Pipe, Text.data(), Text.size()));
  close(Pipe);
  CHECK(Process.waitForOutput("started", Limit));
  CHECK(Process.waitForOutput("reloaded", Limit));
}

// Failure: a gateway that has stopped in order ends with signal 1.
// Sequence: SIGHUP arrives again and again during the stop, up to its end.
// Cause: the handler is removed before the process has ended.
TEST(SignalOrder, HangupDuringTheExitDoesNotEndIt) {
  constexpr int Rounds = 5;
  constexpr int OneSecond = 1;
  int OrderlyEnds = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    writeGrace(OneSecond);
    const std::string Log =
        (Folder / ("log-exit-" + std::to_string(Round))).string();
    auto Process =
        test::ChildProcess::start("Services/figlift-gateway/figlift-gateway",
                                  {"--settings", settingsFile()}, Log);
    CHECK(Process.waitForOutput("started", Limit));
    Process.terminate();
    CHECK(Process.waitForOutput("stopping", Limit));
    std::optional<int> ExitCode;
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!ExitCode && std::chrono::steady_clock::now() < End) {
      // A signal that is sent while one is pending has no effect but to keep
      // the process from running.
      if (!isHangupPending(Process.pid()))
        kill(Process.pid(), SIGHUP);
      ExitCode = Process.waitForExit(std::chrono::milliseconds(0));
    }
    OrderlyEnds += ExitCode == 0 ? 1 : 0;
  }
  LONGS_EQUAL(Rounds, OrderlyEnds);
}
