//===- TestBadPeers.cpp - A server among peers that misbehave -------------===//
//
// Each test has a healthy channel at its side that must not notice.
//
//===----------------------------------------------------------------------===//

#include "LibWire/WireFixtures.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::wire;
using namespace figlift::wire::test;

TEST_GROUP(BadPeers) {
  std::unique_ptr<Server> Host;
  std::unique_ptr<Client> From;
  std::shared_ptr<Channel> Healthy;
  std::shared_ptr<States> Seen;

  void setup() override {
    ServerOptions Options;
    Options.HeartbeatInterval = 100ms;
    Options.HeartbeatTimeout = 400ms;
    Options.FirstMessageTimeout = 400ms;
    Options.MaximumMessageBytes = 100'000;
    Options.MaximumConnections = 20;
    Host = serve(std::make_shared<TestService>(Conduct::Echo), Options);
    ClientOptions Calm;
    Calm.HeartbeatTimeout = 5s;
    From = makeClient(Calm);
    Seen = std::make_shared<States>();
    Healthy = From->connect(Host->endpoint(), Seen);
    waitFor(*Healthy, ChannelState::Up);
  }

  void teardown() override {
    auto Mine = std::make_shared<Recorder>();
    Healthy->open(Method::Run, "still here", Mine);
    CHECK(Mine->end() == StreamEnd::Finished);
    CHECK_FALSE(Seen->saw(ChannelState::Down));
    Healthy.reset();
    From.reset();
    Host.reset();
  }
};

