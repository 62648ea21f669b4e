//===- Gateway.h - A gateway as a process of its own ------------*- C++ -*-===//
//
// Starts the program with the command of the deploy file, and a settings file
// that is the project's template filled in with the values of a small
// deployment.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Http.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// What the platform fills into the template.
struct Deployment {
  /// Root of the repository, and a folder for settings and logs.
  std::string Root;
  std::string Folder;
  uint16_t StorePort = 0;
  /// Bounds of the sheet of `sites/lfn-frota.toml`.
  double RetryRatio = 0.2;
  double RetryBase = 52;
  int WindowS = 10;
  int GraceS = 8;
  int LeaseMs = 3000;
};

class Gateway {
public:
  Gateway(const Deployment &Site, std::string Name)
      : m_Name(std::move(Name)), m_Front(freePort()), m_Ready(freePort()),
        m_Folder(Site.Folder), m_Root(Site.Root) {
    const auto At = [](uint16_t Port) {
      return "\"127.0.0.1:" + std::to_string(Port) + "\"";
    };
    std::ofstream File(settings());
    File << "{\n  \"process\": { \"id\": \"" << m_Name
         << "\", \"zone\": \"zone-a\" },\n  \"listen\": {\n    \"callers\": "
         << At(m_Front) << ",\n    \"ready\": " << At(m_Ready)
         << ",\n    \"metrics\": " << At(freePort())
         << ",\n    \"peers\": " << At(freePort())
         << "\n  },\n  \"store\": { \"address\": " << At(Site.StorePort)
         << " },\n  \"fleet\": { \"starts\": true },\n  \"retry\": { "
            "\"ratio\": "
         << Site.RetryRatio << ", \"base\": " << Site.RetryBase
         << ", \"windowSeconds\": " << Site.WindowS
         << " },\n  \"drain\": { \"graceSeconds\": " << Site.GraceS
         << " },\n  \"orders\": { \"leaseMilliseconds\": " << Site.LeaseMs
         << " }\n}\n";
  }
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  ~Gateway() { kill(); }

  uint16_t port() const { return m_Front; }
  const std::string &name() const { return m_Name; }

  void start() {
    const std::string Log = m_Folder + "/" + m_Name + ".log";
    const std::string Program =
        m_Root + "/target/Services/figlift-gateway/figlift-gateway";
    m_Process = fork();
    if (m_Process != 0)
      return;
    // If the case is ended early, its gateways end with it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    for (int Handle = 3; Handle < 1024; ++Handle)
      close(Handle);
    execl(Program.c_str(), Program.c_str(), "--settings", settings().c_str(),
          nullptr);
    _exit(127);
  }
  /// Waits until the readiness check answers 200.
  bool waitUntilReady(milliseconds Limit) {
    const auto Until = Clock::now() + Limit;
    while (Clock::now() < Until) {
      if (const auto Probe = Connection::open(m_Ready);
          Probe && Probe->send("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
        if (const auto Answer =
                Probe->receive(Clock::now() + milliseconds(500));
            Answer && Answer->status() == 200)
          return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }
  void signal(int Number) { ::kill(m_Process, Number); }
  void kill() {
    if (m_Process <= 0)
      return;
    ::kill(m_Process, SIGKILL);
    waitpid(std::exchange(m_Process, -1), nullptr, 0);
  }
  /// Whether the process has not ended by itself.
  bool isRunning() {
    return m_Process > 0 && waitpid(m_Process, nullptr, WNOHANG) == 0;
  }

private:
  std::string settings() const { return m_Folder + "/" + m_Name + ".json"; }

  std::string m_Name;
  uint16_t m_Front;
  uint16_t m_Ready;
  std::string m_Folder;
  std::string m_Root;
  pid_t m_Process = -1;
};

} // namespace review
