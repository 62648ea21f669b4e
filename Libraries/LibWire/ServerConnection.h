//===- ServerConnection.h - One accepted connection -------------*- C++ -*-===//
//
// Creates a stream for each request of the peer and passes it to the server's
// listener.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Connection.h"
#include "LibWire/Wire.h"

namespace figlift::wire {

/// State shared by all connections of a server.
struct ServerState {
  ServerOptions Options;
  std::shared_ptr<ServerListener> Listener;
  std::shared_ptr<TrafficCounters> Counters =
      std::make_shared<TrafficCounters>();
  std::atomic<size_t> OpenStreams{0};
  std::atomic<size_t> Connections{0};
  std::atomic<bool> Draining{false};
};

class ServerConnection final : public Connection {
public:
  /// Takes ownership of the accepted \p Socket; on the thread of \p Owner.
  static void start(const std::shared_ptr<Loop> &Owner, int Socket,
                    std::shared_ptr<ServerState> State);
  ~ServerConnection() override;

  void outputReady(Http2Stream &Stream) override;
  /// Sends a shutdown notice; the GOAWAY with the last stream id follows one
  /// round trip later.
  void drain();

private:
  ServerConnection(std::shared_ptr<Loop> Owner, int Socket,
                   std::shared_ptr<ServerState> State);
  bool onFrame(const nghttp2_frame &Frame) override;
  bool onHeader(const nghttp2_frame &Frame, std::string_view Name,
                std::string_view Value) override;
  StreamEnd closedStreamOutcome(const Http2Stream &Stream,
                                uint32_t Code) override;
  StreamEnd lostStreamOutcome(const Http2Stream &Stream) override;
  void onStreamRemoved() override;
  void onClosed() override {}
  void onRequest(int32_t Id);
  void onPeerEnd(int32_t Id);
  void checkSlowSenders();

  const std::shared_ptr<ServerState> m_State;
  const LoopClock::time_point m_AcceptedAt = LoopClock::now();
  bool m_SettingsReceived = false;
  bool m_Draining = false;
  /// Stream whose request headers are being received; HTTP/2 sends one header
  /// block at a time.
  int32_t m_HeaderStream = 0;
  size_t m_HeaderBytes = 0;
  std::string m_Path;
};

} // namespace figlift::wire
