//===- TestConnections.cpp - Lost and draining connections ----------------===//
//
// Channel states and stream outcomes when the peer is absent, silent, draining
// or restarted.
//
//===----------------------------------------------------------------------===//

#include "LibWire/WireFixtures.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::wire;
using namespace figlift::wire::test;

namespace {
/// Short enough for tests, long enough for a sanitizer build.
ClientOptions quickOptions() {
  ClientOptions Options;
  Options.ConnectTimeout = 300ms;
  Options.HeartbeatInterval = 100ms;
  Options.HeartbeatTimeout = 300ms;
  Options.ReconnectMaximum = 50ms;
  return Options;
}
} // namespace

TEST_GROUP(Connections){};

TEST(Connections, RefusedConnectionMeansNeverSent) {
  // Guards against a request that waits although its target's port is closed,
  // if streams are queued until a connection is established.
  Endpoint ClosedPort;
  {
    RawListener Listening;
    ClosedPort = Listening.endpoint();
  }
  auto WireClient = makeClient(quickOptions());
  auto PeerChannel = WireClient->connect(ClosedPort, nullptr);
  CHECK(waitFor(*PeerChannel, ChannelState::Down));
  auto Events = std::make_shared<StreamRecorder>();
  auto OpenedStream = PeerChannel->open(Method::Run, "x", Events);
  CHECK(Events->end() == StreamEnd::NeverSent);
  LONGS_EQUAL(1, Events->ends());
  CHECK_FALSE(OpenedStream->send("late"));
}

TEST(Connections, PeerThatOnlyAcceptsIsNeverUp) {
  // Guards against requests to a paused process: the kernel accepts TCP
  // connections for it, so a connect alone is no proof of a live peer.
  RawListener Silent;
  auto WireClient = makeClient(quickOptions());
  auto StateEvents = std::make_shared<ChannelStateRecorder>();
  auto PeerChannel = WireClient->connect(Silent.endpoint(), StateEvents);
  auto Events = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Events);
  CHECK(Events->end() == StreamEnd::NeverSent);
  CHECK(waitFor(*PeerChannel, ChannelState::Down));
  CHECK_FALSE(StateEvents->saw(ChannelState::Up));
}

TEST(Connections, SilentPeerIsDetectedWithinTheHeartbeatTimeout) {
  // Guards against a stream that hangs forever when the peer's machine fails or
  // its process is paused after the request was sent: no FIN or RST arrives,
  // and TCP alone does not report the loss.
  RawListener Listening;
  auto WireClient = makeClient(quickOptions());
  auto PeerChannel = WireClient->connect(Listening.endpoint(), nullptr);
  auto Peer = Listening.accept();
  CHECK(Peer->write(frame(4, 0, 0, {})));
  CHECK(waitFor(*PeerChannel, ChannelState::Up));
  auto Start = std::chrono::steady_clock::now();
  auto Events = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Events);
  CHECK(Events->end() == StreamEnd::ConnectionLost);
  auto Elapsed = std::chrono::steady_clock::now() - Start;
  CHECK(Elapsed < 2s);
}

TEST(Connections, HealthyIdleConnectionStaysUp) {
  auto Service = std::make_shared<TestService>(Behavior::Echo);
  ServerOptions ServerSettings;
  ServerSettings.HeartbeatInterval = 20ms;
  ServerSettings.HeartbeatTimeout = 10s;
  ServerSettings.FirstMessageTimeout = 100ms;
  auto WireServer = startServer(Service, ServerSettings);
  auto Options = quickOptions();
  Options.HeartbeatInterval = 20ms;
  Options.HeartbeatTimeout = 10s;
  auto WireClient = makeClient(Options);
  auto StateEvents = std::make_shared<ChannelStateRecorder>();
  auto PeerChannel = WireClient->connect(WireServer->endpoint(), StateEvents);
  CHECK(waitFor(*PeerChannel, ChannelState::Up));
  // Lasts for a dozen heartbeats of 17 bytes each, several times
  // FirstMessageTimeout.
  auto PreviousBytes = WireServer->bytesReceived();
  CHECK(eventually(
      [&] { return WireServer->bytesReceived() > PreviousBytes + 204; }));
  CHECK(PeerChannel->state() == ChannelState::Up);
  CHECK_FALSE(StateEvents->saw(ChannelState::Down));
}