TEST(BadPeers, GarbageClosesTheConnection) {
  RawSocket Peer(Host->endpoint());
  CHECK(Peer.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(Peer.closedByPeer());
}

TEST(BadPeers, GarbageAfterAGoodStartClosesTheConnection) {
  RawSocket Peer(Host->endpoint());
  CHECK(Peer.write(preface() + requestHeaders(1) + std::string(4096, '\xff')));
  CHECK(Peer.closedByPeer());
  CHECK(eventually([&] { return Host->openStreams() == 0; }));
}

TEST(BadPeers, SilentConnectionIsClosed) {
  RawSocket Peer(Host->endpoint());
  CHECK(Peer.closedByPeer());
}

TEST(BadPeers, TruncatedFrameIsClosed) {
  // Symptom: connections pile up. Events: a peer stops in the middle of a
  // frame and keeps the socket open. Cause: nobody misses the rest.
  RawSocket Peer(Host->endpoint());
  CHECK(Peer.write(preface() + requestHeaders(1).substr(0, 12)));
  CHECK(Peer.closedByPeer());
}

TEST(BadPeers, SlowHeadersAreClosed) {
  // Symptom: connections pile up. Events: a peer sends one byte of a frame now
  // and then. Cause: every received byte is taken for a sign of life.
  RawSocket Peer(Host->endpoint());
  CHECK(Peer.write(preface() +
                   frame(1, 4, 1, std::string(8000, 'x')).substr(0, 20)));
  CHECK(Peer.closedWhileTrickling("x", 20ms));
}

TEST(BadPeers, SlowMessageIsClosed) {
  // Symptom: buffers of unfinished messages fill the memory. Events: a peer
  // sends whole DATA frames of one byte. Cause: only silence is timed.
  RawSocket Peer(Host->endpoint());
  std::string Start("\0\1\0\0", 4);
  CHECK(Peer.write(preface() + requestHeaders(1) + frame(0, 0, 1, Start)));
  CHECK(Peer.closedWhileTrickling(frame(0, 0, 1, "x"), 20ms));
  CHECK(eventually([&] { return Host->openStreams() == 0; }));
}

TEST(BadPeers, OversizedHeadersCloseTheConnection) {
  RawSocket Peer(Host->endpoint());
  auto Block = requestHeaders(1).substr(9);
  for (int I = 0; I < 80; ++I)
    Block += std::string("\x00\x01y\x7f\x01", 5) + std::string(128, 'v');
  CHECK(Peer.write(preface() + frame(1, 5, 1, Block)));
  CHECK(Peer.closedByPeer());
  // No answer; the request itself was in order.
  CHECK(Peer.unread().find(frame(1, 4, 1, "\x88")) == std::string::npos);
}

TEST(BadPeers, HeadersWithinTheBoundAreAnswered) {
  RawSocket Peer(Host->endpoint());
  CHECK(Peer.write(preface() + requestHeaders(1, true)));
  CHECK(Peer.receives(frame(1, 4, 1, "\x88")));
}

TEST(BadPeers, OversizedMessageEndsItsStream) {
  ClientOptions Large;
  auto Other = makeClient(Large);
  auto Link = upChannel(*Other, Host->endpoint());
  auto Mine = std::make_shared<Recorder>();
  Link->open(Method::Run, std::string(200'000, 'x'), Mine);
  CHECK(Mine->end() == StreamEnd::ResetByPeer);
  CHECK(eventually([&] { return Host->openStreams() == 0; }));
  // One that would fit into a single frame.
  ServerOptions Options;
  Options.MaximumMessageBytes = 100;
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Strict = serve(Service, Options);
  auto Small = std::make_shared<Recorder>();
  Link = upChannel(*Other, Strict->endpoint());
  Link->open(Method::Run, std::string(200, 'x'), Small);
  CHECK(Small->end() == StreamEnd::ResetByPeer);
  LONGS_EQUAL(0, Service->recorder(0)->messages().size());
}

TEST(BadPeers, UnknownMethodIsRefused) {
  RawSocket Peer(Host->endpoint());
  auto Request = requestHeaders(1, true);
  Request.replace(Request.find("/Run"), 4, "/Abc");
  CHECK(Peer.write(preface() + Request));
  // RST_STREAM with REFUSED_STREAM.
  CHECK(Peer.receives(frame(3, 0, 1, std::string("\0\0\0\7", 4))));
  LONGS_EQUAL(0, Host->openStreams());
}

TEST(BadPeers, PeerThatNeverReadsIsClosed) {
  // Symptom: answers pile up until the memory is gone. Events: a peer grants
  // large windows, sends requests and further frames and reads nothing. Cause:
  // its frames are taken for a sign of life and nobody looks at the output.
  RawSocket Peer(Host->endpoint());
  std::string Window("\0\4\x7f\xff\xff\xff", 6);
  CHECK(Peer.write(preface() + frame(4, 0, 0, Window) +
                   frame(8, 0, 0, std::string("\x7f\0\0\0", 4))));
  std::string Message("\0\0\x3f\xfc", 4);
  Message.resize(16'384, 'x');
  // Within the flow control window of the server, which would end it sooner.
  for (uint32_t Id = 1; Id < 1600; Id += 2)
    CHECK(Peer.write(requestHeaders(Id) + frame(0, 1, Id, Message)));
  auto Update = frame(8, 0, 0, std::string("\0\0\0\1", 4));
  CHECK(Peer.closedWhileTrickling(Update, 20ms, /*Reading=*/false));
  CHECK(eventually([&] { return Host->openStreams() == 0; }));
}

TEST(BadPeers, ConnectionsBeyondTheBoundAreClosed) {
  std::vector<std::unique_ptr<RawSocket>> Crowd;
  Crowd.reserve(25);
  for (int I = 0; I < 25; ++I)
    Crowd.push_back(std::make_unique<RawSocket>(Host->endpoint()));
  // Not even SETTINGS; those within the bound get them.
  CHECK(Crowd.back()->closedByPeer());
  LONGS_EQUAL(0, Crowd.back()->unread().size());
  Crowd.clear();
  // The places are free again as soon as the sockets are closed.
  auto Other = makeClient();
  CHECK(waitFor(*Other->connect(Host->endpoint(), nullptr), ChannelState::Up));
}

TEST(BadPeers, SecondListenerOnThePortFails) {
  // Symptom: two agents write to one target. Events: a successor starts while
  // its predecessor is paused. Cause: SO_REUSEPORT lets both listen.
  ServerOptions Again;
  Again.Listen = Host->endpoint();
  auto Second =
      Server::create(Again, std::make_shared<TestService>(Conduct::Echo));
  CHECK(Second.has_error());
  CHECK(Second.error().Code == ResultCode::PeerUnreachable);
  Again.Listen.Address = "0.0.0.0";
  CHECK(serve(std::make_shared<TestService>(Conduct::Echo), Again) == nullptr);
}
