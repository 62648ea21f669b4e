//===- ClientConnection.h - One connection of a channel ---------*- C++ -*-===//
//
// Exists from connect() until it closes; the channel creates its successor.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Connection.h"

namespace figlift::wire {

class ClientConnection;

/// Receives the events of a client connection, on its I/O thread.
class ClientConnectionListener {
public:
  virtual ~ClientConnectionListener() = default;
  /// Both sides have exchanged SETTINGS: streams may be opened.
  virtual void onConnectionUp(ClientConnection &Source) = 0;
  /// GOAWAY was received or sent: open streams continue, new ones need
  /// another connection.
  virtual void onConnectionGoingAway(ClientConnection &Source) = 0;
  virtual void onConnectionClosed(ClientConnection &Source) = 0;
};

class ClientConnection final : public Connection {
public:
  /// Starts to connect; null when the attempt cannot be started.
  static std::shared_ptr<ClientConnection>
  start(const std::shared_ptr<Loop> &Owner, const Endpoint &Peer,
        std::chrono::milliseconds ConnectTimeout, ConnectionOptions Options,
        std::shared_ptr<TrafficCounters> Counters,
        std::weak_ptr<ClientConnectionListener> Channel);

  /// Sends HEADERS and the stream's queued output; false when the connection
  /// accepts no new streams.
  bool open(const std::shared_ptr<Http2Stream> &NewStream,
            Method RequestMethod);
  bool usable() const { return m_Up && !m_GoingAway && !closed(); }
  /// Whether SETTINGS were exchanged at some time.
  bool wasUp() const { return m_Up; }
  /// Ends all streams as Cancelled.
  void cancelAll();

  void outputReady(Http2Stream &Source) override;

private:
  ClientConnection(std::shared_ptr<Loop> Owner, int Socket,
                   ConnectionOptions Options,
                   std::shared_ptr<TrafficCounters> Counters,
                   std::weak_ptr<ClientConnectionListener> Channel);
  void onConnected() override;
  bool onFrame(const nghttp2_frame &Frame) override;
  bool onHeader(const nghttp2_frame &Frame, std::string_view Name,
                std::string_view Value) override;
  StreamEnd closedStreamOutcome(const Http2Stream &Source,
                                uint32_t Code) override;
  StreamEnd lostStreamOutcome(const Http2Stream &Source) override;
  void onClosed() override;
  void onPeerEnd(int32_t Id);
  /// Stops opening streams on this connection and sends GOAWAY.
  void stopOpeningStreams();
  void markGoingAway();

  const std::weak_ptr<ClientConnectionListener> m_Channel;
  bool m_TcpConnected = false;
  bool m_Up = false;
  bool m_GoingAway = false;
  bool m_Cancelling = false;
  size_t m_HeaderBytes = 0;
};

} // namespace figlift::wire
