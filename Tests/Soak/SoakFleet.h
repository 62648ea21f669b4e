//===- SoakFleet.h - Gateways, servers and links under faults ---*- C++ -*-===//
//
// Runs real gateways as separate processes, and a fault proxy between them and
// the stand-ins of the platform. Faults are injected from outside only: through
// links, signals, the behavior of the store and the servers, and the operator's
// writes. Every process that is started here is ended by its process id.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "PeerRelay.h"
#include "SoakCaller.h"
#include "SoakServer.h"
#include "Support/ChildProcess.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figlift::soak {

enum class Signal { Kill, Terminate, Pause, HangUp };

/// From a gateway to the store, from callers to a gateway, or from all
/// processes to a server.
enum class Link { Store, Callers, Server };

enum class LinkFault {
  Cut,
  Freeze,
  LoseRequests,
  LoseResponses,
  Delay,
  CutHeads,
  BreakAnswers,
  None
};

class SoakFleet {
public:
  /// They are the last of the servers.
  static constexpr unsigned Engines = 4;

  /// Logs and settings are written to \p Folder.
  SoakFleet(boost::asio::io_context &Loop, InvariantChecker &Checker,
            uint64_t Seed, unsigned Gateways, std::filesystem::path Folder);

  /// Gives each plain server so few slots that the callers fill them.
  void limitPlainServers();
  /// Lets gateways reach each other through relays only. Called before start().
  void relayPeers();
  /// Only after relayPeers().
  PeerRelay &peers() { return *m_Peers; }
  /// Lists servers at their own addresses, as the fault proxy in front of one
  /// that has ended would accept connections, and lets them write answers in
  /// parts. Called before start().
  void letServersEnd();
  /// False if the fault proxy did not start.
  bool start();
  std::vector<GatewayEndpoint> gatewayEndpoints() const;
  unsigned gateways() const { return static_cast<unsigned>(m_Gateways.size()); }
  unsigned servers() const { return static_cast<unsigned>(m_Servers.size()); }
  std::string gatewayName(unsigned Gateway) const;

  /// \name Faults. Lasting faults continue until they are repaired.
  /// @{
  void signal(unsigned Index, Signal Kind);
  void resume(unsigned Index);
  /// Once it has ended, the gateway starts again at \p Time at the earliest.
  void holdRestart(unsigned Index, BootTime Time) {
    m_Gateways[Index].RestartAt = Time;
  }
  void setLink(Link Kind, unsigned Index, LinkFault Mode);
  void setBehavior(unsigned Server, Behavior NewBehavior) {
    m_Servers[Server]->setBehavior(NewBehavior);
  }
  /// The process of the server ends, at once or in the next part of a body that
  /// it writes. Another one starts at its address \p Downtime later.
  void endServer(unsigned Index, bool InNextPart,
                 std::chrono::milliseconds Downtime);
  /// The servers that have ended so far, for the log of a run.
  const std::vector<std::string> &endedServers() const {
    return m_EndedServers;
  }
  void resetConnections(unsigned Server) {
    m_Servers[Server]->resetConnections();
  }
  /// Replaces the server by another one at the same address.
  void replace(unsigned Index);
  /// Servers that are replaced keep their software version from now on.
  void keepVersions() { m_KeepsVersions = true; }
  /// Replaces the server by one of this software version.
  void replaceAs(unsigned Index, const std::string &Version);
  const std::string &version(unsigned Index) const {
    return m_Servers[Index]->version();
  }
  /// Publishes the server as draining.
  void drain(unsigned Index);
  /// The server says that it is shutting down in its responses, but publishes
  /// nothing.
  void leave(unsigned Index);
  /// Removes the entry of the server, which serves on and writes no more.
  void withdraw(unsigned Index);
  /// \name Entries, for writes that other faults delay.
  /// @{
  /// Writes the entry of the server as published last, with the next heartbeat.
  void beat(unsigned Index);
  /// The entry that beat() would write; its heartbeat counts as used.
  std::string nextEntry(unsigned Index);
  /// Whether the server writes its entry.
  bool isListed(unsigned Index) {
    return !m_ServerIncarnations[Index].State.empty();
  }
  /// The same for a server that runs now.
  bool isListed(const std::string &Id);
  bool isReady(unsigned Index) {
    return m_ServerIncarnations[Index].State == "ready" &&
           !m_ServerIncarnations[Index].Draining &&
           !m_Servers[Index]->hasEnded();
  }
  bool isPlain(unsigned Index) const {
    return m_Servers[Index]->service() == "plain";
  }
  const std::string &serverId(unsigned Index) const {
    return m_Servers[Index]->id();
  }
  /// @}
  /// After the store was restored from a copy: writes the entries of servers
  /// and the configuration again, and removes entries of servers that no longer
  /// run.
  void rewriteEntries();
  /// Writes the next version of the configuration, which moves a route.
  void configure();
  testing::StandInStore &store() { return m_Store; }
  /// @}

