//===- Agent.h - All parts of the agent put together ------------*- C++ -*-===//
//
// Routes peers' requests to the parts, decides whether new work is taken and
// brings the agent to its end. Everything runs on the loop's thread.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Answering.h"
#include "Completions.h"
#include "Configuration.h"
#include "Orders.h"
#include "PeerServer.h"
#include "SliceKeeper.h"
#include "Snapshot.h"
#include "Standing.h"
#include "Syncs.h"

#include "LibPlatform/HttpPlatform.h"

#include <memory>
#include <vector>

namespace figlift::agent {

class Agent final : public PeerHandler {
public:
  /// Binds the peer port first: nothing else may happen before.
  static Result<std::unique_ptr<Agent>> create(Context Shared);

  void start();
  /// Graceful stop: drains, hands over, says goodbye, ends the loop.
  void stop();
  /// Closes all connections; after the loop has ended.
  void close() { m_Server->server().stop(); }
  /// Bytes exchanged for control work; any thread.
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
  enum class StopStage { Running, Draining, Goodbye };

  explicit Agent(Context Shared) : m_Shared(Shared) {}
  Result<void> connectParts();
  void makeEngineParts();
  void makeServiceParts();
  /// Runs \p What each \p Period and counts its CPU time as control work.
  void everyControl(std::chrono::milliseconds Period, void (Agent::*What)());

  void dispatch(StreamId Stream, wire::RunRequest Request);
  Error cannotServe(const wire::RunRequest &Request) const;
  bool misdirected(const wire::RunRequest &Request) const;
  void configurationChanged();
  /// Revision that wrote the record of this target; 0 without one.
  uint64_t recordRevision() const;
  void standingChanged();
  void setReason(DrainReason Why, bool On);
  void answerDrains();
  void tick();
  void slowTick();
  void stopTick();
  bool stillMoving(BootClock::duration Age) const;
  void sayGoodbye();
  wire::Load load() const;
  wire::SyncDown report() const;
  void publish();
  /// Requests whose caller has not got everything yet.
  size_t unfinished() const;

  Context m_Shared;
  Standing m_Standing;
  SnapshotHolder m_Snapshots;
  std::unique_ptr<PeerServer> m_Server;
  std::unique_ptr<platform::HttpPlatform> m_Platform;
  std::unique_ptr<PeerClient> m_Client;
  std::unique_ptr<target::Engine> m_Engine;
  std::unique_ptr<target::Service> m_Service;
  std::unique_ptr<Fleet> m_Fleet;
  std::unique_ptr<Gate> m_Gate;
  std::unique_ptr<Answering> m_Answering;
  std::unique_ptr<Configuration> m_Configuration;
  std::unique_ptr<Syncs> m_Syncs;
  PrefixCache m_Prefixes;
  /// Of an engine's agent.
  std::unique_ptr<Completions> m_Completions;
  std::unique_ptr<Orders> m_Orders;
  /// Of a service's agent.
  std::unique_ptr<SliceKeeper> m_Slices;
  std::unique_ptr<ServiceCalls> m_Calls;
  /// Streams of the Drain method that wait for the end of the drain.
  std::vector<StreamId> m_Drains;
  /// Of this target's record when an entry asked for a drain; 0: none.
  uint64_t m_RecordAtPeerRequest = 0;
  uint64_t m_KvTokensFree = 0;
  uint64_t m_CacheSequence = 0;
  StopStage m_Stage = StopStage::Running;
  BootTime m_StopBegan{};
  BootTime m_GoodbyeBegan{};
};

} // namespace figlift::agent
