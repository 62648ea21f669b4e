//===- TargetLink.cpp - Connection to one target's agent ------------------===//
//
// See TargetLink.h. Listeners hold a weak pointer to the link, because the link
// owns the channel and the channel owns the listeners.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/TargetLink.h"

#include "figlift-entry/LoadMessage.h"

#include "LibLog/Log.h"

namespace figlift::entry {

class TargetLink::ConnectionListener final : public wire::ChannelListener {
public:
  explicit ConnectionListener(Observer Callbacks)
      : m_Observer(std::move(Callbacks)) {}

  void onState(wire::Channel &, wire::ChannelState State) override {
    m_Observer.OnConnection(State == wire::ChannelState::Up);
  }

private:
  const Observer m_Observer;
};

class TargetLink::SyncListener final : public wire::StreamListener {
public:
  explicit SyncListener(std::weak_ptr<TargetLink> Owner)
      : m_Owner(std::move(Owner)) {}

  void onMessage(std::string_view Message) override {
    if (const auto Owner = m_Owner.lock())
      Owner->onReport(Message);
  }
  void onEnd(wire::StreamEnd) override {}

private:
  const std::weak_ptr<TargetLink> m_Owner;
};

/// Ignores the reply to a Drain request: the agent reports the result in its
/// state.
class TargetLink::DrainReplyListener final : public wire::StreamListener {
public:
  void onMessage(std::string_view) override {}
  void onEnd(wire::StreamEnd) override {}
};

std::shared_ptr<TargetLink> TargetLink::connect(platform::Vm Target,
                                                Dependencies Services,
                                                Observer Callbacks) {
  std::shared_ptr<TargetLink> Link(new TargetLink(
      std::move(Target), std::move(Services), std::move(Callbacks)));
  Link->m_Channel = Link->m_Dependencies.Transport.connect(
      Link->m_Target.Peer,
      std::make_shared<ConnectionListener>(Link->m_Observer));
  return Link;
}

TargetLink::~TargetLink() {
  if (m_Channel)
    m_Channel->close();
}

void TargetLink::openSync(const wire::SyncUp &First) {
  if (m_Sync)
    m_Sync->cancel();
  m_Sync = m_Channel->open(wire::Method::Sync, First.SerializeAsString(),
                           std::make_shared<SyncListener>(weak_from_this()),
                           /*HalfClose=*/false);
}

bool TargetLink::sendSync(const wire::SyncUp &Message) {
  return m_Sync && m_Sync->send(Message.SerializeAsString());
}

void TargetLink::requestDrain(const std::string &Reason, bool Undo) {
  wire::DrainRequest Request;
  Request.set_target(m_Target.Id);
  Request.set_reason(Reason);
  Request.set_undo(Undo);
  Request.set_clock(m_Dependencies.Events.clockToSend());
  m_Channel->open(wire::Method::Drain, Request.SerializeAsString(),
                  std::make_shared<DrainReplyListener>());
}

void TargetLink::onReport(std::string_view Bytes) {
  wire::SyncDown Report;
  if (!Report.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    log::logEvent(log::Level::Warning, "report-malformed",
                  {{"target", m_Target.Id}, {"bytes", Bytes.size()}});
    return;
  }
  m_Dependencies.Events.received(Report.clock());
  m_Dependencies.Gauge->report(loadFromWire(Report.load()), BootClock::now());
  m_Observer.OnReport(Report);
}

} // namespace figlift::entry
