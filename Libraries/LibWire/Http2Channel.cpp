//===- Http2Channel.cpp - A connection that restores itself ---------------===//
//
// Reconnects, and tells the listener of the channel's state.
//
//===----------------------------------------------------------------------===//

#include "LibWire/Http2Channel.h"

#include <algorithm>

namespace figlift::wire {

Http2Channel::Http2Channel(std::shared_ptr<Loop> Owner, Endpoint Peer,
                           const ClientOptions &Options, uint64_t Seed,
                           std::shared_ptr<Traffic> Counter,
                           std::shared_ptr<ChannelListener> Listener)
    : m_Loop(std::move(Owner)), m_Peer(std::move(Peer)), m_Options(Options),
      m_Traffic(std::move(Counter)), m_Listener(std::move(Listener)),
      m_Random(Seed) {}

Http2Channel::~Http2Channel() {
  // The loop holds the connections, too: without this they would stay open,
  // heartbeats and all, until the client ends.
  if (m_Current)
    m_Leaving.push_back(std::move(m_Current));
  if (!m_Leaving.empty())
    m_Loop->post([Left = std::move(m_Leaving)] {
      for (const auto &Each : Left)
        Each->cancelAll();
    });
}

std::shared_ptr<Stream>
Http2Channel::open(Method What, std::string FirstMessage,
                   std::shared_ptr<StreamListener> Listener, bool HalfClose) {
  StreamLimits Limits{m_Options.MaximumMessageBytes,
                      m_Options.MaximumQueuedBytesPerStream};
  auto Added = std::make_shared<Http2Stream>(m_Loop, Limits, Listener);
  bool Fits = Added->reserve(FirstMessage.size());
  if (Fits)
    Added->append(FirstMessage);
  if (HalfClose)
    Added->finishAfterOutput();
  bool Posted = m_Loop->post([Self = shared_from_this(), Added, What, Fits] {
    if (Fits)
      Self->openOnLoop(Added, What);
    else
      Added->end(StreamEnd::NeverSent);
  });
  if (!Posted)
    Added->end(StreamEnd::NeverSent);
  return Added;
}

void Http2Channel::openOnLoop(const std::shared_ptr<Http2Stream> &Added,
                              Method What) {
  if (!m_Current || !m_Current->open(Added, What))
    Added->end(StreamEnd::NeverSent);
}

void Http2Channel::start() {
  m_Loop->post([Self = shared_from_this()] { Self->connectNow(); });
}

void Http2Channel::close() {
  m_Loop->post([Self = shared_from_this()] { Self->closeOnLoop(); });
}

void Http2Channel::closeOnLoop() {
  if (std::exchange(m_Closed, true))
    return;
  auto Leaving = std::exchange(m_Leaving, {});
  if (auto Current = std::exchange(m_Current, nullptr))
    Leaving.push_back(std::move(Current));
  for (auto &Each : Leaving)
    Each->cancelAll();
  changeState();
  m_Listener.reset();
}

void Http2Channel::connectNow() {
  if (m_Closed || m_Current)
    return;
  ++m_Attempts;
  ConnectionOptions Options{
      m_Options.HeartbeatInterval,
      m_Options.HeartbeatTimeout,
      {m_Options.MaximumMessageBytes, m_Options.MaximumQueuedBytesPerStream}};
  m_Current = ClientConnection::start(m_Loop, m_Peer, m_Options.ConnectTimeout,
                                      Options, m_Traffic, weak_from_this());
  if (m_Current)
    return;
  m_Tried = true;
  changeState();
  connectLater();
}

LoopClock::duration Http2Channel::backoff() {
  // Half of the delay is random: after a restart of the peer its channels
  // would otherwise come back all at the same instant, again and again.
  auto Full =
      m_Options.ReconnectMinimum * (int64_t{1} << std::min(m_Attempts, 16u));
  Full = std::min(Full, m_Options.ReconnectMaximum);
  std::uniform_real_distribution<double> Share(0.5, 1.0);
  return std::chrono::duration_cast<LoopClock::duration>(Full *
                                                         Share(m_Random));
}

void Http2Channel::connectLater() {
  if (m_Closed)
    return;
  m_Loop->after(backoff(), [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->connectNow();
  });
}

void Http2Channel::onUp(ClientConnection &Which) {
  if (&Which != m_Current.get())
    return;
  m_Tried = true;
  m_UpSince = LoopClock::now();
  changeState();
}

void Http2Channel::onGoingAway(ClientConnection &Which) {
  if (&Which != m_Current.get())
    return;
  m_Leaving.push_back(std::exchange(m_Current, nullptr));
  noteEndOf(Which);
  changeState();
  connectLater();
}

void Http2Channel::noteEndOf(const ClientConnection &Which) {
  m_Tried = true;
  // A peer that dies right after each accept must not be redialled at full
  // speed, so only a connection that lasted starts the backoff afresh.
  if (Which.usableOnce() &&
      LoopClock::now() - m_UpSince > m_Options.ReconnectMaximum)
    m_Attempts = 0;
}

void Http2Channel::onGone(ClientConnection &Which) {
  std::erase_if(m_Leaving, [&](auto &Each) { return Each.get() == &Which; });
  if (&Which == m_Current.get()) {
    noteEndOf(Which);
    m_Current.reset();
    connectLater();
  }
  changeState();
}

void Http2Channel::changeState() {
  ChannelState Next = ChannelState::Down;
  if (m_Closed)
    Next = ChannelState::Down;
  else if (m_Current && m_Current->usable())
    Next = ChannelState::Up;
  else if (!m_Leaving.empty())
    Next = ChannelState::GoingAway;
  else if (!m_Tried)
    Next = ChannelState::Connecting;
  if (m_State.exchange(Next) != Next && m_Listener)
    m_Listener->onState(*this, Next);
}

} // namespace figlift::wire
