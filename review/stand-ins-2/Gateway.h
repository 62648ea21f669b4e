//===- Gateway.h - A gateway process and its settings -----------*- C++ -*-===//
//
// Starts the gateway as the deploy file says, with the fields of its settings
// template filled in for a small deployment, and sends it signals.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Network.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

struct GatewayOptions {
  std::string Id;
  uint16_t StorePort = 0;
  bool FleetStarts = true;
};

class Gateway {
public:
  /// \p Program and \p Folder: the gateway, and a folder for its files.
  Gateway(GatewayOptions Options, std::string Program, std::string Folder)
      : m_Options(std::move(Options)), m_Program(std::move(Program)),
        m_Folder(std::move(Folder)), m_Callers(freePort()), m_Ready(freePort()),
        m_Metrics(freePort()), m_Peers(freePort(SOCK_DGRAM)) {}
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;
  ~Gateway() { kill(); }

  const std::string &id() const { return m_Options.Id; }
  uint16_t callers() const { return m_Callers; }

  void start() {
    const std::string File = m_Folder + "/" + m_Options.Id + ".json";
    std::ofstream(File) << settings().dump(2);
    const std::string Log = m_Folder + "/" + m_Options.Id + ".log";
    m_Process = fork();
    if (m_Process == 0) {
      // It must not outlive the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Output, STDOUT_FILENO);
      dup2(Output, STDERR_FILENO);
      execl(m_Program.c_str(), m_Program.c_str(), "--settings", File.c_str(),
            nullptr);
      _exit(127);
    }
  }
  /// Waits until the process says that it is ready.
  bool waitUntilReady(milliseconds Limit = milliseconds(10000)) const {
    const Time End = Clock::now() + Limit;
    while (Clock::now() < End) {
      if (isReady())
        return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }
  bool isReady() const {
    const int Handle = connectTo(m_Ready);
    if (Handle < 0)
      return false;
    Reader Answers(Handle);
    const bool IsSent =
        sendAll(Handle, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto Answer = IsSent ? Answers.next() : std::nullopt;
    close(Handle);
    return Answer && Answer->status() == 200;
  }
  void signal(int Number) const {
    if (m_Process > 0)
      ::kill(m_Process, Number);
  }
  /// Whether the process has ended by itself.
  bool hasEnded() {
    if (m_Process > 0 && waitpid(m_Process, nullptr, WNOHANG) == m_Process)
      m_Process = 0;
    return m_Process == 0;
  }
  void kill() {
    if (m_Process <= 0)
      return;
    ::kill(m_Process, SIGCONT);
    ::kill(m_Process, SIGKILL);
    waitpid(m_Process, nullptr, 0);
    m_Process = 0;
  }

private:
  static std::string address(uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }
  nlohmann::json settings() const {
    return {{"process",
             {{"memoryMegabytes", 260},
              {"descriptors", 4100},
              {"id", m_Options.Id},
              {"zone", "hall-a"}}},
            {"listen",
             {{"callers", address(m_Callers)},
              {"ready", address(m_Ready)},
              {"metrics", address(m_Metrics)},
              {"peers", address(m_Peers)}}},
            {"store", {{"address", address(m_Options.StorePort)}}},
            {"fleet", {{"starts", m_Options.FleetStarts}}},
            {"retry", {{"ratio", 0.2}, {"base", 52}, {"windowSeconds", 10}}},
            {"drain", {{"graceSeconds", 8}}},
            {"orders", {{"leaseMilliseconds", 3000}}}};
  }

  GatewayOptions m_Options;
  std::string m_Program;
  std::string m_Folder;
  uint16_t m_Callers;
  uint16_t m_Ready;
  uint16_t m_Metrics;
  uint16_t m_Peers;
  pid_t m_Process = 0;
};

/// A folder in the place for temporary files, removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "figlift-review-XXXXXX")
            .string();
    if (!mkdtemp(Name.data()))
      throw std::runtime_error("no temporary folder");
    m_Path = Name;
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  ~TemporaryFolder() {
    std::error_code Ignored;
    std::filesystem::remove_all(m_Path, Ignored);
  }
  const std::string &path() const { return m_Path; }

private:
  std::string m_Path;
};

} // namespace review
