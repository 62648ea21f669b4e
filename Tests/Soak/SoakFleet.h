//===- SoakFleet.h - Gateways, servers and links under faults ---*- C++ -*-===//
//
// Real gateways as processes of their own; between them and the stand-ins of
// the platform a fault proxy, also a process. Faults come from outside only:
// links, signals, the store's and the servers' behaviour, what the operator
// writes. Everything that is started here is ended by its process id.
//
//===----------------------------------------------------------------------===//

#pragma once

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

/// Of a gateway to the store, of callers to a gateway, of all to a server.
enum class Link { Store, Callers, Server };

enum class LinkFault { Cut, Freeze, LoseRequests, LoseAnswers, Delay, Mended };

class SoakFleet {
public:
  /// \p Folder takes logs and settings.
  SoakFleet(boost::asio::io_context &Loop, PromiseBook &Book, uint64_t Seed,
            unsigned Gateways, std::filesystem::path Folder);

  /// False when the proxy or a gateway could not be started.
  bool start();
  std::vector<Door> doors() const;
  unsigned gateways() const { return static_cast<unsigned>(m_Gateways.size()); }
  unsigned servers() const { return static_cast<unsigned>(m_Servers.size()); }
  std::string gatewayName(unsigned Which) const;

  /// \name Faults. Those that last go on until mended.
  /// @{
  void signal(unsigned Gateway, Signal Which);
  void wake(unsigned Gateway);
  void setLink(Link Which, unsigned Of, LinkFault How);
  void behave(unsigned Server, Manner How) { m_Servers[Server]->behave(How); }
  /// Crashes and comes back as another server at the same address.
  void replace(unsigned Server);
  /// Says that it leaves.
  void drain(unsigned Server);
  /// The store came back from a copy: servers and operator write theirs again,
  /// and servers that are gone are taken away again.
  void writeAgain();
  /// Routes move: the next version of the configuration.
  void configure();
  testing::StandInStore &store() { return m_Store; }
  /// @}

  /// Starts what has ended; says so in the book if nobody asked it to end.
  void tick(BootTime Now);
  bool allRun();

private:
  struct Gateway {
    test::ChildProcess Process;
    Endpoint Callers;
    /// What it was told last, and when; it may end by itself only after this.
    bool ToldToEnd = false;
    BootTime TerminatedAt{};
    /// In its settings.
    std::chrono::milliseconds Grace{4000};
    /// The longest since SIGTERM.
    std::chrono::milliseconds StopLimit{0};
    bool Paused = false;
    unsigned Starts = 0;
  };

  void startGateway(unsigned Which);
  std::filesystem::path writeSettings(unsigned Which);
  void hangUp(unsigned Which, BootTime Now);
  bool startProxy();
  std::string linkFlag(const std::string &Name, const Endpoint &Target) const;
  Endpoint linkAddress(const std::string &Name) const;
  void list(unsigned Server, const std::string &State);
  /// It starts again some time after it has crashed.
  void comeBack(unsigned Server);
  void writeForeignEntries();
  void ended(unsigned Which, BootTime Now);
  void allowForStandstill(BootTime Now);

  boost::asio::io_context &m_Loop;
  PromiseBook &m_Book;
  const std::filesystem::path m_Folder;
  testing::StandInStore m_Store;
  std::vector<std::unique_ptr<SoakServer>> m_Servers;
  std::vector<Gateway> m_Gateways;
  std::vector<Endpoint> m_Ports;
  test::ChildProcess m_Proxy;
  std::string m_ProxyControl;
  uint64_t m_Version = 0;
  /// What a server says of its present start.
  struct Life {
    /// Milliseconds since 1970.
    int64_t Started = 1790000000000;
    /// Entries that it has written.
    uint64_t Heartbeats = 0;
    /// It has been drained, and never takes work again under this id.
    bool Leaves = false;
  };
  std::map<unsigned, Life> m_Life;
  unsigned m_Incarnations = 0;
  /// Servers that requests have crashed.
  unsigned m_Crashes = 0;
  BootTime m_LastTick{};
};

} // namespace figlift::soak
