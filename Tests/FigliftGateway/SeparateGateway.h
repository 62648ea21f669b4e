//===- SeparateGateway.h - A gateway in a process of its own ----*- C++ -*-===//
//
// For limits that hold for a process as a whole. The store, the servers and
// another gateway run in the test's process; the callers of the fixture connect
// to the separate one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "FigliftGateway/StandInPlatform.h"
#include "Support/ChildProcess.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <unistd.h>

namespace figlift::testing {

class SeparateGateway {
public:
  explicit SeparateGateway(GatewayFixture &Fixture) : m_Fixture(Fixture) {
    std::filesystem::create_directories(m_Folder);
    Fixture.Settings.Listen = {address(1), address(2), address(3), address(4)};
    writeSettings();
  }
  SeparateGateway(const SeparateGateway &) = delete;
  SeparateGateway &operator=(const SeparateGateway &) = delete;
  ~SeparateGateway() {
    stop();
    std::filesystem::remove_all(m_Folder);
  }

  /// Writes the fixture's settings for the next start.
  void writeSettings() {
    settings::GatewaySettings Own = m_Fixture.Settings;
    Own.Process.Id = "g2";
    std::ofstream(m_Folder / "settings") << settings::printSettings(Own);
  }
  /// Starts a process in place of the one before, and returns whether it is
  /// ready. \p Descriptors: its limit on file descriptors.
  bool start(std::optional<size_t> Descriptors = std::nullopt) {
    stop();
    const std::string Program = "Services/figlift-gateway/figlift-gateway";
    const std::vector<std::string> Arguments = {
        "--settings", (m_Folder / "settings").string()};
    const std::string Log =
        (m_Folder / ("log-" + std::to_string(++m_Starts))).string();
    m_Process = Descriptors
                    ? test::ChildProcess::startWithDescriptors(
                          *Descriptors, Program, Arguments, Log)
                    : test::ChildProcess::start(Program, Arguments, Log);
    return m_Process.waitForOutput("started", std::chrono::seconds(10)) &&
           m_Fixture.waitUntilReady();
  }
  void stop() { m_Process = {}; }
  bool running() { return m_Process.running(); }
  pid_t pid() const { return m_Process.pid(); }
  size_t highestMemory() const { return m_Process.highestMemory(); }

private:
  /// An address used by this test process alone.
  static Endpoint address(unsigned Number) {
    constexpr int Hosts = 250;
    const std::string Host = "127.201." +
                             std::to_string(getpid() / Hosts % Hosts) + "." +
                             std::to_string(getpid() % Hosts + 1);
    return {Host, static_cast<uint16_t>(7000 + Number)};
  }

  GatewayFixture &m_Fixture;
  const std::filesystem::path m_Folder =
      "/tmp/figlift-separate-gateway-" + std::to_string(getpid());
  test::ChildProcess m_Process;
  unsigned m_Starts = 0;
};

} // namespace figlift::testing
