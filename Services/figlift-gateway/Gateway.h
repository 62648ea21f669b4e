//===- Gateway.h - The gateway process --------------------------*- C++ -*-===//
//
// Connects the components: accepts callers, follows the configuration and the
// server list, reports readiness, and shuts down without interrupting requests.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "CacheDiscovery.h"
#include "Context.h"
#include "OutputWriter.h"
#include "PeerLink.h"
#include "PeerList.h"
#include "SettingsFile.h"
#include "SpareDescriptor.h"
#include "StageDirector.h"
#include "StoreFollower.h"
#include "TextServer.h"
#include "UsageDirector.h"
#include "VersionRecorder.h"

#include "LibDispatch/AcceptControl.h"
#include "LibDispatch/DescriptorShares.h"
#include "LibDispatch/ServerJournal.h"
#include "LibDispatch/ServerList.h"
#include "LibProxy/CallerConnection.h"
#include "platform/StoreTable.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace figlift::gateway {

class RequestFlow;

class Gateway : public proxy::RequestHandler {
public:
  Gateway(settings::GatewaySettings Settings, OutputWriter &Output,
          std::string SettingsFile);

  Result<void> start();
  /// Returns when the process has stopped.
  void run();
  /// Makes run() return at once; may be called from any thread.
  void interrupt() { m_Shared.Loop.stop(); }

  std::shared_ptr<proxy::ActiveRequest>
  handle(proxy::Request Request,
         std::shared_ptr<proxy::CallerConnection> Caller) override;
  proxy::ErrorResponse rejected(unsigned Status) override;
  proxy::CallerLimits limits() const override;
  MemoryBudget *memory() override { return &m_Shared.Memory; }
  void closed(proxy::CallerConnection &Caller) override;
  void recordClose(const proxy::CloseReport &Report);

private:
  Result<void> listen();
  void describeMetrics();
  void describeServices();
  void logEngineCosts(BootTime Now);
  void accept();
  bool ready() const;
  StoreFollower::Listener configurationListener();
  StoreFollower::Listener serverListener();
  void configurationRead(const slopes::RowsRead &Read, BootTime KnownAt);
  void configurationKnown(BootTime KnownAt);
  void activateConfiguration(dispatch::Configuration Newer,
                             const slopes::ResponseCost &Cost);
  std::optional<dispatch::Target> readServer(const slopes::StoreRow &Row);
  void storeRowsRefused(const std::string &Table, const slopes::RowsRead &Read);
  void serverListRead(const slopes::RowsRead &Read, BootTime KnownAt);
  void serverChangesRead(const slopes::RowsRead &Read, BootTime KnownAt);
  void entriesRead(const std::vector<dispatch::ServerChange> &Rows,
                   dispatch::VersionConfirmation::Read Kind, BootTime KnownAt);
  /// Applies what was read or announced to the servers that are used.
  void serversListed(const dispatch::ListUpdate &Update);
  /// What removals mean that are read now.
  dispatch::Removals removalsNow() const;
  /// The store was restored from a copy: writes of the last seconds of the
  /// previous era are lost, and their version numbers are assigned again.
  void storeRestored(uint64_t EraBefore);
  /// Announces the last known state of the store to the peers, unless a peer
  /// has announced the same.
  void announceStoreState();
  void storeUpdateReceived(const dispatch::StoreUpdate &Update);
  /// The list of servers is known as of a later time.
  void serversKnown();
  void apply(const std::vector<dispatch::TargetEvent> &Events);
  /// The server has said in a response that it is shutting down.
  void targetShutsDown(const dispatch::ServerStart &Server);
  void targetAdded(const dispatch::Target &Target);
  void targetRemoved(const std::string &Id);
  void limitPools();
  void limitPools(const dispatch::Service &Service, size_t Sharing);
  /// Computes this gateway's share of each server's request limit.
  void shareLimits(BootTime Now);
  void scheduleTick();
  void tick();
  /// \p Delay is how much later than scheduled the loop called tick().
  void recordLoopDelay(BootClock::duration Delay);
  /// How late the next call of tick() is by now.
  BootClock::duration loopDelay() const;
  void startCaller(boost::asio::ip::tcp::socket Socket);
  void accepted(boost::asio::ip::tcp::socket Socket);
  void acceptWaiting();
  /// \name Connections and file descriptors.
  /// @{
  static dispatch::DescriptorShares
  descriptorShares(const settings::GatewayProcess &Process);
  void admit(boost::asio::ip::tcp::socket Socket);
  bool rejectWaiting();
  bool isBeyondShare(const proxy::CallerConnection &Caller);
  void rejectForRoom(const proxy::Request &Request,
                     proxy::CallerConnection &Caller);
  /// @}
  /// \name The end of a stall: requests that are found start after the signals
  /// that came meanwhile have been handled, one of which may be SIGTERM.
  /// @{
  void catchUpIfLate();
  void catchUp(size_t TurnsLeft);
  size_t openSockets() const;
  /// @}
  void logClosedConnections(BootTime Now);
  void watchSignals();
  void watchSettings(BootTime Now);
  void reloadSettings(const std::string &Text);
  /// Time from SIGTERM to SIGKILL, by the current settings.
  std::chrono::milliseconds grace() const;
  void stop();
  void stopTick(BootTime Now);
  /// Connections that have a request in progress.
  size_t busyCallers() const;

