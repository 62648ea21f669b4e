//===- Connection.h - One HTTP/2 connection ---------------------*- C++ -*-===//
//
// Connects a socket of an I/O loop to an nghttp2 session. Holds what both sides
// share; ClientConnection and ServerConnection add the rest. All members are
// used on the loop's thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Http2Stream.h"

#include <nghttp2/nghttp2.h>

#include <atomic>
#include <limits>
#include <string>
#include <unordered_map>

namespace figlift::wire {

/// Byte counters over all connections of one client or server.
struct TrafficCounters {
  std::atomic<uint64_t> Sent{0};
  std::atomic<uint64_t> Received{0};
  /// Bytes of frames, sent or received, on streams that carry requests.
  std::atomic<uint64_t> RequestBytes{0};
};

/// Flow control window of a stream: the most a peer may send before this side
/// has consumed any of it.
constexpr uint32_t StreamWindowBytes = 1u << 20;

struct ConnectionOptions {
  std::chrono::milliseconds HeartbeatInterval;
  std::chrono::milliseconds HeartbeatTimeout;
  StreamLimits Limits;
};

class Connection : public Pollable,
                   public std::enable_shared_from_this<Connection> {
public:
  ~Connection() override;
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  void onReady(uint32_t Events) override;
  void flush() override;
  /// Writes queued output until the loop's stop deadline, then closes.
  void onLoopStop() override;

  /// The stream has data or an end to send.
  virtual void outputReady(Http2Stream &Stream) = 0;
  void resetStream(Http2Stream &Stream, uint32_t Code);
  /// Ends every stream and closes the socket.
  void close();
  bool closed() const { return m_Socket < 0; }
  size_t streamCount() const { return m_Streams.size(); }

protected:
  enum class Side { Client, Server };

  Connection(std::shared_ptr<Loop> Owner, int Socket, ConnectionOptions Options,
             std::shared_ptr<TrafficCounters> Counters);

  /// Creates the session and queues SETTINGS; false when out of memory.
  bool startSession(Side Stream, uint32_t MaximumConcurrentStreams);
  /// Sends a PING after an idle interval and closes the connection when it is
  /// not acknowledged in time; reschedules itself.
  void checkHeartbeat();
  void flushSoon();
  void addStream(const std::shared_ptr<Http2Stream> &NewStream, int32_t Id);
  /// Null for an unknown stream.
  std::shared_ptr<Http2Stream> findStream(int32_t Id);
  void removeStream(int32_t Id);
  nghttp2_data_provider dataProvider(Http2Stream &Stream);
  const std::shared_ptr<Loop> &loop() const { return m_Loop; }
  const ConnectionOptions &options() const { return m_Options; }
  nghttp2_session *session() { return m_Session; }
  int socket() const { return m_Socket; }
  template <typename Function> void forEachStream(Function &&Visit) {
    for (auto &[Id, Stream] : std::unordered_map(m_Streams))
      Visit(*Stream);
  }

  virtual void onConnected() {}
  /// A complete frame was received; false closes the connection.
  virtual bool onFrame(const nghttp2_frame &Frame) = 0;
  virtual bool onHeader(const nghttp2_frame &Frame, std::string_view Name,
                        std::string_view Value) = 0;
  /// Outcome of a stream that nghttp2 closed with \p Code.
  virtual StreamEnd closedStreamOutcome(const Http2Stream &Stream,
                                        uint32_t Code) = 0;
  /// Outcome of a stream whose connection was closed.
  virtual StreamEnd lostStreamOutcome(const Http2Stream &Stream) = 0;
  virtual void onStreamRemoved() {}
  /// Called exactly once, after the socket was closed and the streams ended.
  virtual void onClosed() = 0;

  /// Bytes produced by the session, and those accepted by the kernel.
  uint64_t m_ProducedBytes = 0;
  uint64_t m_WrittenBytes = 0;
  /// Chunks received on streams that have completed at least one message;
  /// zero until a first message is complete.
  uint64_t m_MessageChunks = 0;
  /// The loop is stopping and closes the connection.
  bool m_Stopping = false;

private:
  void read();
  void readRemainingAndClose();
  /// Moves frames from the session to the output; false on a fatal error.
  bool produce();
  /// Writes the output; false when the connection is lost.
  bool write();
  void onData(int32_t Id, std::string_view Bytes);
  void onStreamClose(int32_t Id, uint32_t Code);
  /// Counts the bytes of a frame if its stream carries a request.
  void countRequestFrame(const nghttp2_frame_hd &Frame);
  static int callbackResult(bool Succeeded);
  static void setCallbacks(nghttp2_session_callbacks *Callbacks);
  static ssize_t readData(nghttp2_session *, int32_t, uint8_t *Buffer,
                          size_t Length, uint32_t *Flags,
                          nghttp2_data_source *Source, void *);

  const std::shared_ptr<Loop> m_Loop;
  const ConnectionOptions m_Options;
  const std::shared_ptr<TrafficCounters> m_Counters;
  int m_Socket;
  nghttp2_session *m_Session = nullptr;
  std::unordered_map<int32_t, std::shared_ptr<Http2Stream>> m_Streams;
  std::string m_Output;
  size_t m_OutputOffset = 0;
  bool m_FlushPending = false;
  bool m_WriteBlocked = false;
  /// Bytes of unfinished messages on all streams.
  size_t m_BufferedInputBytes = 0;
  LoopClock::time_point m_LastFrame;
  /// When the kernel last accepted bytes, while output is pending.
  LoopClock::time_point m_LastWrite;
  /// When the unacknowledged PING was sent.
  std::optional<LoopClock::time_point> m_PingSent;
};

} // namespace figlift::wire
