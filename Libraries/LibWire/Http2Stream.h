//===- Http2Stream.h - One HTTP/2 stream of a connection --------*- C++ -*-===//
//
// The methods of Stream may be called from any thread and post their work to
// the connection's I/O loop; everything else is used on that loop's thread.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Loop.h"
#include "LibWire/Wire.h"

#include <atomic>
#include <limits>
#include <optional>

namespace figlift::wire {

class Connection;

/// Limits of one stream.
struct StreamLimits {
  size_t MaximumMessageBytes = 8u << 20;
  size_t MaximumQueuedBytes = 16u << 20;
};

class Http2Stream final : public Stream,
                          public std::enable_shared_from_this<Http2Stream> {
public:
  Http2Stream(std::shared_ptr<Loop> Owner, StreamLimits Limits,
              std::shared_ptr<StreamListener> Listener = nullptr);

  bool send(std::string Message) override;
  void finish() override;
  void cancel() override;
  void refuse() override;
  size_t queuedBytes() const override;

  /// Counts a message against the limits of the stream; false when it exceeds
  /// them. Any thread.
  bool reserve(size_t MessageBytes);

  // The rest is used on the I/O thread only.

  /// Sets the listener of a stream that was created without one.
  void setListener(std::shared_ptr<StreamListener> Listener);
  /// Appends length prefix and message to the output without scheduling a
  /// write.
  void append(std::string_view Message);
  /// Ends this side after the queued output; called before the stream is
  /// opened.
  void finishAfterOutput();
  /// Data source for nghttp2: fills \p Buffer and sets \p AtEnd with the last
  /// byte. Nothing when no data is queued.
  std::optional<size_t> read(uint8_t *Buffer, size_t Length, bool &AtEnd);
  /// Parses bytes from the peer and passes complete messages to the listener;
  /// false when a message exceeds the size limit.
  bool receive(std::string_view Bytes);
  /// Notifies and releases the listener; later calls have no effect.
  void end(StreamEnd Outcome);
  void peerFinished();
  bool ended() const { return !m_Listener; }
  /// Whether a message has been received in part.
  bool hasPartialMessage() const { return !m_Input.empty(); }
  size_t bufferedInputBytes() const { return m_Input.size(); }

  /// The connection, while the stream is registered with it.
  Connection *Owner = nullptr;
  int32_t Id = -1;
  /// Offset in bytes of the request's HEADERS in the connection's output; the
  /// maximum value until they are produced.
  uint64_t HeadersOffset = std::numeric_limits<uint64_t>::max();
  /// read() had no data, and nghttp2 waits for nghttp2_session_resume_data().
  bool Deferred = false;
  /// Whether the method is Run or Resume; the others are control traffic.
  bool CarriesRequest = false;
  /// Whether the server submitted its response HEADERS.
  bool ResponseStarted = false;
  bool FinishRequested = false;
  bool PeerFinished = false;
  /// Whether a complete message was received.
  bool ReceivedMessage = false;
  /// Since when the first or the current message is incomplete; servers use it
  /// to reset slow senders.
  LoopClock::time_point IncompleteSince = LoopClock::now();

private:
  void reset(uint32_t Code);

  const std::shared_ptr<Loop> m_Loop;
  const StreamLimits m_Limits;
  /// Null once the stream has ended.
  std::shared_ptr<StreamListener> m_Listener;
  /// Set when the stream has ended or finish() was called; sends fail.
  std::atomic<bool> m_Closed{false};
  std::atomic<size_t> m_Queued{0};
  std::string m_Output;
  size_t m_OutputOffset = 0;
  std::string m_Input;
};

} // namespace figlift::wire