  Context m_Shared;
  OutputWriter &m_Output;
  SettingsFile m_SettingsFile;
  /// When the settings file was last checked.
  BootTime m_SettingsCheckedAt{};
  uint64_t m_Reloads = 0;
  uint64_t m_RejectedEntries = 0;
  /// Rows of all tables, once for each response that has them.
  uint64_t m_RefusedStoreRows = 0;
  /// Servers whose shutdown became known from a response first.
  uint64_t m_AnnouncedShutdowns = 0;
  /// Requests whose callers had left before they were read.
  uint64_t m_AbandonedRequests = 0;
  slopes::StoreClient m_Store;
  StoreFollower m_ConfigurationFollower;
  StoreFollower m_ServerFollower;
  slopes::StoreTable m_Leases;
  VersionRecorder m_Versions;
  PeerList m_Peers;
  PeerLink m_PeerLink;
  StageDirector m_Stages;
  slopes::StoreTable m_UsageRecords;
  UsageDirector m_Usage;
  CacheDiscovery m_Caches;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptTimer;
  TextServer m_ReadyServer;
  TextServer m_MetricsServer;
  boost::asio::signal_set m_Signals;
  boost::asio::steady_timer m_TickTimer;
  std::set<proxy::CallerConnection *> m_Callers;
  /// Those of m_Callers whose next request is rejected if there is still no
  /// room for them in the share of callers.
  std::set<const proxy::CallerConnection *> m_BeyondShare;
  const dispatch::DescriptorShares m_Descriptors =
      descriptorShares(m_Shared.Settings.Process);
  SpareDescriptor m_Spare{m_Shared.Loop};
  /// \name Connections that were rejected: as callers have their share of the
  /// descriptors, and as there was no descriptor.
  /// @{
  uint64_t m_RejectedAtBound = 0;
  uint64_t m_RejectedWithoutDescriptor = 0;
  uint64_t m_RejectedLogged = 0;
  /// @}
  dispatch::AcceptControl m_AcceptControl;
  bool m_IsCatchingUp = false;
  /// Requests that start when m_IsCatchingUp ends; empty otherwise.
  std::vector<std::shared_ptr<RequestFlow>> m_Postponed;
  BootTime m_ClosedConnectionsLoggedAt{};
  BootTime m_LastTick{};
  /// SIGTERM is handled after the tick that ends a stall, so it may have
  /// arrived at any time since the previous tick.
  BootTime m_PreviousTick{};
  bool m_ServersKnown = false;
  /// Processes that share the retry budget, as last logged.
  size_t m_BudgetSharedBy = 0;
  /// When this process read the list of servers last.
  BootTime m_ServersReadAt{};
  /// \name Inputs of the limits of the pools when these were set last.
  /// @{
  size_t m_PoolsSharedBy = 0;
  bool m_PoolLimitsStale = true;
  /// @}
  /// What the store lists; m_Shared.Targets has what is used.
  dispatch::ServerList m_Servers;
  /// Recent changes of the server list and the time as of which it is known,
  /// for announcements to peers.
  dispatch::ServerJournal m_ServerJournal;
  /// Hash of the configuration text that was decoded last.
  size_t m_ConfigurationDigest = 0;
  unsigned m_ConfigurationsBeingDecoded = 0;
  /// Time as of which the configuration in force is known to be the newest.
  BootTime m_ConfigurationKnownAt{};
  /// Newest version that this gateway or a peer has announced.
  uint64_t m_AnnouncedConfiguration = 0;
  /// \name Time as of which the state that peers announced was current.
  /// @{
  BootTime m_ServersAnnouncedAt{};
  BootTime m_ConfigurationAnnouncedAt{};
  /// @}
  /// Learned prefill cost per thousand tokens as logged last, by service.
  std::map<std::string, dispatch::Milliseconds> m_LoggedPrefillCosts;
};

} // namespace figlift::gateway
