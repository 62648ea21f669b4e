//===- TestBadPeers.cpp - A server with misbehaving peers -----------------===//
//
// Every test also checks that a healthy channel is not affected.
//
//===----------------------------------------------------------------------===//

#include "LibWire/WireFixtures.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::wire;
using namespace figlift::wire::test;

TEST_GROUP(BadPeers) {
  std::unique_ptr<Server> WireServer;
  std::unique_ptr<Client> WireClient;
  std::shared_ptr<Channel> Healthy;
  std::shared_ptr<ChannelStateRecorder> StateEvents;

  void setup() override {
    ServerOptions Options;
    Options.HeartbeatInterval = 100ms;
    Options.HeartbeatTimeout = 400ms;
    Options.FirstMessageTimeout = 400ms;
    Options.MaximumMessageBytes = 100'000;
    Options.MaximumConnections = 20;
    WireServer =
        startServer(std::make_shared<TestService>(Behavior::Echo), Options);
    ClientOptions ClientSettings;
    ClientSettings.HeartbeatTimeout = 5s;
    WireClient = makeClient(ClientSettings);
    StateEvents = std::make_shared<ChannelStateRecorder>();
    Healthy = WireClient->connect(WireServer->endpoint(), StateEvents);
    waitFor(*Healthy, ChannelState::Up);
  }

  void teardown() override {
    auto Events = std::make_shared<StreamRecorder>();
    Healthy->open(Method::Run, "still here", Events);
    CHECK(Events->end() == StreamEnd::Finished);
    CHECK_FALSE(StateEvents->saw(ChannelState::Down));
    Healthy.reset();
    WireClient.reset();
    WireServer.reset();
  }
};

