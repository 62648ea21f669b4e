//===- TestConnections.cpp - Connections that break or leave --------------===//
//
// What channels report when the peer is absent, silent, drains or restarts.
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
  // Symptom: a request waits although its target is dead. Events: the target's
  // port is closed. Cause: streams that queue up for a connection to come.
  Endpoint Gone;
  {
    RawListener Free;
    Gone = Free.endpoint();
  }
  auto From = makeClient(quickOptions());
  auto Link = From->connect(Gone, nullptr);
  CHECK(waitFor(*Link, ChannelState::Down));
  auto Mine = std::make_shared<Recorder>();
  auto Opened = Link->open(Method::Run, "x", Mine);
  CHECK(Mine->end() == StreamEnd::NeverSent);
  LONGS_EQUAL(1, Mine->ends());
  CHECK_FALSE(Opened->send("late"));
}

TEST(Connections, PeerThatOnlyAcceptsIsNeverUp) {
  // Symptom: requests go to a paused process. Events: the kernel accepts TCP
  // connections for it. Cause: TCP's connect is taken for a living peer.
  RawListener Silent;
  auto From = makeClient(quickOptions());
  auto Seen = std::make_shared<States>();
  auto Link = From->connect(Silent.endpoint(), Seen);
  auto Mine = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Mine);
  CHECK(Mine->end() == StreamEnd::NeverSent);
  CHECK(waitFor(*Link, ChannelState::Down));
  CHECK_FALSE(Seen->saw(ChannelState::Up));
}

TEST(Connections, PeerThatFallsSilentIsLostWithinTheTimeout) {
  // Symptom: a stream hangs for ever. Events: the peer's machine vanishes or
  // its process stops after the request went out; no FIN or RST comes. Cause:
  // TCP alone reports nothing.
  RawListener Listening;
  auto From = makeClient(quickOptions());
  auto Link = From->connect(Listening.endpoint(), nullptr);
  auto Peer = Listening.accept();
  CHECK(Peer->write(frame(4, 0, 0, {})));
  CHECK(waitFor(*Link, ChannelState::Up));
  auto Start = std::chrono::steady_clock::now();
  auto Mine = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Mine);
  CHECK(Mine->end() == StreamEnd::ConnectionLost);
  auto Took = std::chrono::steady_clock::now() - Start;
  CHECK(Took < 2s);
}

TEST(Connections, HealthyIdleConnectionStaysUp) {
  auto Service = std::make_shared<TestService>(Conduct::Echo);
  ServerOptions Served;
  Served.HeartbeatInterval = 20ms;
  Served.HeartbeatTimeout = 10s;
  Served.FirstMessageTimeout = 100ms;
  auto Host = serve(Service, Served);
  auto Options = quickOptions();
  Options.HeartbeatInterval = 20ms;
  Options.HeartbeatTimeout = 10s;
  auto From = makeClient(Options);
  auto Seen = std::make_shared<States>();
  auto Link = From->connect(Host->endpoint(), Seen);
  CHECK(waitFor(*Link, ChannelState::Up));
  // A dozen heartbeats of 17 bytes, and several times the limit on the first
  // message.
  auto Before = Host->bytesReceived();
  CHECK(eventually([&] { return Host->bytesReceived() > Before + 204; }));
  CHECK(Link->state() == ChannelState::Up);
  CHECK_FALSE(Seen->saw(ChannelState::Down));
}

TEST(Connections, DrainFinishesWhatRunsAndRefusesTheRest) {
  // Symptom: requests fail or run twice when a process is replaced. Events: a
  // drain begins while streams run and others are being opened. Cause: a
  // GOAWAY that does not tell which streams were processed.
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  auto From = makeClient(quickOptions());
  auto Seen = std::make_shared<States>();
  auto Link = From->connect(Host->endpoint(), Seen);
  CHECK(waitFor(*Link, ChannelState::Up));
  auto Running = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Running);
  CHECK(eventually([&] { return Service->count() == 1; }));
  Host->drain();
  std::vector<std::shared_ptr<Recorder>> Later;
  for (int I = 0; I < 200; ++I) {
    Later.push_back(std::make_shared<Recorder>());
    Link->open(Method::Run, "x", Later.back());
  }
  CHECK(waitFor(*Link, ChannelState::GoingAway));
  Later.push_back(std::make_shared<Recorder>());
  Link->open(Method::Run, "x", Later.back());
  // Those that the server took before it knew of the drain run on; each of
  // the others was provably not processed.
  CHECK(Later.back()->end() == StreamEnd::NeverSent);
  size_t Refused = 0;
  for (auto &Each : Later)
    if (auto End = Each->end(std::chrono::milliseconds(0)); End) {
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
  size_t Taken = Service->count() - 1;
  for (auto &Each : Later) {
    auto End = Each->end();
    CHECK(End.has_value());
    Taken -= End == StreamEnd::Finished;
  }
  LONGS_EQUAL(0, Taken);
  CHECK(Refused > 0);
  CHECK(eventually([&] { return Host->openStreams() == 0; }));
}

