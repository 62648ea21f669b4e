//===- Gateway.h - The process that stands before the servers ---*- C++ -*-===//
//
// Wires the parts: listens for callers, follows the configuration and the list
// of servers, answers whether it is ready, and stops without cutting requests.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "CacheDiscovery.h"
#include "Context.h"
#include "OutputWriter.h"
#include "PeerLink.h"
#include "PeerList.h"
#include "SettingsFile.h"
#include "StageDirector.h"
#include "StoreFollower.h"
#include "TextServer.h"

#include "LibDispatch/ServerJournal.h"
#include "LibProxy/CallerConnection.h"
#include "platform/StoreTable.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace figlift::gateway {

class Gateway : public proxy::RequestHandler {
public:
  Gateway(settings::GatewaySettings Given, OutputWriter &Output,
          std::string SettingsFile);

  Result<void> start();
  /// Returns when the process has stopped.
  void run();
  /// Ends run() at once; from any thread.
  void interrupt() { m_Shared.Loop.stop(); }

  std::shared_ptr<proxy::RequestProcess>
  handle(proxy::Request What,
         std::shared_ptr<proxy::CallerConnection> Caller) override;
  proxy::Rejection rejected(unsigned Status) override;
  void closed(proxy::CallerConnection &Caller) override;

private:
  Result<void> listen();
  void describeMetrics();
  void describeServices();
  void noteFigures(BootTime Now);
  void accept();
  bool ready() const;
  StoreFollower::Listener configurationListener();
  StoreFollower::Listener serverListener();
  void configurationRead(const slopes::RowsRead &Read, BootTime KnownAt);
  void configurationKnown(BootTime KnownAt);
  void putIntoForce(dispatch::Configuration Newer,
                    const slopes::AnswerCost &Cost);
  std::optional<dispatch::Target> readServer(const slopes::StoreRow &Row);
  void allServers(const slopes::RowsRead &Read, BootTime KnownAt);
  void changedServers(const slopes::RowsRead &Read, BootTime KnownAt);
  /// The store has forgotten what was written in the last seconds of the era
  /// before, and gives its versions out again.
  void storeCameBack(uint64_t EraBefore);
  /// Tells the peers what was just read in the store, unless one of them has
  /// told as much.
  void tellStoreNews();
  void storeNewsHeard(const dispatch::StoreUpdate &News);
  void apply(const std::vector<dispatch::TargetEvent> &Events);
  void targetCame(const dispatch::Target &Which);
  void targetGone(const std::string &Id);
  void limitPools();
  /// Which part of each server's limit is this gateway's.
  void shareLimits(BootTime Now);
  void scheduleTick();
  void tick();
  /// \p Delay: from when the loop should have called tick() to when it did.
  void noteDelay(BootClock::duration Delay);
  void watchSignals();
  void watchSettings(BootTime Now);
  void reloadSettings(const std::string &Text);
  /// From SIGTERM to the kill, as in force.
  std::chrono::milliseconds grace() const;
  void stop();
  void stopTick(BootTime Now);
  /// Connections with a request at hand.
  size_t busyCallers() const;

  Context m_Shared;
  OutputWriter &m_Output;
  SettingsFile m_SettingsFile;
  /// When the file was last looked at.
  BootTime m_SettingsSeen{};
  uint64_t m_Reloads = 0;
  uint64_t m_RefusedEntries = 0;
  slopes::StoreClient m_Store;
  StoreFollower m_ConfigurationFollower;
  StoreFollower m_ServerFollower;
  slopes::StoreTable m_Leases;
  PeerList m_Peers;
  PeerLink m_PeerLink;
  StageDirector m_Stages;
  CacheDiscovery m_Caches;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptTimer;
  TextServer m_ReadyServer;
  TextServer m_MetricsServer;
  boost::asio::signal_set m_Signals;
  boost::asio::steady_timer m_TickTimer;
  std::set<proxy::CallerConnection *> m_Callers;
  BootTime m_LastTick{};
  /// SIGTERM is noticed after the tick that ends a standstill, so it may have
  /// come at any time since the one before.
  BootTime m_TickBefore{};
  /// Sum of the delays of all ticks.
  BootClock::duration m_Delays{};
  bool m_ServersKnown = false;
  /// What is known of the servers, as of when, to tell peers.
  dispatch::ServerJournal m_ServerJournal;
  /// Of the text of the configuration that was decoded last.
  size_t m_ConfigurationDigest = 0;
  unsigned m_ConfigurationsBeingDecoded = 0;
  /// The configuration in force was the newest one then.
  BootTime m_ConfigurationKnownAt{};
  /// Newest version that this gateway or a peer has told.
  uint64_t m_ConfigurationTold = 0;
  /// \name As of when peers knew what they told.
  /// @{
  BootTime m_ServersToldAt{};
  BootTime m_ConfigurationToldAt{};
  /// @}
  /// Learned cost of reading a thousand tokens as told last, by service.
  std::map<std::string, dispatch::Milliseconds> m_FiguresTold;
};

} // namespace figlift::gateway