  /// Beginning of the ids of all servers at this place, one after the other.
  static std::string serverPrefix(unsigned Index) {
    return "s" + std::to_string(Index) + "-";
  }
  /// Restarts gateways that exited, and reports a violation if they were not
  /// asked to.
  void tick(BootTime Now);
  bool allRunning();

private:
  struct Gateway {
    test::ChildProcess Process;
    Endpoint Callers;
    /// Whether it got SIGTERM or SIGKILL; it may exit only after this.
    bool StopRequested = false;
    BootTime TerminatedAt{};
    /// Shutdown grace in its settings.
    std::chrono::milliseconds Grace{4000};
    /// The longest grace since SIGTERM.
    std::chrono::milliseconds StopLimit{0};
    bool Paused = false;
    bool ExceededMemory = false;
    /// Not before this time, if it ends.
    BootTime RestartAt{};
    unsigned Starts = 0;
  };

  void startGateway(unsigned Index);
  std::filesystem::path writeSettings(unsigned Index);
  void hangUp(unsigned Index, BootTime Now);
  bool startProxy();
  std::string linkFlag(const std::string &Name, const Endpoint &Target) const;
  Endpoint linkAddress(const std::string &Name) const;
  void publish(unsigned ServerIndex, const std::string &State);
  /// Restarts a crashed server after a delay.
  void scheduleReplacement(unsigned Index);
  void startSuccessor(unsigned Index);
  void writeForeignEntries();
  void handleExit(unsigned Index, BootTime Now);
  void checkMemory(unsigned Index);
  void extendStopLimits(BootTime Now);

  boost::asio::io_context &m_Loop;
  InvariantChecker &m_Checker;
  const std::filesystem::path m_Folder;
  testing::StandInStore m_Store;
  std::vector<std::unique_ptr<SoakServer>> m_Servers;
  std::vector<Gateway> m_Gateways;
  std::vector<Endpoint> m_Ports;
  test::ChildProcess m_Proxy;
  std::unique_ptr<PeerRelay> m_Peers;
  std::string m_ProxyControl;
  uint64_t m_Version = 0;
  /// State that a server publishes of its present incarnation.
  struct Incarnation {
    /// Milliseconds since 1970.
    int64_t Started = 1790000000000;
    /// Number of entries that it has written.
    uint64_t Heartbeats = 0;
    /// It was drained and accepts no more work under this id.
    bool Draining = false;
    /// Published last; empty if the entry was removed.
    std::string State = {};
  };
  std::map<unsigned, Incarnation> m_ServerIncarnations;
  unsigned m_IncarnationCount = 0;
  bool m_KeepsVersions = false;
  bool m_ServersEnd = false;
  /// Of the servers that end next.
  std::map<unsigned, std::chrono::milliseconds> m_Downtimes;
  std::vector<std::string> m_EndedServers;
  /// Number of server crashes caused by requests.
  unsigned m_CrashCount = 0;
  BootTime m_LastTick{};
};

} // namespace figlift::soak