TEST(Connections, StreamsAboveTheLastIdOfGoAwayWereNotProcessed) {
  // Symptom: a request that never ran is reported as unknown. Events: GOAWAY
  // with last stream id 1 answers a connection with streams 1 and 3. Cause:
  // the promise of GOAWAY is not used.
  RawListener Listening;
  auto From = makeClient(quickOptions());
  auto Link = From->connect(Listening.endpoint(), nullptr);
  auto Peer = Listening.accept();
  CHECK(Peer->write(frame(4, 0, 0, {})));
  CHECK(waitFor(*Link, ChannelState::Up));
  auto First = std::make_shared<Recorder>();
  auto Second = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", First);
  Link->open(Method::Run, "x", Second);
  CHECK(eventually([&] { return From->bytesSent() > 150; }));
  CHECK(Peer->write(frame(7, 0, 0, std::string("\0\0\0\1\0\0\0\0", 8))));
  CHECK(Second->end() == StreamEnd::ProvablyNotProcessed);
  LONGS_EQUAL(0, First->ends());
  Peer.reset();
  CHECK(First->end() == StreamEnd::ConnectionLost);
}

TEST(Connections, GoAwayOpensTheNextConnectionWhileOldStreamsFinish) {
  // Symptom: new requests fail while old answers are still being sent. Events:
  // the peer sends GOAWAY on one connection and accepts another. Cause: the
  // channel waits for the old connection to end.
  RawListener Listening;
  auto From = makeClient(quickOptions());
  auto Seen = std::make_shared<States>();
  auto Link = From->connect(Listening.endpoint(), Seen);
  auto Old = Listening.accept();
  CHECK(Old->write(frame(4, 0, 0, {})));
  CHECK(waitFor(*Link, ChannelState::Up));
  auto First = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", First);
  CHECK(Old->receives("x"));
  CHECK(Old->write(frame(7, 0, 0, std::string("\0\0\0\1\0\0\0\0", 8))));
  CHECK(waitFor(*Link, ChannelState::GoingAway));
  auto New = Listening.accept();
  CHECK(New->write(frame(4, 0, 0, {})));
  CHECK(waitFor(*Link, ChannelState::Up));
  LONGS_EQUAL(0, First->ends());
  // HPACK index 8 is :status 200.
  CHECK(Old->write(frame(1, 4, 1, "\x88") +
                   frame(0, 1, 1, std::string("\0\0\0\2ok", 6))));
  CHECK(First->end() == StreamEnd::Finished);
  STRCMP_EQUAL("ok", First->messages().at(0).c_str());
}

TEST(Connections, HeadersBehindAFullSocketWereNeverSent) {
  // Symptom: a request that is safe to repeat is reported as unknown. Events:
  // the peer stops reading, a request queues up behind the full socket, then
  // the connection breaks. Cause: what nghttp2 packed is taken for sent.
  ClientOptions Patient;
  Patient.HeartbeatTimeout = 10s;
  std::string Window("\0\4\x7f\xff\xff\xff", 6);
  // The kernel may at any time find room for more, so a round counts only when
  // nothing moved from before the request until its end.
  bool Stood = false;
  for (int Round = 0; Round < 20 && !Stood; ++Round) {
    RawListener Listening;
    auto From = makeClient(Patient);
    auto Link = From->connect(Listening.endpoint(), nullptr);
    auto Peer = Listening.accept();
    CHECK(Peer->write(frame(4, 0, 0, Window) +
                      frame(8, 0, 0, std::string("\x7f\0\0\0", 4))));
    CHECK(waitFor(*Link, ChannelState::Up));
    auto Large = std::make_shared<Recorder>();
    for (int I = 0; I < 4; ++I)
      Link->open(Method::Run, std::string(8u << 20, 'x'), Large);
    uint64_t Before = 0;
    int Same = 0;
    CHECK(eventually([&] {
      uint64_t Now = From->bytesSent();
      Same = Now == std::exchange(Before, Now) && Now > 10'000 ? Same + 1 : 0;
      return Same == 10;
    }));
    auto Behind = std::make_shared<Recorder>();
    Link->open(Method::Run, "x", Behind);
    // Ends on the I/O thread after that thread has dealt with Behind.
    auto Barrier = std::make_shared<Recorder>();
    Link->open(Method::Run, std::string(9u << 20, 'x'), Barrier);
    CHECK(Barrier->end() == StreamEnd::NeverSent);
    LONGS_EQUAL(0, Behind->ends());
    LONGS_EQUAL(0, Large->ends());
    Peer.reset();
    auto End = Behind->end();
    CHECK(End == StreamEnd::NeverSent || End == StreamEnd::ConnectionLost);
    CHECK(eventually([&] { return Large->ends() == 4; }));
    Stood = From->bytesSent() == Before;
    if (Stood)
      CHECK(End == StreamEnd::NeverSent);
  }
  CHECK(Stood);
}

