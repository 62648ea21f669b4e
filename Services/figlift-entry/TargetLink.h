//===- TargetLink.h - Connection to one target's agent ----------*- C++ -*-===//
//
// The channel to an agent with its Sync stream, and the load gauge and health
// of the target for the request path.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlatform/Platform.h"
#include "LibRetry/TargetHealth.h"
#include "LibRoute/TargetGauge.h"
#include "LibTimeline/Timeline.h"
#include "LibWire/Messages.pb.h"
#include "LibWire/Wire.h"

#include <functional>
#include <memory>
#include <string>

namespace figlift::entry {

/// Shared by the fleet and all attempts at the target. The channel is closed
/// with the last reference, so that no request is interrupted when the target
/// leaves the subset.
class TargetLink : public std::enable_shared_from_this<TargetLink> {
public:
  /// Called on I/O threads.
  struct Observer {
    std::function<void(bool Up)> OnConnection;
    std::function<void(const wire::SyncDown &)> OnReport;
  };
  struct Dependencies {
    wire::Client &Transport;
    timeline::Timeline &Events;
    std::shared_ptr<route::TargetGauge> Gauge;
    std::shared_ptr<retry::TargetHealth> Health;
  };

  static std::shared_ptr<TargetLink>
  connect(platform::Vm Target, Dependencies Services, Observer Callbacks);
  ~TargetLink();

  const platform::Vm &target() const { return m_Target; }
  wire::Channel &channel() { return *m_Channel; }
  const std::shared_ptr<wire::Channel> &sharedChannel() const {
    return m_Channel;
  }
  route::TargetGauge &gauge() { return *m_Dependencies.Gauge; }
  retry::TargetHealth &health() { return *m_Dependencies.Health; }

  /// Replaces the Sync stream by a new one that starts with \p First. Control
  /// thread only, like sendSync().
  void openSync(const wire::SyncUp &First);
  /// Returns false when there is no Sync stream.
  bool sendSync(const wire::SyncUp &Message);
  /// Asks the agent to drain, or to resume work if \p Undo is set. Thread-safe.
  void requestDrain(const std::string &Reason, bool Undo = false);

private:
  class ConnectionListener;
  class SyncListener;
  class DrainReplyListener;

  TargetLink(platform::Vm Target, Dependencies Services, Observer Callbacks)
      : m_Target(std::move(Target)), m_Dependencies(std::move(Services)),
        m_Observer(std::move(Callbacks)) {}

  void onReport(std::string_view Bytes);

  const platform::Vm m_Target;
  const Dependencies m_Dependencies;
  const Observer m_Observer;
  std::shared_ptr<wire::Channel> m_Channel;
  std::shared_ptr<wire::Stream> m_Sync;
};

} // namespace figlift::entry