TEST(BadPeers, GarbageClosesTheConnection) {
  RawSocket Peer(WireServer->endpoint());
  CHECK(Peer.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(Peer.closedByPeer());
}

TEST(BadPeers, GarbageAfterAValidRequestClosesTheConnection) {
  RawSocket Peer(WireServer->endpoint());
  CHECK(Peer.write(preface() + requestHeaders(1) + std::string(4096, '\xff')));
  CHECK(Peer.closedByPeer());
  CHECK(eventually([&] { return WireServer->openStreams() == 0; }));
}

TEST(BadPeers, SilentConnectionIsClosed) {
  RawSocket Peer(WireServer->endpoint());
  CHECK(Peer.closedByPeer());
}

TEST(BadPeers, TruncatedFrameIsClosed) {
  // Guards against a leak of connections when a peer stops in the middle of a
  // frame and keeps the socket open.
  RawSocket Peer(WireServer->endpoint());
  CHECK(Peer.write(preface() + requestHeaders(1).substr(0, 12)));
  CHECK(Peer.closedByPeer());
}

TEST(BadPeers, SlowHeadersAreClosed) {
  // Guards against a leak of connections when a peer sends a frame in single
  // bytes, if every received byte counts as a sign of life.
  RawSocket Peer(WireServer->endpoint());
  CHECK(Peer.write(preface() +
                   frame(1, 4, 1, std::string(8000, 'x')).substr(0, 20)));
  CHECK(Peer.closedWhileTrickling("x", 20ms));
}

TEST(BadPeers, SlowMessageIsClosed) {
  // Guards against buffers of incomplete messages that fill the memory when a
  // peer sends complete DATA frames of one byte, if only silence is timed.
  RawSocket Peer(WireServer->endpoint());
  std::string Start("\0\1\0\0", 4);
  CHECK(Peer.write(preface() + requestHeaders(1) + frame(0, 0, 1, Start)));
  CHECK(Peer.closedWhileTrickling(frame(0, 0, 1, "x"), 20ms));
  CHECK(eventually([&] { return WireServer->openStreams() == 0; }));
}

TEST(BadPeers, OversizedHeadersCloseTheConnection) {
  RawSocket Peer(WireServer->endpoint());
  auto Block = requestHeaders(1).substr(9);
  for (int I = 0; I < 80; ++I)
    Block += std::string("\x00\x01y\x7f\x01", 5) + std::string(128, 'v');
  CHECK(Peer.write(preface() + frame(1, 5, 1, Block)));
  CHECK(Peer.closedByPeer());
  // No response, although the request itself was valid.
  CHECK(Peer.unread().find(frame(1, 4, 1, "\x88")) == std::string::npos);
}

TEST(BadPeers, HeadersWithinTheLimitAreAccepted) {
  RawSocket Peer(WireServer->endpoint());
  CHECK(Peer.write(preface() + requestHeaders(1, true)));
  CHECK(Peer.receives(frame(1, 4, 1, "\x88")));
}

TEST(BadPeers, OversizedMessageResetsItsStream) {
  ClientOptions ClientSettings;
  auto Other = makeClient(ClientSettings);
  auto PeerChannel = connectedChannel(*Other, WireServer->endpoint());
  auto Events = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, std::string(200'000, 'x'), Events);
  CHECK(Events->end() == StreamEnd::ResetByPeer);
  CHECK(eventually([&] { return WireServer->openStreams() == 0; }));
  // A message that exceeds the limit within a single frame.
  ServerOptions Options;
  Options.MaximumMessageBytes = 100;
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto Strict = startServer(Service, Options);
  auto Small = std::make_shared<StreamRecorder>();
  PeerChannel = connectedChannel(*Other, Strict->endpoint());
  PeerChannel->open(Method::Run, std::string(200, 'x'), Small);
  CHECK(Small->end() == StreamEnd::ResetByPeer);
  LONGS_EQUAL(0, Service->recorder(0)->messages().size());
}

TEST(BadPeers, UnknownMethodIsRefused) {
  RawSocket Peer(WireServer->endpoint());
  auto Request = requestHeaders(1, true);
  Request.replace(Request.find("/Run"), 4, "/Abc");
  CHECK(Peer.write(preface() + Request));
  // RST_STREAM with REFUSED_STREAM.
  CHECK(Peer.receives(frame(3, 0, 1, std::string("\0\0\0\7", 4))));
  LONGS_EQUAL(0, WireServer->openStreams());
}

TEST(BadPeers, PeerThatNeverReadsIsClosed) {
  // Guards against responses that accumulate until memory is exhausted when a
  // peer grants large windows, keeps sending frames and reads nothing, if its
  // frames count as a sign of life and the pending output is not checked.
  RawSocket Peer(WireServer->endpoint());
  std::string Window("\0\4\x7f\xff\xff\xff", 6);
  CHECK(Peer.write(preface() + frame(4, 0, 0, Window) +
                   frame(8, 0, 0, std::string("\x7f\0\0\0", 4))));
  std::string Message("\0\0\x3f\xfc", 4);
  Message.resize(16'384, 'x');
  // Stays within the server's flow control window; exceeding it would close the
  // connection earlier.
  for (uint32_t Id = 1; Id < 1600; Id += 2)
    CHECK(Peer.write(requestHeaders(Id) + frame(0, 1, Id, Message)));
  auto Update = frame(8, 0, 0, std::string("\0\0\0\1", 4));
  CHECK(Peer.closedWhileTrickling(Update, 20ms, /*Reading=*/false));
  CHECK(eventually([&] { return WireServer->openStreams() == 0; }));
}

TEST(BadPeers, ConnectionsBeyondTheLimitAreClosed) {
  std::vector<std::unique_ptr<RawSocket>> Peers;
  Peers.reserve(25);
  for (int I = 0; I < 25; ++I)
    Peers.push_back(std::make_unique<RawSocket>(WireServer->endpoint()));
  // Receives no SETTINGS, unlike connections within the limit.
  CHECK(Peers.back()->closedByPeer());
  LONGS_EQUAL(0, Peers.back()->unread().size());
  Peers.clear();
  // Closed sockets no longer count against the limit.
  auto Other = makeClient();
  CHECK(waitFor(*Other->connect(WireServer->endpoint(), nullptr),
                ChannelState::Up));
}

TEST(BadPeers, SecondListenerOnThePortFails) {
  // Guards against two agents that write to one target: with SO_REUSEPORT a
  // successor could listen while its predecessor is paused.
  ServerOptions SecondOptions;
  SecondOptions.Listen = WireServer->endpoint();
  auto Second = Server::create(SecondOptions,
                               std::make_shared<TestService>(Behavior::Echo));
  CHECK(Second.has_error());
  CHECK(Second.error().Code == ResultCode::PeerUnreachable);
  SecondOptions.Listen.Address = "0.0.0.0";
  CHECK(startServer(std::make_shared<TestService>(Behavior::Echo),
                    SecondOptions) == nullptr);
}
