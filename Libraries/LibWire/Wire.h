//===- Wire.h - Streams between figlift processes ---------------*- C++ -*-===//
//
// Interfaces of the transport between figlift's own processes: HTTP/2 by
// nghttp2 over cleartext TCP, one stream for each request, protobuf messages
// with a four-byte big-endian length in front. Callers of this library see
// channels (a connection to one peer that restores itself), streams and
// listeners; nghttp2 does not show.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace figlift::wire {

/// What a stream is for; travels as its :path.
enum class Method { Run, Resume, Order, Sync, Drain, Handover, Configuration };

/// How a stream ended, as far as this side can tell.
enum class StreamEnd {
  /// The peer sent its last message and closed the stream.
  Finished,
  /// RST_STREAM of the peer; the request may have been processed.
  ResetByPeer,
  /// REFUSED_STREAM, or GOAWAY with a lower last stream id: HTTP/2 promises
  /// that the peer processed nothing of it.
  ProvablyNotProcessed,
  /// No byte of the request left this process.
  NeverSent,
  /// The connection broke or its heartbeat timed out; nothing is known.
  ConnectionLost,
  /// This side reset the stream.
  Cancelled,
};

/// One stream. All members may be called from any thread.
class Stream {
public:
  virtual ~Stream() = default;
  /// Queues one message; false when the stream is already closed.
  virtual bool send(std::string Message) = 0;
  /// Ends this side after the queued messages.
  virtual void finish() = 0;
  /// RST_STREAM with CANCEL; the peer sees ResetByPeer.
  virtual void cancel() = 0;
  /// RST_STREAM with REFUSED_STREAM; only a server that has done nothing for
  /// the stream may call it.
  virtual void refuse() = 0;
  /// Bytes queued here and not yet taken by the peer's flow control window.
  virtual size_t queuedBytes() const = 0;
};

/// Events of one stream: called in order, never two at once, on the I/O
/// thread of its connection; must not block.
class StreamListener {
public:
  virtual ~StreamListener() = default;
  virtual void onMessage(std::string_view Message) = 0;
  /// The peer will send no more messages; its side ended in good order. Only
  /// a server's listener is told: a client's gets onEnd(Finished).
  virtual void onPeerFinished() {}
  /// Exactly once, and the last call.
  virtual void onEnd(StreamEnd End) = 0;
};

enum class ChannelState { Connecting, Up, GoingAway, Down };

class Channel;

class ChannelListener {
public:
  virtual ~ChannelListener() = default;
  /// On the I/O thread; must not block.
  virtual void onState(Channel &Which, ChannelState State) = 0;
};

/// A connection to one peer that is restored, with backoff and jitter, until
/// the channel is closed. Members may be called from any thread.
class Channel {
public:
  virtual ~Channel() = default;
  virtual const Endpoint &peer() const = 0;
  virtual ChannelState state() const = 0;
  /// Opens a stream and queues its first message. The listener always gets
  /// onEnd; without a usable connection that is NeverSent, at once.
  /// \p HalfClose ends this side after the first message.
  virtual std::shared_ptr<Stream> open(Method What, std::string FirstMessage,
                                       std::shared_ptr<StreamListener> Listener,
                                       bool HalfClose = true) = 0;
  /// Ends the channel; open streams end as Cancelled.
  virtual void close() = 0;
};

struct ClientOptions {
  unsigned Threads = 2;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// PING is sent after this long without a received byte...
  std::chrono::milliseconds HeartbeatInterval{1000};
  /// ...and the connection is given up after this long without an answer.
  std::chrono::milliseconds HeartbeatTimeout{2000};
  std::chrono::milliseconds ReconnectMinimum{20};
  std::chrono::milliseconds ReconnectMaximum{1000};
  size_t MaximumMessageBytes = 8u << 20;
  size_t MaximumQueuedBytesPerStream = 16u << 20;
  /// Seeds the jitter of reconnects.
  uint64_t Seed = 1;
};

class Client {
public:
  virtual ~Client() = default;
  virtual std::shared_ptr<Channel>
  connect(Endpoint Peer, std::shared_ptr<ChannelListener> Listener) = 0;
  /// Bytes sent and received on all channels since the start.
  virtual uint64_t bytesSent() const = 0;
  virtual uint64_t bytesReceived() const = 0;
  /// Of both: frames of Run and Resume. The rest is control work.
  virtual uint64_t requestBytes() const = 0;
  static Result<std::unique_ptr<Client>> create(const ClientOptions &Options);
};

struct ServerOptions {
  Endpoint Listen;
  unsigned Threads = 2;
  std::chrono::milliseconds HeartbeatInterval{1000};
  std::chrono::milliseconds HeartbeatTimeout{2000};
  /// A connection without SETTINGS by then is closed, and so is one whose
  /// first message is not complete this long after it began; on a connection
  /// that has brought a message, only the slow stream is reset. Slow or silent
  /// peers cannot hold memory that way; an idle healthy connection stays.
  std::chrono::milliseconds FirstMessageTimeout{5000};
  uint32_t MaximumConcurrentStreams = 10000;
  size_t MaximumConnections = 4096;
  size_t MaximumMessageBytes = 8u << 20;
  size_t MaximumQueuedBytesPerStream = 16u << 20;
};

class ServerListener {
public:
  virtual ~ServerListener() = default;
  /// A peer opened a stream. Returns the stream's listener; on an I/O thread.
  virtual std::shared_ptr<StreamListener>
  onStream(Method What, std::shared_ptr<Stream> Opened) = 0;
};

class Server {
public:
  virtual ~Server() = default;
  /// The bound endpoint, with the real port when 0 was asked for.
  virtual const Endpoint &endpoint() const = 0;
  /// Sends GOAWAY on every connection; open streams go on, new ones are
  /// refused provably. The port stays taken until stop(), but connections that
  /// come later are closed at once.
  virtual void drain() = 0;
  virtual size_t openStreams() const = 0;
  virtual uint64_t bytesSent() const = 0;
  virtual uint64_t bytesReceived() const = 0;
  /// Of both: frames of Run and Resume. The rest is control work.
  virtual uint64_t requestBytes() const = 0;
  /// Closes everything and joins the I/O threads; queued output has half a
  /// second to leave. Not from an I/O thread.
  virtual void stop() = 0;
  /// Binds and listens; fails with PeerUnreachable while another process, even
  /// a paused one, listens on the address.
  static Result<std::unique_ptr<Server>>
  create(const ServerOptions &Options,
         std::shared_ptr<ServerListener> Listener);
};

} // namespace figlift::wire