TEST(Connections, DrainFinishesOpenStreamsAndRefusesNewOnes) {
  // Guards against requests that fail or are executed twice when a process is
  // replaced: a drain starts while streams are open and others are being
  // opened, and GOAWAY must name the streams that were processed.
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  auto WireClient = makeClient(quickOptions());
  auto StateEvents = std::make_shared<ChannelStateRecorder>();
  auto PeerChannel = WireClient->connect(WireServer->endpoint(), StateEvents);
  CHECK(waitFor(*PeerChannel, ChannelState::Up));
  auto Running = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Running);
  CHECK(eventually([&] { return Service->count() == 1; }));
  WireServer->drain();
  std::vector<std::shared_ptr<StreamRecorder>> LateEvents;
  for (int I = 0; I < 200; ++I) {
    LateEvents.push_back(std::make_shared<StreamRecorder>());
    PeerChannel->open(Method::Run, "x", LateEvents.back());
  }
  CHECK(waitFor(*PeerChannel, ChannelState::GoingAway));
  LateEvents.push_back(std::make_shared<StreamRecorder>());
  PeerChannel->open(Method::Run, "x", LateEvents.back());
  // Streams that the server accepted before the drain continue; each of the
  // others ends as not processed.
  CHECK(LateEvents.back()->end() == StreamEnd::NeverSent);
  size_t Refused = 0;
  for (auto &Entry : LateEvents)
    if (auto End = Entry->end(std::chrono::milliseconds(0)); End) {
      CHECK(End == StreamEnd::ProvablyNotProcessed ||
            End == StreamEnd::NeverSent);
      ++Refused;
    }
  CHECK(Running->ends() == 0);
  Service->stream(0)->send("answer");
  Service->stream(0)->finish();
  CHECK(Running->end() == StreamEnd::Finished);
  LONGS_EQUAL(1, Running->messages().size());
  for (size_t I = 1; I < Service->count(); ++I)
    Service->stream(I)->finish();
  size_t Accepted = Service->count() - 1;
  for (auto &Entry : LateEvents) {
    auto End = Entry->end();
    CHECK(End.has_value());
    Accepted -= End == StreamEnd::Finished;
  }
  LONGS_EQUAL(0, Accepted);
  CHECK(Refused > 0);
  CHECK(eventually([&] { return WireServer->openStreams() == 0; }));
}

TEST(Connections, StreamsAboveTheLastIdOfGoAwayWereNotProcessed) {
  // Guards against reporting an unknown outcome for a request that was never
  // processed: GOAWAY with last stream id 1 arrives on a connection with
  // streams 1 and 3.
  RawListener Listening;
  auto WireClient = makeClient(quickOptions());
  auto PeerChannel = WireClient->connect(Listening.endpoint(), nullptr);
  auto Peer = Listening.accept();
  CHECK(Peer->write(frame(4, 0, 0, {})));
  CHECK(waitFor(*PeerChannel, ChannelState::Up));
  auto First = std::make_shared<StreamRecorder>();
  auto Second = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", First);
  PeerChannel->open(Method::Run, "x", Second);
  CHECK(eventually([&] { return WireClient->bytesSent() > 150; }));
  CHECK(Peer->write(frame(7, 0, 0, std::string("\0\0\0\1\0\0\0\0", 8))));
  CHECK(Second->end() == StreamEnd::ProvablyNotProcessed);
  LONGS_EQUAL(0, First->ends());
  Peer.reset();
  CHECK(First->end() == StreamEnd::ConnectionLost);
}

