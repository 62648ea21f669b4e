//===- ServerConnection.h - One accepted connection -------------*- C++ -*-===//
//
// Turns the requests of one peer into streams for the server's listener.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Connection.h"
#include "LibWire/Wire.h"

namespace figlift::wire {

/// What all connections of a server share.
struct ServerState {
  ServerOptions Options;
  std::shared_ptr<ServerListener> Listener;
  std::shared_ptr<Traffic> Counter = std::make_shared<Traffic>();
  std::atomic<size_t> OpenStreams{0};
  std::atomic<size_t> Connections{0};
  std::atomic<bool> Draining{false};
};

class ServerConnection final : public Connection {
public:
  /// Takes over the accepted \p Socket; on the thread of \p Owner.
  static void start(const std::shared_ptr<Loop> &Owner, int Socket,
                    std::shared_ptr<ServerState> Shared);
  ~ServerConnection() override;

  void outputReady(Http2Stream &Which) override;
  /// Announces the end of new streams; the GOAWAY that fixes the last one
  /// follows a round trip later.
  void drain();

private:
  ServerConnection(std::shared_ptr<Loop> Owner, int Socket,
                   std::shared_ptr<ServerState> Shared);
  bool onFrame(const nghttp2_frame &Frame) override;
  bool onHeader(const nghttp2_frame &Frame, std::string_view Name,
                std::string_view Value) override;
  StreamEnd endOf(const Http2Stream &Which, uint32_t Code) override;
  StreamEnd endOfLost(const Http2Stream &Which) override;
  void onStreamGone() override;
  void onClosed() override {}
  void onRequest(int32_t Id);
  void onPeerEnd(int32_t Id);
  void watchSenders();

  const std::shared_ptr<ServerState> m_Shared;
  const LoopClock::time_point m_Accepted = LoopClock::now();
  bool m_SettingsSeen = false;
  bool m_Draining = false;
  /// Request headers that are being received; one block at a time.
  int32_t m_HeaderStream = 0;
  size_t m_HeaderBytes = 0;
  std::string m_Path;
};

} // namespace figlift::wire
