//===- Http2Channel.cpp - Channel that reconnects by itself ---------------===//
//
// Reconnects with backoff and reports the channel's state to its listener.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Http2Channel.h"

#include <algorithm>

namespace figlift::wire {

Http2Channel::Http2Channel(std::shared_ptr<Loop> Owner, Endpoint Peer,
                           const ClientOptions &Options, uint64_t Seed,
                           std::shared_ptr<TrafficCounters> Counters,
                           std::shared_ptr<ChannelListener> Listener)
    : m_Loop(std::move(Owner)), m_Peer(std::move(Peer)), m_Options(Options),
      m_Counters(std::move(Counters)), m_Listener(std::move(Listener)),
      m_Random(Seed) {}

Http2Channel::~Http2Channel() {
  // The loop also holds the connections: without this they would stay open,
  // with heartbeats, until the client is destroyed.
  if (m_Current)
    m_GoingAway.push_back(std::move(m_Current));
  if (!m_GoingAway.empty())
    m_Loop->post([Connections = std::move(m_GoingAway)] {
      for (const auto &Connection : Connections)
        Connection->cancelAll();
    });
}

std::shared_ptr<Stream>
Http2Channel::open(Method RequestMethod, std::string FirstMessage,
                   std::shared_ptr<StreamListener> Listener, bool HalfClose) {
  StreamLimits Limits{m_Options.MaximumMessageBytes,
                      m_Options.MaximumQueuedBytesPerStream};
  auto NewStream = std::make_shared<Http2Stream>(m_Loop, Limits, Listener);
  bool Fits = NewStream->reserve(FirstMessage.size());
  if (Fits)
    NewStream->append(FirstMessage);
  if (HalfClose)
    NewStream->finishAfterOutput();
  bool Posted =
      m_Loop->post([Self = shared_from_this(), NewStream, RequestMethod, Fits] {
        if (Fits)
          Self->openOnLoop(NewStream, RequestMethod);
        else
          NewStream->end(StreamEnd::NeverSent);
      });
  if (!Posted)
    NewStream->end(StreamEnd::NeverSent);
  return NewStream;
}

void Http2Channel::openOnLoop(const std::shared_ptr<Http2Stream> &NewStream,
                              Method RequestMethod) {
  if (!m_Current || !m_Current->open(NewStream, RequestMethod))
    NewStream->end(StreamEnd::NeverSent);
}

void Http2Channel::start() {
  m_Loop->post([Self = shared_from_this()] { Self->connect(); });
}

void Http2Channel::close() {
  m_Loop->post([Self = shared_from_this()] { Self->closeOnLoop(); });
}

void Http2Channel::closeOnLoop() {
  if (std::exchange(m_Closed, true))
    return;
  auto Connections = std::exchange(m_GoingAway, {});
  if (auto Current = std::exchange(m_Current, nullptr))
    Connections.push_back(std::move(Current));
  for (auto &Connection : Connections)
    Connection->cancelAll();
  updateState();
  m_Listener.reset();
}

void Http2Channel::connect() {
  if (m_Closed || m_Current)
    return;
  ++m_Attempts;
  ConnectionOptions Options{
      m_Options.HeartbeatInterval,
      m_Options.HeartbeatTimeout,
      {m_Options.MaximumMessageBytes, m_Options.MaximumQueuedBytesPerStream}};
  m_Current = ClientConnection::start(m_Loop, m_Peer, m_Options.ConnectTimeout,
                                      Options, m_Counters, weak_from_this());
  if (m_Current)
    return;
  m_AttemptFinished = true;
  updateState();
  scheduleReconnect();
}

LoopClock::duration Http2Channel::backoff() {
  // Half of the delay is random. After a restart of the peer its channels would
  // otherwise reconnect in lockstep on every attempt.
  auto Delay =
      m_Options.ReconnectMinimum * (int64_t{1} << std::min(m_Attempts, 16u));
  Delay = std::min(Delay, m_Options.ReconnectMaximum);
  std::uniform_real_distribution<double> Fraction(0.5, 1.0);
  return std::chrono::duration_cast<LoopClock::duration>(Delay *
                                                         Fraction(m_Random));
}

void Http2Channel::scheduleReconnect() {
  if (m_Closed)
    return;
  m_Loop->after(backoff(), [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->connect();
  });
}

void Http2Channel::onConnectionUp(ClientConnection &Source) {
  if (&Source != m_Current.get())
    return;
  m_AttemptFinished = true;
  m_ConnectedAt = LoopClock::now();
  updateState();
}

void Http2Channel::onConnectionGoingAway(ClientConnection &Source) {
  if (&Source != m_Current.get())
    return;
  m_GoingAway.push_back(std::exchange(m_Current, nullptr));
  recordConnectionEnd(Source);
  updateState();
  scheduleReconnect();
}

void Http2Channel::recordConnectionEnd(const ClientConnection &Source) {
  m_AttemptFinished = true;
  // Only a connection that stayed up for a while resets the backoff, so that a
  // peer that crashes right after each accept is not redialed at full speed.
  if (Source.wasUp() &&
      LoopClock::now() - m_ConnectedAt > m_Options.ReconnectMaximum)
    m_Attempts = 0;
}

void Http2Channel::onConnectionClosed(ClientConnection &Source) {
  std::erase_if(m_GoingAway,
                [&](auto &Connection) { return Connection.get() == &Source; });
  if (&Source == m_Current.get()) {
    recordConnectionEnd(Source);
    m_Current.reset();
    scheduleReconnect();
  }
  updateState();
}

void Http2Channel::updateState() {
  ChannelState Next = ChannelState::Down;
  if (m_Closed)
    Next = ChannelState::Down;
  else if (m_Current && m_Current->usable())
    Next = ChannelState::Up;
  else if (!m_GoingAway.empty())
    Next = ChannelState::GoingAway;
  else if (!m_AttemptFinished)
    Next = ChannelState::Connecting;
  if (m_State.exchange(Next) != Next && m_Listener)
    m_Listener->onState(*this, Next);
}

} // namespace figlift::wire
