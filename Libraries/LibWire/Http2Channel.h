//===- Http2Channel.h - Channel that reconnects by itself -------*- C++ -*-===//
//
// Owns the connection for new streams and the older connections that finish
// their streams after a GOAWAY. Pinned to one I/O loop.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/ClientConnection.h"
#include "LibWire/Wire.h"

#include <random>
#include <vector>

namespace figlift::wire {

class Http2Channel final : public Channel,
                           public ClientConnectionListener,
                           public std::enable_shared_from_this<Http2Channel> {
public:
  Http2Channel(std::shared_ptr<Loop> Owner, Endpoint Peer,
               const ClientOptions &Options, uint64_t Seed,
               std::shared_ptr<TrafficCounters> Counters,
               std::shared_ptr<ChannelListener> Listener);

  /// Closes the connections if close() was not called.
  ~Http2Channel() override;

  const Endpoint &peer() const override { return m_Peer; }
  ChannelState state() const override { return m_State.load(); }
  std::shared_ptr<Stream> open(Method RequestMethod, std::string FirstMessage,
                               std::shared_ptr<StreamListener> Listener,
                               bool HalfClose) override;
  void close() override;
  /// Starts to connect. Any thread; called once.
  void start();

private:
  void onConnectionUp(ClientConnection &Source) override;
  void onConnectionGoingAway(ClientConnection &Source) override;
  void onConnectionClosed(ClientConnection &Source) override;

  void connect();
  void scheduleReconnect();
  /// Resets the backoff if the connection was up for long enough.
  void recordConnectionEnd(const ClientConnection &Source);
  void updateState();
  void openOnLoop(const std::shared_ptr<Http2Stream> &NewStream,
                  Method RequestMethod);
  void closeOnLoop();
  LoopClock::duration backoff();

  const std::shared_ptr<Loop> m_Loop;
  const Endpoint m_Peer;
  const ClientOptions m_Options;
  const std::shared_ptr<TrafficCounters> m_Counters;
  std::atomic<ChannelState> m_State{ChannelState::Connecting};

  // The rest is used on the I/O thread only.
  std::shared_ptr<ChannelListener> m_Listener;
  std::shared_ptr<ClientConnection> m_Current;
  /// Connections that finish their streams after a GOAWAY.
  std::vector<std::shared_ptr<ClientConnection>> m_GoingAway;
  std::mt19937_64 m_Random;
  /// Connection attempts since a connection was last up for long enough.
  unsigned m_Attempts = 0;
  LoopClock::time_point m_ConnectedAt;
  /// Whether a connection attempt has succeeded or failed; before that the
  /// state is Connecting.
  bool m_AttemptFinished = false;
  bool m_Closed = false;
};

} // namespace figlift::wire
