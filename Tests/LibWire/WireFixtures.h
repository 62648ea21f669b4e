//===- WireFixtures.h - Listeners and raw sockets for tests -----*- C++ -*-===//
//
// Recording listeners, an echo server, and raw TCP peers that send hand-built
// HTTP/2 frames.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Wire.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace figlift::wire::test {

using namespace std::chrono_literals;

/// Polls until \p Holds returns true; false when \p Limit has passed.
bool eventually(const std::function<bool()> &Holds,
                std::chrono::milliseconds Limit = 5s);

/// Records the events of one stream.
class StreamRecorder final : public StreamListener {
public:
  void onMessage(std::string_view Message) override;
  void onPeerFinished() override { PeerFinished = true; }
  void onEnd(StreamEnd End) override;

  std::vector<std::string> messages() const;
  /// Waits for the stream's end; nothing when \p Limit has passed.
  std::optional<StreamEnd> end(std::chrono::milliseconds Limit = 5s) const;
  int ends() const { return m_Ends; }

  std::atomic<bool> PeerFinished{false};

private:
  mutable std::mutex m_Lock;
  std::vector<std::string> m_Messages;
  std::atomic<int> m_Ends{0};
  std::atomic<StreamEnd> m_End{};
};

/// What a test server does with the streams that peers open.
enum class Behavior { Echo, Hold, Refuse };

class TestService final : public ServerListener {
public:
  explicit TestService(Behavior Selected) : m_Behavior(Selected) {}
  std::shared_ptr<StreamListener>
  onStream(Method StreamMethod, std::shared_ptr<Stream> OpenedStream) override;

  /// The streams that were held or refused so far, with their recorders.
  size_t count() const;
  std::shared_ptr<StreamRecorder> recorder(size_t Index) const;
  std::shared_ptr<Stream> stream(size_t Index) const;
  std::optional<Method> lastMethod() const;

private:
  const Behavior m_Behavior;
  mutable std::mutex m_Lock;
  std::vector<std::shared_ptr<StreamRecorder>> m_Recorders;
  std::vector<std::shared_ptr<Stream>> m_Streams;
  std::optional<Method> m_LastMethod;
};

/// Records the states of a channel.
class ChannelStateRecorder final : public ChannelListener {
public:
  void onState(Channel &Source, ChannelState State) override;
  bool saw(ChannelState State) const;

private:
  mutable std::mutex m_Lock;
  std::vector<ChannelState> m_Seen;
};

/// A server, on a free port unless \p Options name one; null on failure.
std::unique_ptr<Server>
startServer(const std::shared_ptr<ServerListener> &Listener,
            ServerOptions Options = {});
std::unique_ptr<Client> makeClient(ClientOptions Options = {});
/// Connects and waits until the channel is up.
std::shared_ptr<Channel> connectedChannel(Client &WireClient,
                                          const Endpoint &Peer);
bool waitFor(const Channel &Source, ChannelState State);

/// A blocking TCP socket whose reads time out after five seconds.
class RawSocket {
public:
  explicit RawSocket(const Endpoint &Peer);
  explicit RawSocket(int Accepted);
  ~RawSocket();
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;
  /// False when the peer has closed.
  bool write(std::string_view Bytes);
  /// Reads until the peer closes; false when a read times out.
  bool closedByPeer();
  /// Bytes read and not yet consumed by receives().
  const std::string &unread() const { return m_Input; }
  /// Sends \p Bytes repeatedly, with \p Pause in between, until the peer
  /// closes. Without \p Reading, nothing is read from the socket.
  bool closedWhileTrickling(std::string_view Bytes,
                            std::chrono::milliseconds Pause,
                            bool Reading = true);
  /// Reads until \p Bytes were received, and discards the input up to their
  /// end.
  bool receives(std::string_view Bytes);

private:
  /// Appends to m_Input; false at the end or after five seconds.
  bool readMore();
  int m_Socket;
  std::string m_Input;
};

/// Listens and accepts connections one at a time, without any protocol.
class RawListener {
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;
  Endpoint endpoint() const;
  std::unique_ptr<RawSocket> accept();

private:
  int m_Socket;
};

/// An HTTP/2 frame.
std::string frame(uint8_t Type, uint8_t Flags, uint32_t Stream,
                  std::string_view Payload);
/// HTTP/2 client preface with empty SETTINGS.
std::string preface();
/// HEADERS of a request to /figlift.v1/Run, with END_STREAM if \p Ended.
std::string requestHeaders(uint32_t Stream, bool Ended = false);

} // namespace figlift::wire::test
