//===- Http2Stream.h - One HTTP/2 stream of a connection --------*- C++ -*-===//
//
// The public members run on any thread and hand their work to the loop of the
// connection; everything else belongs to that loop's thread.
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

/// Bounds of one stream.
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

  /// Counts a message against the bounds of the stream; false when it exceeds
  /// them. Any thread.
  bool reserve(size_t MessageBytes);

  // The rest is for the I/O thread alone.

  /// Sets the listener of a stream that was made without one.
  void listen(std::shared_ptr<StreamListener> Listener);
  /// Length prefix and message go into the output; nothing is woken.
  void append(std::string_view Message);
  /// Marks this side as ended after the output; before the stream is opened.
  void finishAfterOutput();
  /// nghttp2's data source: fills \p Buffer; sets \p AtEnd with the last byte.
  /// Nothing when there is no data now.
  std::optional<size_t> read(uint8_t *Buffer, size_t Length, bool &AtEnd);
  /// Takes bytes of the peer and tells the listener of whole messages; false
  /// when a message is larger than allowed.
  bool receive(std::string_view Bytes);
  /// Tells the listener and lets go of it; later calls do nothing.
  void end(StreamEnd How);
  void peerFinished();
  bool ended() const { return !m_Listener; }
  /// A message has begun that is not yet complete.
  bool insideMessage() const { return !m_Input.empty(); }
  size_t bufferedInput() const { return m_Input.size(); }

  /// Set while the stream is in the table of the connection.
  Connection *Owner = nullptr;
  int32_t Id = -1;
  /// Place of the request's HEADERS in the connection's output, in bytes since
  /// its start; the largest number until they are written.
  uint64_t HeadersAt = std::numeric_limits<uint64_t>::max();
  /// nghttp2 was told that there is no data and waits for a resume.
  bool Deferred = false;
  /// Run or Resume; everything else is control work.
  bool CarriesRequest = false;
  /// The server's response HEADERS were submitted.
  bool ResponseStarted = false;
  bool FinishWanted = false;
  bool PeerEnded = false;
  /// A whole message was received.
  bool GotMessage = false;
  /// The first instant at which this stream lacked a whole message; used by
  /// servers against slow senders.
  LoopClock::time_point IncompleteSince = LoopClock::now();

private:
  void reset(uint32_t Code);

  const std::shared_ptr<Loop> m_Loop;
  const StreamLimits m_Limits;
  /// Null after the end.
  std::shared_ptr<StreamListener> m_Listener;
  /// No more sends: ended, or finish() was called.
  std::atomic<bool> m_Closed{false};
  std::atomic<size_t> m_Queued{0};
  std::string m_Output;
  size_t m_OutputAt = 0;
  std::string m_Input;
};

} // namespace figlift::wire
