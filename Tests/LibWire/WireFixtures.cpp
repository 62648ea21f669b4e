//===- WireFixtures.cpp - Listeners and raw sockets for tests -------------===//
//
// See WireFixtures.h.
//
//===----------------------------------------------------------------------===//

#include "LibWire/WireFixtures.h"
#include "Support/WaitUntil.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace figlift::wire::test {

namespace {
// CppUTest's overloads of new and delete use an unlocked table, which crashes
// when two I/O threads allocate. A lock would synchronize the threads and hide
// races from the thread sanitizer. The address sanitizer finds leaks instead.
[[maybe_unused]] const bool LeakDetectorDisabled =
    (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);
} // namespace

bool eventually(const std::function<bool()> &Holds,
                std::chrono::milliseconds Limit) {
  return figlift::test::waitUntil(Limit, Holds);
}

void StreamRecorder::onMessage(std::string_view Message) {
  std::lock_guard Guard(m_Lock);
  m_Messages.emplace_back(Message);
}

void StreamRecorder::onEnd(StreamEnd End) {
  m_End = End;
  ++m_Ends;
}

std::vector<std::string> StreamRecorder::messages() const {
  std::lock_guard Guard(m_Lock);
  return m_Messages;
}

std::optional<StreamEnd>
StreamRecorder::end(std::chrono::milliseconds Limit) const {
  if (!eventually([this] { return m_Ends > 0; }, Limit))
    return std::nullopt;
  return m_End.load();
}

namespace {

/// Sends every message back and finishes when the peer does.
class Echo final : public StreamListener {
public:
  explicit Echo(std::shared_ptr<Stream> OpenedStream)
      : m_Stream(std::move(OpenedStream)) {}
  void onMessage(std::string_view Message) override {
    m_Stream->send(std::string(Message));
  }
  void onPeerFinished() override { m_Stream->finish(); }
  void onEnd(StreamEnd) override { m_Stream.reset(); }

private:
  std::shared_ptr<Stream> m_Stream;
};

sockaddr_in socketAddress(const Endpoint &Peer) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Peer.Port);
  inet_pton(AF_INET, Peer.Address.c_str(), &Address.sin_addr);
  return Address;
}

} // namespace

std::shared_ptr<StreamListener>
TestService::onStream(Method StreamMethod,
                      std::shared_ptr<Stream> OpenedStream) {
  std::lock_guard Guard(m_Lock);
  m_LastMethod = StreamMethod;
  if (m_Behavior == Behavior::Echo)
    return std::make_shared<Echo>(std::move(OpenedStream));
  if (m_Behavior == Behavior::Refuse)
    OpenedStream->refuse();
  m_Recorders.push_back(std::make_shared<StreamRecorder>());
  m_Streams.push_back(std::move(OpenedStream));
  return m_Recorders.back();
}

size_t TestService::count() const {
  std::lock_guard Guard(m_Lock);
  return m_Recorders.size();
}

std::shared_ptr<StreamRecorder> TestService::recorder(size_t Index) const {
  std::lock_guard Guard(m_Lock);
  return m_Recorders.at(Index);
}

std::shared_ptr<Stream> TestService::stream(size_t Index) const {
  std::lock_guard Guard(m_Lock);
  return m_Streams.at(Index);
}

std::optional<Method> TestService::lastMethod() const {
  std::lock_guard Guard(m_Lock);
  return m_LastMethod;
}

void ChannelStateRecorder::onState(Channel &, ChannelState State) {
  std::lock_guard Guard(m_Lock);
  m_Seen.push_back(State);
}

bool ChannelStateRecorder::saw(ChannelState State) const {
  std::lock_guard Guard(m_Lock);
  return std::find(m_Seen.begin(), m_Seen.end(), State) != m_Seen.end();
}

std::unique_ptr<Server>
startServer(const std::shared_ptr<ServerListener> &Listener,
            ServerOptions Options) {
  if (Options.Listen.Address.empty())
    Options.Listen = {"127.0.0.1", 0};
  auto Created = Server::create(Options, Listener);
  return Created ? std::move(Created).value() : nullptr;
}

std::unique_ptr<Client> makeClient(ClientOptions Options) {
  return std::move(Client::create(Options)).value();
}

