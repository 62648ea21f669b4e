//===- Agent.h - Components of the agent and their lifecycle ----*- C++ -*-===//
//
// Dispatches requests from peers to the components, decides whether new work is
// accepted and shuts the agent down. Members run on the event loop's thread
// unless documented otherwise.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Availability.h"
#include "Completions.h"
#include "Configuration.h"
#include "FrameSender.h"
#include "Orders.h"
#include "PeerServer.h"
#include "SliceManager.h"
#include "Snapshot.h"
#include "SyncReporter.h"

#include "LibPlatform/HttpPlatform.h"

#include <memory>
#include <vector>

namespace figlift::agent {

class Agent final : public PeerHandler {
public:
  /// Binds the peer port before anything else, so that the agent does nothing
  /// while a predecessor in its slot still holds the port.
  static Result<std::unique_ptr<Agent>> create(Context Shared);

  void start();
  /// Graceful shutdown: drains, hands slices over, closes the peers' streams
  /// and stops the event loop.
  void stop();
  /// Closes all connections. Call it after the event loop has stopped.
  void close() { m_Server->server().stop(); }
  /// Bytes exchanged for control work. Thread-safe.
  uint64_t controlBytes() const;
  const SnapshotHolder &snapshots() const { return m_Snapshots; }

  void onRun(StreamId Stream, wire::RunRequest Request) override;
  void onResume(StreamId Stream, wire::ResumeRequest Request) override;
  void onOrder(StreamId Stream, wire::OrderRequest Request) override;
  void onSync(StreamId Stream, wire::SyncUp Message) override;
  void onDrain(StreamId Stream, wire::DrainRequest Request) override;
  void onHandover(StreamId Stream, wire::HandoverRequest Request) override;
  void onConfiguration(StreamId Stream,
                       wire::ConfigurationRequest Request) override;
  void onStreamEnd(StreamId Stream, wire::StreamEnd End) override;

private:
  enum class StopStage { Running, Draining, ClosingStreams };

  explicit Agent(Context Shared) : m_Shared(Shared) {}
  Result<void> createComponents();
  void createEngineComponents();
  void createServiceComponents();
  /// Runs \p Task every \p Period and counts its CPU time as control work.
  void scheduleControlTask(std::chrono::milliseconds Period,
                           void (Agent::*Task)());

  void dispatch(StreamId Stream, wire::RunRequest Request);
  Error cannotServe(const wire::RunRequest &Request) const;
  bool misdirected(const wire::RunRequest &Request) const;
  void configurationChanged();
  /// Revision of the configuration that last changed this target's record; 0 if
  /// there is no record.
  uint64_t recordRevision() const;
  void availabilityChanged();
  void setDrainReason(DrainReason Reason, bool Active);
  void answerDrains();
  void tick();
  void slowTick();
  void stopTick();
  bool awaitsHandovers(BootClock::duration SinceStop) const;
  void closeStreams();
  wire::Load currentLoad() const;
  wire::SyncDown createReport() const;
  void publish();
  /// Requests whose answer has not been delivered completely.
  size_t unfinishedRequests() const;

  Context m_Shared;
  Availability m_Availability;
  SnapshotHolder m_Snapshots;
  std::unique_ptr<PeerServer> m_Server;
  std::unique_ptr<platform::HttpPlatform> m_Platform;
  std::unique_ptr<PeerClient> m_Client;
  std::unique_ptr<target::Engine> m_Engine;
  std::unique_ptr<target::Service> m_Service;
  std::unique_ptr<Fleet> m_Fleet;
  std::unique_ptr<AdmissionGate> m_Gate;
  std::unique_ptr<FrameSender> m_Frames;
  std::unique_ptr<Configuration> m_Configuration;
  std::unique_ptr<SyncReporter> m_SyncReporter;
  PrefixCache m_Prefixes;
  /// Only if the target is an engine.
  std::unique_ptr<Completions> m_Completions;
  std::unique_ptr<Orders> m_Orders;
  /// Only if the target is a plain service.
  std::unique_ptr<SliceManager> m_Slices;
  std::unique_ptr<ServiceCalls> m_Calls;
  /// Streams of the Drain method whose reply is due when the drain ends.
  std::vector<StreamId> m_DrainStreams;
  /// recordRevision() when an entry last sent a Drain request.
  uint64_t m_RecordRevisionAtPeerDrain = 0;
  uint64_t m_KvTokensFree = 0;
  uint64_t m_CacheSequence = 0;
  StopStage m_StopStage = StopStage::Running;
  BootTime m_StopStartedAt{};
  BootTime m_ClosingStartedAt{};
};

} // namespace figlift::agent