TEST(Connections, GoAwayOpensTheNextConnectionWhileOldStreamsFinish) {
  // Guards against new requests that fail while older responses are still being
  // sent, if after a GOAWAY the channel waits for the old connection to close
  // before it opens the next one.
  RawListener Listening;
  auto WireClient = makeClient(quickOptions());
  auto StateEvents = std::make_shared<ChannelStateRecorder>();
  auto PeerChannel = WireClient->connect(Listening.endpoint(), StateEvents);
  auto OldPeer = Listening.accept();
  CHECK(OldPeer->write(frame(4, 0, 0, {})));
  CHECK(waitFor(*PeerChannel, ChannelState::Up));
  auto First = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", First);
  CHECK(OldPeer->receives("x"));
  CHECK(OldPeer->write(frame(7, 0, 0, std::string("\0\0\0\1\0\0\0\0", 8))));
  CHECK(waitFor(*PeerChannel, ChannelState::GoingAway));
  auto NewPeer = Listening.accept();
  CHECK(NewPeer->write(frame(4, 0, 0, {})));
  CHECK(waitFor(*PeerChannel, ChannelState::Up));
  LONGS_EQUAL(0, First->ends());
  // HPACK index 8 is :status 200.
  CHECK(OldPeer->write(frame(1, 4, 1, "\x88") +
                       frame(0, 1, 1, std::string("\0\0\0\2ok", 6))));
  CHECK(First->end() == StreamEnd::Finished);
  STRCMP_EQUAL("ok", First->messages().at(0).c_str());
}

TEST(Connections, HeadersBehindAFullSocketWereNeverSent) {
  // Guards against reporting an unknown outcome for a request that is safe to
  // retry: the peer stops reading, a request is queued behind the full socket,
  // and the connection is lost. Bytes produced by nghttp2 must not count as
  // sent.
  ClientOptions Options;
  Options.HeartbeatTimeout = 10s;
  std::string Window("\0\4\x7f\xff\xff\xff", 6);
  // The kernel may accept more bytes at any time, so a round counts only if no
  // byte was sent from before the request until its end.
  bool NothingSent = false;
  for (int Round = 0; Round < 20 && !NothingSent; ++Round) {
    RawListener Listening;
    auto WireClient = makeClient(Options);
    auto PeerChannel = WireClient->connect(Listening.endpoint(), nullptr);
    auto Peer = Listening.accept();
    CHECK(Peer->write(frame(4, 0, 0, Window) +
                      frame(8, 0, 0, std::string("\x7f\0\0\0", 4))));
    CHECK(waitFor(*PeerChannel, ChannelState::Up));
    auto BulkEvents = std::make_shared<StreamRecorder>();
    for (int I = 0; I < 4; ++I)
      PeerChannel->open(Method::Run, std::string(8u << 20, 'x'), BulkEvents);
    uint64_t PreviousBytes = 0;
    int UnchangedPolls = 0;
    CHECK(eventually([&] {
      uint64_t Now = WireClient->bytesSent();
      UnchangedPolls = Now == std::exchange(PreviousBytes, Now) && Now > 10'000
                           ? UnchangedPolls + 1
                           : 0;
      return UnchangedPolls == 10;
    }));
    auto Blocked = std::make_shared<StreamRecorder>();
    PeerChannel->open(Method::Run, "x", Blocked);
    // Ends on the I/O thread after that thread has processed Behind.
    auto Barrier = std::make_shared<StreamRecorder>();
    PeerChannel->open(Method::Run, std::string(9u << 20, 'x'), Barrier);
    CHECK(Barrier->end() == StreamEnd::NeverSent);
    LONGS_EQUAL(0, Blocked->ends());
    LONGS_EQUAL(0, BulkEvents->ends());
    Peer.reset();
    auto End = Blocked->end();
    CHECK(End == StreamEnd::NeverSent || End == StreamEnd::ConnectionLost);
    CHECK(eventually([&] { return BulkEvents->ends() == 4; }));
    NothingSent = WireClient->bytesSent() == PreviousBytes;
    if (NothingSent)
      CHECK(End == StreamEnd::NeverSent);
  }
  CHECK(NothingSent);
}