std::shared_ptr<Channel> connectedChannel(Client &WireClient,
                                          const Endpoint &Peer) {
  auto Created = WireClient.connect(Peer, nullptr);
  waitFor(*Created, ChannelState::Up);
  return Created;
}

bool waitFor(const Channel &Source, ChannelState State) {
  return eventually([&] { return Source.state() == State; });
}

RawSocket::RawSocket(const Endpoint &Peer)
    : RawSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  auto Address = socketAddress(Peer);
  [[maybe_unused]] int Ignored = ::connect(
      m_Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
}

RawSocket::RawSocket(int Accepted) : m_Socket(Accepted) {
  timeval Limit{5, 0};
  setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
}

RawSocket::~RawSocket() { ::close(m_Socket); }

bool RawSocket::write(std::string_view Bytes) {
  return ::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
         ssize_t(Bytes.size());
}

bool RawSocket::readMore() {
  char Buffer[16384];
  ssize_t Size = ::recv(m_Socket, Buffer, sizeof(Buffer), 0);
  if (Size > 0)
    m_Input.append(Buffer, size_t(Size));
  else if (Size == 0)
    errno = 0;
  return Size > 0;
}

bool RawSocket::receives(std::string_view Bytes) {
  size_t At = 0;
  while ((At = m_Input.find(Bytes)) == std::string::npos)
    if (!readMore())
      return false;
  m_Input.erase(0, At + Bytes.size());
  return true;
}

bool RawSocket::closedByPeer() {
  while (readMore())
    ;
  return errno == 0 || errno == ECONNRESET;
}

bool RawSocket::closedWhileTrickling(std::string_view Bytes,
                                     std::chrono::milliseconds Pause,
                                     bool Reading) {
  auto Deadline = std::chrono::steady_clock::now() + 5s;
  while (std::chrono::steady_clock::now() < Deadline) {
    pollfd Wait{m_Socket, short(Reading ? POLLIN : 0), 0};
    char Buffer[4096];
    if (::poll(&Wait, 1, int(Pause.count())) > 0 &&
        (!Reading || ::recv(m_Socket, Buffer, sizeof(Buffer), 0) <= 0))
      return true;
    if (!write(Bytes))
      return true;
  }
  return false;
}

RawListener::RawListener()
    : m_Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  // Inherited by accepted sockets. A small fixed buffer fills quickly and stays
  // full, while an automatically tuned one grows after a pause.
  int Small = 16 << 10;
  setsockopt(m_Socket, SOL_SOCKET, SO_RCVBUF, &Small, sizeof(Small));
  auto Address = socketAddress({"127.0.0.1", 0});
  if (::bind(m_Socket, reinterpret_cast<sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(m_Socket, 16) != 0)
    std::abort();
}

RawListener::~RawListener() { ::close(m_Socket); }

Endpoint RawListener::endpoint() const {
  sockaddr_in Local{};
  socklen_t Length = sizeof(Local);
  getsockname(m_Socket, reinterpret_cast<sockaddr *>(&Local), &Length);
  return {"127.0.0.1", ntohs(Local.sin_port)};
}

std::unique_ptr<RawSocket> RawListener::accept() {
  return std::make_unique<RawSocket>(::accept(m_Socket, nullptr, nullptr));
}

std::string frame(uint8_t Type, uint8_t Flags, uint32_t Stream,
                  std::string_view Payload) {
  auto Size = Payload.size();
  std::string Bytes = {
      char(Size >> 16),   char(Size >> 8),   char(Size),
      char(Type),         char(Flags),       char(Stream >> 24),
      char(Stream >> 16), char(Stream >> 8), char(Stream)};
  return Bytes.append(Payload);
}

std::string preface() {
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, {});
}

std::string requestHeaders(uint32_t Stream, bool Ended) {
  // HPACK: indexed :method POST and :scheme http, literals without indexing
  // for :authority and :path.
  std::string Block = "\x83\x86";
  Block += std::string("\x01\x01", 2) + "x";
  std::string Path = "/figlift.v1/Run";
  Block += std::string("\x04", 1) + char(Path.size()) + Path;
  return frame(1, uint8_t(Ended ? 5 : 4), Stream, Block);
}

} // namespace figlift::wire::test
