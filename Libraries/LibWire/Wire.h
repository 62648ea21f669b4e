//===- Wire.h - Streams between figlift processes ---------------*- C++ -*-===//
//
// Interfaces of the transport between figlift processes: HTTP/2 over cleartext
// TCP, one stream for each request, protobuf messages prefixed with a four-byte
// big-endian length. Users of the library see channels (a reconnecting
// connection to one peer), streams and listeners; nghttp2 stays internal.
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

/// Purpose of a stream, sent as its :path.
enum class Method { Run, Resume, Order, Sync, Drain, Handover, Configuration };

/// How a stream ended, as far as this side knows.
enum class StreamEnd {
  /// The peer sent its last message and closed the stream.
  Finished,
  /// The peer sent RST_STREAM; the request may have been processed.
  ResetByPeer,
  /// The peer sent REFUSED_STREAM, or GOAWAY with a lower last stream id:
  /// HTTP/2 guarantees that it did not process the request.
  ProvablyNotProcessed,
  /// No byte of the request left this process.
  NeverSent,
  /// The connection was lost or its heartbeat timed out; the request may have
  /// been processed.
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
  /// RST_STREAM with REFUSED_STREAM; only for a server that has not processed
  /// any part of the request.
  virtual void refuse() = 0;
  /// Bytes queued on this side, not yet admitted by the peer's flow control.
  virtual size_t queuedBytes() const = 0;
};

/// Events of one stream, called in order and never concurrently on the I/O
/// thread of its connection. Must not block.
class StreamListener {
public:
  virtual ~StreamListener() = default;
  virtual void onMessage(std::string_view Message) = 0;
  /// The peer has sent its last message and ended its side cleanly. Called for
  /// servers only; a client's listener gets onEnd(Finished) instead.
  virtual void onPeerFinished() {}
  /// Called exactly once, as the last event.
  virtual void onEnd(StreamEnd End) = 0;
};

enum class ChannelState { Connecting, Up, GoingAway, Down };

class Channel;

class ChannelListener {
public:
  virtual ~ChannelListener() = default;
  /// Called on the I/O thread; must not block.
  virtual void onState(Channel &Source, ChannelState State) = 0;
};

/// A connection to one peer that reconnects, with backoff and jitter, until the
/// channel is closed. Members may be called from any thread.
class Channel {
public:
  virtual ~Channel() = default;
  virtual const Endpoint &peer() const = 0;
  virtual ChannelState state() const = 0;
  /// Opens a stream and queues its first message. The listener always gets
  /// onEnd; without a usable connection it gets NeverSent at once.
  /// \p HalfClose ends this side after the first message.
  virtual std::shared_ptr<Stream> open(Method StreamMethod,
                                       std::string FirstMessage,
                                       std::shared_ptr<StreamListener> Listener,
                                       bool HalfClose = true) = 0;
  /// Closes the channel; open streams end as Cancelled.
  virtual void close() = 0;
};

struct ClientOptions {
  unsigned Threads = 2;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// PING is sent after this long without a received byte...
  std::chrono::milliseconds HeartbeatInterval{1000};
  /// ...and the connection is closed after this long without a response.
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
  /// Bytes of Run and Resume frames, sent or received. The rest is control
  /// traffic.
  virtual uint64_t requestBytes() const = 0;
  static Result<std::unique_ptr<Client>> create(const ClientOptions &Options);
};

struct ServerOptions {
  Endpoint Listen;
  unsigned Threads = 2;
  std::chrono::milliseconds HeartbeatInterval{1000};
  std::chrono::milliseconds HeartbeatTimeout{2000};
  /// A connection is closed when no SETTINGS frame was received or its first
  /// message is incomplete after this time. After the first message only the
  /// slow stream is reset. This keeps slow or silent peers from holding memory;
  /// an idle healthy connection stays open.
  std::chrono::milliseconds FirstMessageTimeout{5000};
  uint32_t MaximumConcurrentStreams = 10000;
  size_t MaximumConnections = 4096;
  size_t MaximumMessageBytes = 8u << 20;
  size_t MaximumQueuedBytesPerStream = 16u << 20;
};

class ServerListener {
public:
  virtual ~ServerListener() = default;
  /// A peer opened a stream. Returns the stream's listener, or null to refuse
  /// the stream. Called on an I/O thread.
  virtual std::shared_ptr<StreamListener>
  onStream(Method StreamMethod, std::shared_ptr<Stream> NewStream) = 0;
};

class Server {
public:
  virtual ~Server() = default;
  /// The bound endpoint, with the assigned port when port 0 was requested.
  virtual const Endpoint &endpoint() const = 0;
  /// Sends GOAWAY on every connection. Open streams continue; new ones are
  /// refused with REFUSED_STREAM. The socket listens until stop(), but later
  /// connections are closed at once.
  virtual void drain() = 0;
  virtual size_t openStreams() const = 0;
  virtual uint64_t bytesSent() const = 0;
  virtual uint64_t bytesReceived() const = 0;
  /// Bytes of Run and Resume frames, sent or received. The rest is control
  /// traffic.
  virtual uint64_t requestBytes() const = 0;
  /// Closes all connections and joins the I/O threads. Queued output is sent
  /// for up to half a second. Not from an I/O thread.
  virtual void stop() = 0;
  /// Binds and listens; fails with PeerUnreachable while another process, even
  /// a paused one, listens on the address.
  static Result<std::unique_ptr<Server>>
  create(const ServerOptions &Options,
         std::shared_ptr<ServerListener> Listener);
};

} // namespace figlift::wire
