//===- Connection.h - One HTTP/2 connection ---------------------*- C++ -*-===//
//
// Couples a socket of a loop to an nghttp2 session. What is the same for both
// sides is here; ClientConnection and ServerConnection add the rest. All
// members belong to the thread of the loop.
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

/// Bytes of all connections of one client or server.
struct Traffic {
  std::atomic<uint64_t> Sent{0};
  std::atomic<uint64_t> Received{0};
  /// Of both: frames of the streams that carry requests.
  std::atomic<uint64_t> Requests{0};
};

/// Flow control window of a stream; the most that may come unasked.
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
  /// Gives queued bytes a short while to leave, then closes.
  void onLoopStop() override;

  /// The stream has data or an end to send.
  virtual void outputReady(Http2Stream &Which) = 0;
  void resetStream(Http2Stream &Which, uint32_t Code);
  /// Ends every stream and frees the socket.
  void close();
  bool closed() const { return m_Socket < 0; }
  size_t streamCount() const { return m_Streams.size(); }

protected:
  enum class Side { Client, Server };

  Connection(std::shared_ptr<Loop> Owner, int Socket, ConnectionOptions Options,
             std::shared_ptr<Traffic> Counter);

  /// Makes the session and queues SETTINGS; false without memory.
  bool startSession(Side Which, uint32_t MaximumConcurrentStreams);
  /// PING after an idle interval, close() after a timeout; rearms itself.
  void watchHeartbeat();
  void flushSoon();
  void addStream(const std::shared_ptr<Http2Stream> &Added, int32_t Id);
  /// Null for an unknown stream.
  std::shared_ptr<Http2Stream> findStream(int32_t Id);
  void forgetStream(int32_t Id);
  nghttp2_data_provider dataOf(Http2Stream &Which);
  const std::shared_ptr<Loop> &loop() const { return m_Loop; }
  const ConnectionOptions &options() const { return m_Options; }
  nghttp2_session *session() { return m_Session; }
  int socket() const { return m_Socket; }
  template <typename Function> void forEachStream(Function &&Visit) {
    for (auto &[Id, Current] : std::unordered_map(m_Streams))
      Visit(*Current);
  }

  virtual void onConnected() {}
  /// A whole frame came; false gives the connection up.
  virtual bool onFrame(const nghttp2_frame &Frame) = 0;
  virtual bool onHeader(const nghttp2_frame &Frame, std::string_view Name,
                        std::string_view Value) = 0;
  /// nghttp2 closed the stream; returns how that looks from this side.
  virtual StreamEnd endOf(const Http2Stream &Which, uint32_t Code) = 0;
  /// How a stream ends with its connection.
  virtual StreamEnd endOfLost(const Http2Stream &Which) = 0;
  virtual void onStreamGone() {}
  /// After the socket was closed and the streams ended; exactly once.
  virtual void onClosed() = 0;

  /// Bytes that the session wrote, and those that the kernel took.
  uint64_t m_Produced = 0;
  uint64_t m_Written = 0;
  /// Whole messages received on any stream.
  uint64_t m_Messages = 0;
  /// The loop stops, and with it the connection.
  bool m_Stopping = false;

private:
  void read();
  void closeAfterRead();
  /// Moves frames from the session to the output; false on a fatal error.
  bool produce();
  /// Writes the output; false when the connection broke.
  bool write();
  void onData(int32_t Id, std::string_view Bytes);
  void onStreamClose(int32_t Id, uint32_t Code);
  /// Adds a frame of a stream that carries a request to the traffic's account.
  void countFrame(const nghttp2_frame_hd &Frame);
  static int callback(bool Good);
  static void setCallbacks(nghttp2_session_callbacks *Callbacks);
  static ssize_t readData(nghttp2_session *, int32_t, uint8_t *Buffer,
                          size_t Length, uint32_t *Flags,
                          nghttp2_data_source *Source, void *);

  const std::shared_ptr<Loop> m_Loop;
  const ConnectionOptions m_Options;
  const std::shared_ptr<Traffic> m_Traffic;
  int m_Socket;
  nghttp2_session *m_Session = nullptr;
  std::unordered_map<int32_t, std::shared_ptr<Http2Stream>> m_Streams;
  std::string m_Output;
  size_t m_OutputAt = 0;
  bool m_FlushPending = false;
  bool m_WaitsForWrite = false;
  /// Bytes of unfinished messages on all streams.
  size_t m_BufferedInput = 0;
  LoopClock::time_point m_LastFrame;
  /// When the kernel last took bytes, while output waits.
  LoopClock::time_point m_LastWrite;
  /// When the unanswered PING was sent.
  std::optional<LoopClock::time_point> m_PingSent;
};

} // namespace figlift::wire
