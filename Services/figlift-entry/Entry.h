//===- Entry.h - The entry process ------------------------------*- C++ -*-===//
//
// Creates and connects the components of an entry, and shuts them down in order
// when the process stops.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/CallContext.h"
#include "figlift-entry/CallerApi.h"
#include "figlift-entry/Fleet.h"
#include "figlift-entry/HomeReader.h"
#include "figlift-entry/OperatorApi.h"
#include "figlift-entry/PeerConfiguration.h"
#include "figlift-entry/PeerServer.h"
#include "figlift-entry/PlannerHost.h"

#include "LibConfig/ConfigService.h"
#include "LibHttp/Server.h"
#include "LibPlatform/HttpPlatform.h"
#include "LibSettings/Settings.h"

#include <memory>

namespace figlift::entry {

class Entry {
public:
  /// Starts all components. The listeners are bound when this returns.
  static Result<std::unique_ptr<Entry>>
  create(const settings::EntrySettings &Settings);
  ~Entry();

  /// Refuses new requests, waits for the requests in flight up to the drain
  /// timeout and stops all components. Returns false when requests were
  /// interrupted.
  bool shutDown();

private:
  explicit Entry(const settings::EntrySettings &Settings);

  Result<void> openPlatform();
  Result<void> openTransport();
  void followConfiguration();
  void serveOperators();
  Result<void> listenToPeers();
  Result<void> listenToCallers();
  void onServing(std::optional<config::follower::StopReason> Stopped);
  Result<void> ready() const;
  void registerMetrics();
  uint64_t controlBytes() const;
  /// Null until a configuration has been received.
  config::SnapshotPointer servingConfiguration() const;
  bool requestDrain(const std::string &Target, bool Undo) const;
  bool waitForRequests() const;
  void stopPlanner();

  const settings::EntrySettings m_Settings;
  timeline::Timeline m_Events;
  metrics::Registry m_Metrics;
  CallMetrics m_CallMetrics{m_Metrics};
  UuidGenerator m_Ids;
  retry::RetryBudget m_Budget;
  WorkspaceTracker m_Workspaces;
  const retry::RetrySettings m_RetryOptions;
  const route::Policy m_Routing;
  ServingStatePointer m_State;
  /// Runs control tasks and polls.
  EventLoop m_Control;
  /// Runs deadlines and retries of requests. Separate from m_Control, so that
  /// building a routing table does not delay them.
  EventLoop m_Timers;
  std::unique_ptr<platform::HttpPlatform> m_Platform;
  std::unique_ptr<wire::Client> m_Transport;
  std::unique_ptr<Fleet> m_Fleet;
  std::unique_ptr<PeerConfiguration> m_Peers;
  std::unique_ptr<HomeReader> m_Homes;
  std::unique_ptr<config::ConfigService> m_Configuration;
  std::unique_ptr<PlannerHost> m_Planner;
  std::unique_ptr<EntryStatusProvider> m_Status;
  std::unique_ptr<config::OperatorService> m_Operators;
  std::unique_ptr<CallContext> m_Calls;
  std::unique_ptr<wire::Server> m_PeerServer;
  std::unique_ptr<http::Server> m_Callers;
  std::atomic<bool> m_IsShuttingDown{false};
};

} // namespace figlift::entry
