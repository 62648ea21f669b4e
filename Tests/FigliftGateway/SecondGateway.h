//===- SecondGateway.h - Another gateway before the same store --*- C++ -*-===//
//
// Runs on a thread of its own beside the gateway of the fixture, which reads
// the store for both, as its name comes first.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "FigliftGateway/StandInPlatform.h"

#include "figlift-gateway/OutputWriter.h"

#include <fcntl.h>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

namespace figlift::testing {

class SecondGateway {
public:
  explicit SecondGateway(const GatewayFixture &Fixture)
      : m_Settings(Fixture.Settings), m_Output(open("/dev/null", O_WRONLY)) {
    m_Settings.Process.Id = "g2";
    m_Settings.Listen = {address(1), address(2), address(3), address(4)};
    m_Gateway = std::make_unique<gateway::Gateway>(m_Settings, m_Output, "");
    m_HasStarted = m_Gateway->start().has_value();
    m_Thread = std::thread([this] { m_Gateway->run(); });
  }
  SecondGateway(const SecondGateway &) = delete;
  SecondGateway &operator=(const SecondGateway &) = delete;
  ~SecondGateway() {
    m_Gateway->interrupt();
    m_Thread.join();
  }

  bool hasStarted() const { return m_HasStarted; }
  const settings::GatewayListen &listen() const { return m_Settings.Listen; }

private:
  /// An address used by this test process alone.
  static Endpoint address(unsigned Number) {
    constexpr int Hosts = 250;
    const std::string Host = "127.202." +
                             std::to_string(getpid() / Hosts % Hosts) + "." +
                             std::to_string(getpid() % Hosts + 1);
    return {Host, static_cast<uint16_t>(7000 + Number)};
  }

  settings::GatewaySettings m_Settings;
  gateway::OutputWriter m_Output;
  std::unique_ptr<gateway::Gateway> m_Gateway;
  bool m_HasStarted = false;
  std::thread m_Thread;
};

} // namespace figlift::testing