TEST(Connections, DroppedChannelClosesItsConnection) {
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  auto From = makeClient();
  auto Link = upChannel(*From, Host->endpoint());
  auto Mine = std::make_shared<Recorder>();
  auto Opened = Link->open(Method::Run, "x", Mine);
  CHECK(eventually([&] { return Service->count() == 1; }));
  Link.reset();
  CHECK(Mine->end() == StreamEnd::Cancelled);
  CHECK(Service->recorder(0)->end() == StreamEnd::ResetByPeer);
}

TEST(Connections, ChannelComesBackAfterARestart) {
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  ServerOptions Again;
  Again.Listen = Host->endpoint();
  auto From = makeClient(quickOptions());
  auto Link = upChannel(*From, Host->endpoint());
  auto Lost = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Lost);
  CHECK(eventually([&] { return Service->count() == 1; }));
  Host->stop();
  CHECK(Lost->end() == StreamEnd::ConnectionLost);
  CHECK(waitFor(*Link, ChannelState::Down));
  Host = serve(std::make_shared<TestService>(Conduct::Echo), Again);
  CHECK(Host != nullptr);
  CHECK(waitFor(*Link, ChannelState::Up));
  auto Mine = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Mine);
  CHECK(Mine->end() == StreamEnd::Finished);
}

TEST(Connections, ClosedChannelCancelsItsStreams) {
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  auto From = makeClient();
  auto Link = upChannel(*From, Host->endpoint());
  auto Mine = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Mine);
  CHECK(eventually([&] { return Service->count() == 1; }));
  Link->close();
  CHECK(Mine->end() == StreamEnd::Cancelled);
  CHECK(Service->recorder(0)->end() == StreamEnd::ResetByPeer);
  auto Late = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Late);
  CHECK(Late->end() == StreamEnd::NeverSent);
  From.reset();
  auto Later = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Later);
  CHECK(Later->end() == StreamEnd::NeverSent);
}

TEST(Connections, DrainIsAnnouncedBeforeTheLastIdIsFixed) {
  // Symptom: requests that were under way when a drain began end as unknown.
  // Events: GOAWAY crosses them. Cause: the last id is fixed before the peer
  // knows of the drain.
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  RawSocket Peer(Host->endpoint());
  CHECK(Peer.write(preface() + requestHeaders(1)));
  CHECK(eventually([&] { return Service->count() == 1; }));
  Host->drain();
  CHECK(Peer.receives(
      frame(7, 0, 0, std::string("\x7f\xff\xff\xff\0\0\0\0", 8))));
  CHECK(Peer.write(requestHeaders(3)));
  CHECK(Peer.receives(frame(3, 0, 3, std::string("\0\0\0\7", 4))));
  CHECK(Peer.write(frame(6, 1, 0, "draining")));
  CHECK(Peer.receives(frame(7, 0, 0, std::string("\0\0\0\3\0\0\0\0", 8))));
  LONGS_EQUAL(1, Service->count());
  // The port stays taken, but a new connection is of no use.
  RawSocket Late(Host->endpoint());
  CHECK(Late.closedByPeer());
  LONGS_EQUAL(0, Late.unread().size());
}

TEST(Connections, AnswersThatWereSentSurviveTheStopOfTheServer) {
  // Symptom: an answer that ran to its end is lost when its process exits.
  // Events: stop() right after the last finish(), while the peer still reads.
  // Cause: close() with queued output, or RST because of unread input, drops
  // the bytes under way.
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  RawSocket Peer(Host->endpoint());
  std::string Window("\0\4\x7f\xff\xff\xff", 6);
  CHECK(Peer.write(preface() + frame(4, 0, 0, Window) +
                   frame(8, 0, 0, std::string("\x7f\0\0\0", 4)) +
                   requestHeaders(1, true)));
  CHECK(eventually([&] { return Service->count() == 1; }));
  constexpr size_t Size = 8u << 20;
  Service->stream(0)->send(std::string(Size, 'x'));
  Service->stream(0)->finish();
  std::thread Stopping([&] { Host->stop(); });
  CHECK(Peer.closedByPeer());
  Stopping.join();
  LONGS_EQUAL(Size,
              std::count(Peer.unread().begin(), Peer.unread().end(), 'x'));
}
