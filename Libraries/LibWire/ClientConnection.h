//===- ClientConnection.h - One connection of a channel ---------*- C++ -*-===//
//
// Lives from connect() to its close; the channel makes the next one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Connection.h"

namespace figlift::wire {

class ClientConnection;

/// What a connection tells its channel; on the I/O thread.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  /// Both sides have exchanged SETTINGS: streams may be opened.
  virtual void onUp(ClientConnection &Which) = 0;
  /// GOAWAY came: open streams go on, new ones need another connection.
  virtual void onGoingAway(ClientConnection &Which) = 0;
  virtual void onGone(ClientConnection &Which) = 0;
};

class ClientConnection final : public Connection {
public:
  /// Starts to connect; null when not even that can be done.
  static std::shared_ptr<ClientConnection>
  start(const std::shared_ptr<Loop> &Owner, const Endpoint &Peer,
        std::chrono::milliseconds ConnectTimeout, ConnectionOptions Options,
        std::shared_ptr<Traffic> Counter,
        std::weak_ptr<ConnectionOwner> Channel);

  /// Sends HEADERS and the stream's queued output; false when the connection
  /// takes no new streams.
  bool open(const std::shared_ptr<Http2Stream> &Added, Method What);
  bool usable() const { return m_Up && !m_GoingAway && !closed(); }
  /// It was up at some time.
  bool usableOnce() const { return m_Up; }
  /// Ends all streams as Cancelled.
  void cancelAll();

  void outputReady(Http2Stream &Which) override;

private:
  ClientConnection(std::shared_ptr<Loop> Owner, int Socket,
                   ConnectionOptions Options, std::shared_ptr<Traffic> Counter,
                   std::weak_ptr<ConnectionOwner> Channel);
  void onConnected() override;
  bool onFrame(const nghttp2_frame &Frame) override;
  bool onHeader(const nghttp2_frame &Frame, std::string_view Name,
                std::string_view Value) override;
  StreamEnd endOf(const Http2Stream &Which, uint32_t Code) override;
  StreamEnd endOfLost(const Http2Stream &Which) override;
  void onClosed() override;
  void onPeerEnd(int32_t Id);
  /// Gives the connection up for new streams.
  void retire();
  void goAway();

  const std::weak_ptr<ConnectionOwner> m_Channel;
  bool m_TcpUp = false;
  bool m_Up = false;
  bool m_GoingAway = false;
  bool m_Cancelling = false;
  size_t m_HeaderBytes = 0;
};

} // namespace figlift::wire