TEST(Connections, DroppedChannelClosesItsConnection) {
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  auto WireClient = makeClient();
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  auto Events = std::make_shared<StreamRecorder>();
  auto OpenedStream = PeerChannel->open(Method::Run, "x", Events);
  CHECK(eventually([&] { return Service->count() == 1; }));
  PeerChannel.reset();
  CHECK(Events->end() == StreamEnd::Cancelled);
  CHECK(Service->recorder(0)->end() == StreamEnd::ResetByPeer);
}

TEST(Connections, ChannelReconnectsAfterARestart) {
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  ServerOptions Restarted;
  Restarted.Listen = WireServer->endpoint();
  auto WireClient = makeClient(quickOptions());
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  auto Lost = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Lost);
  CHECK(eventually([&] { return Service->count() == 1; }));
  WireServer->stop();
  CHECK(Lost->end() == StreamEnd::ConnectionLost);
  CHECK(waitFor(*PeerChannel, ChannelState::Down));
  WireServer =
      startServer(std::make_shared<TestService>(Behavior::Echo), Restarted);
  CHECK(WireServer != nullptr);
  CHECK(waitFor(*PeerChannel, ChannelState::Up));
  auto Events = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Events);
  CHECK(Events->end() == StreamEnd::Finished);
}

TEST(Connections, ClosedChannelCancelsItsStreams) {
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  auto WireClient = makeClient();
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  auto Events = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Events);
  CHECK(eventually([&] { return Service->count() == 1; }));
  PeerChannel->close();
  CHECK(Events->end() == StreamEnd::Cancelled);
  CHECK(Service->recorder(0)->end() == StreamEnd::ResetByPeer);
  auto Late = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Late);
  CHECK(Late->end() == StreamEnd::NeverSent);
  WireClient.reset();
  auto LateEvents = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", LateEvents);
  CHECK(LateEvents->end() == StreamEnd::NeverSent);
}

TEST(Connections, DrainIsAnnouncedBeforeTheLastStreamIdIsSent) {
  // Guards against unknown outcomes of requests that were in transit when a
  // drain started: the last stream id must be sent only after the peer has
  // received the shutdown notice.
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  RawSocket Peer(WireServer->endpoint());
  CHECK(Peer.write(preface() + requestHeaders(1)));
  CHECK(eventually([&] { return Service->count() == 1; }));
  WireServer->drain();
  CHECK(Peer.receives(
      frame(7, 0, 0, std::string("\x7f\xff\xff\xff\0\0\0\0", 8))));
  CHECK(Peer.write(requestHeaders(3)));
  CHECK(Peer.receives(frame(3, 0, 3, std::string("\0\0\0\7", 4))));
  CHECK(Peer.write(frame(6, 1, 0, "draining")));
  CHECK(Peer.receives(frame(7, 0, 0, std::string("\0\0\0\3\0\0\0\0", 8))));
  LONGS_EQUAL(1, Service->count());
  // The socket still listens, but new connections are closed.
  RawSocket Late(WireServer->endpoint());
  CHECK(Late.closedByPeer());
  LONGS_EQUAL(0, Late.unread().size());
}

TEST(Connections, QueuedResponsesAreDeliveredWhenTheServerStops) {
  // Guards against the loss of a complete response when its process exits: with
  // stop() right after the last finish(), closing a socket with queued output,
  // or an RST because of unread input, would discard bytes in transit.
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  RawSocket Peer(WireServer->endpoint());
  std::string Window("\0\4\x7f\xff\xff\xff", 6);
  CHECK(Peer.write(preface() + frame(4, 0, 0, Window) +
                   frame(8, 0, 0, std::string("\x7f\0\0\0", 4)) +
                   requestHeaders(1, true)));
  CHECK(eventually([&] { return Service->count() == 1; }));
  constexpr size_t Size = 8u << 20;
  Service->stream(0)->send(std::string(Size, 'x'));
  Service->stream(0)->finish();
  std::thread Stopping([&] { WireServer->stop(); });
  CHECK(Peer.closedByPeer());
  Stopping.join();
  LONGS_EQUAL(Size,
              std::count(Peer.unread().begin(), Peer.unread().end(), 'x'));
}
