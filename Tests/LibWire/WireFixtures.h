//===- WireFixtures.h - Listeners and raw sockets for tests -----*- C++ -*-===//
//
// Recording listeners, a server that echoes, and bare TCP peers that speak as
// little HTTP/2 as a test wants.
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

/// Polls until \p Holds or the limit has passed.
bool eventually(const std::function<bool()> &Holds,
                std::chrono::milliseconds Limit = 5s);

/// Keeps what one stream was told.
class Recorder final : public StreamListener {
public:
  void onMessage(std::string_view Message) override;
  void onPeerFinished() override { PeerFinished = true; }
  void onEnd(StreamEnd End) override;

  std::vector<std::string> messages() const;
  /// Waits for the end; nothing when it does not come.
  std::optional<StreamEnd> end(std::chrono::milliseconds Limit = 5s) const;
  int ends() const { return m_Ends; }

  std::atomic<bool> PeerFinished{false};

private:
  mutable std::mutex m_Lock;
  std::vector<std::string> m_Messages;
  std::atomic<int> m_Ends{0};
  std::atomic<StreamEnd> m_End{};
};

/// What a test server does with the streams that it gets.
enum class Conduct { Echo, Hold, Refuse };

class TestService final : public ServerListener {
public:
  explicit TestService(Conduct What) : m_Conduct(What) {}
  std::shared_ptr<StreamListener>
  onStream(Method What, std::shared_ptr<Stream> Opened) override;

  /// Streams so far and the recorder and stream of each, when they are held.
  size_t count() const;
  std::shared_ptr<Recorder> recorder(size_t Index) const;
  std::shared_ptr<Stream> stream(size_t Index) const;
  std::optional<Method> lastMethod() const;

private:
  const Conduct m_Conduct;
  mutable std::mutex m_Lock;
  std::vector<std::shared_ptr<Recorder>> m_Recorders;
  std::vector<std::shared_ptr<Stream>> m_Streams;
  std::optional<Method> m_LastMethod;
};

/// Keeps the states that a channel went through.
class States final : public ChannelListener {
public:
  void onState(Channel &Which, ChannelState State) override;
  bool saw(ChannelState State) const;

private:
  mutable std::mutex m_Lock;
  std::vector<ChannelState> m_Seen;
};

/// A server on a free port, and a client with short times.
std::unique_ptr<Server> serve(const std::shared_ptr<ServerListener> &Listener,
                              ServerOptions Options = {});
std::unique_ptr<Client> makeClient(ClientOptions Options = {});
/// Connects and waits until the channel is up.
std::shared_ptr<Channel> upChannel(Client &From, const Endpoint &Peer);
bool waitFor(const Channel &Which, ChannelState State);

/// A blocking TCP socket whose reads give up after five seconds.
class RawSocket {
public:
  explicit RawSocket(const Endpoint &Peer);
  explicit RawSocket(int Accepted);
  ~RawSocket();
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;
  /// False when the peer has closed.
  bool write(std::string_view Bytes);
  /// Reads until the peer closes; false when it does not.
  bool closedByPeer();
  /// All that was read and not yet matched by receives().
  const std::string &unread() const { return m_Got; }
  /// Sends \p Bytes again and again, a pause apart, until the peer closes.
  /// Without \p Reading nothing is taken from the socket.
  bool closedWhileTrickling(std::string_view Bytes,
                            std::chrono::milliseconds Pause,
                            bool Reading = true);
  /// Reads until \p Bytes have come, and drops what is up to their end.
  bool receives(std::string_view Bytes);

private:
  /// Appends to m_Got; false at the end or after five seconds.
  bool readMore();
  int m_Socket;
  std::string m_Got;
};

/// Accepts one connection at a time and does nothing of its own.
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
/// Client preface with empty SETTINGS.
std::string preface();
/// HEADERS of a request to /figlift.v1/Run, open or ended.
std::string requestHeaders(uint32_t Stream, bool Ended = false);

} // namespace figlift::wire::test
