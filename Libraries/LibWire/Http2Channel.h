//===- Http2Channel.h - A connection that restores itself -------*- C++ -*-===//
//
// Owns the connection that takes new streams and those that only finish their
// old ones after a GOAWAY. Pinned to one loop.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/ClientConnection.h"
#include "LibWire/Wire.h"

#include <random>
#include <vector>

namespace figlift::wire {

class Http2Channel final : public Channel,
                           public ConnectionOwner,
                           public std::enable_shared_from_this<Http2Channel> {
public:
  Http2Channel(std::shared_ptr<Loop> Owner, Endpoint Peer,
               const ClientOptions &Options, uint64_t Seed,
               std::shared_ptr<Traffic> Counter,
               std::shared_ptr<ChannelListener> Listener);

  /// Closes what close() has not closed.
  ~Http2Channel() override;

  const Endpoint &peer() const override { return m_Peer; }
  ChannelState state() const override { return m_State.load(); }
  std::shared_ptr<Stream> open(Method What, std::string FirstMessage,
                               std::shared_ptr<StreamListener> Listener,
                               bool HalfClose) override;
  void close() override;
  /// Begins to connect. Any thread, once.
  void start();

private:
  void onUp(ClientConnection &Which) override;
  void onGoingAway(ClientConnection &Which) override;
  void onGone(ClientConnection &Which) override;

  void connectNow();
  void connectLater();
  /// The connection takes no more streams: decides on the backoff.
  void noteEndOf(const ClientConnection &Which);
  void changeState();
  void openOnLoop(const std::shared_ptr<Http2Stream> &Added, Method What);
  void closeOnLoop();
  LoopClock::duration backoff();

  const std::shared_ptr<Loop> m_Loop;
  const Endpoint m_Peer;
  const ClientOptions m_Options;
  const std::shared_ptr<Traffic> m_Traffic;
  std::atomic<ChannelState> m_State{ChannelState::Connecting};

  // Below: the I/O thread alone.
  std::shared_ptr<ChannelListener> m_Listener;
  std::shared_ptr<ClientConnection> m_Current;
  /// Got GOAWAY and finish their streams.
  std::vector<std::shared_ptr<ClientConnection>> m_Leaving;
  std::mt19937_64 m_Random;
  /// Attempts since a connection was last up for long enough.
  unsigned m_Attempts = 0;
  LoopClock::time_point m_UpSince;
  /// An attempt has ended, well or not; before that the state is Connecting.
  bool m_Tried = false;
  bool m_Closed = false;
};

} // namespace figlift::wire
