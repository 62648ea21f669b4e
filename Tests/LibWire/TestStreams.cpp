//===- TestStreams.cpp - Streams between a client and a server ------------===//
//
// Messages, termination and limits of streams on a healthy connection.
//
//===----------------------------------------------------------------------===//

#include "LibWire/WireFixtures.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::wire;
using namespace figlift::wire::test;

TEST_GROUP(Streams){};

TEST(Streams, MessagesOfConcurrentStreamsKeepTheirOrder) {
  auto Service = std::make_shared<TestService>(Behavior::Echo);
  auto WireServer = startServer(Service);
  auto WireClient = makeClient();
  std::vector<std::shared_ptr<Channel>> Channels;
  Channels.reserve(2);
  for (int I = 0; I < 2; ++I)
    Channels.push_back(connectedChannel(*WireClient, WireServer->endpoint()));
  constexpr size_t Threads = 4, StreamsEach = 50;
  constexpr int Messages = 20;
  std::vector<std::shared_ptr<StreamRecorder>> Recorders(Threads * StreamsEach);
  std::vector<std::thread> Senders;
  Senders.reserve(Threads);
  for (size_t Thread = 0; Thread < Threads; ++Thread)
    Senders.emplace_back([&, Thread] {
      for (size_t Index = 0; Index < StreamsEach; ++Index) {
        auto &Events = Recorders[Thread * StreamsEach + Index];
        Events = std::make_shared<StreamRecorder>();
        auto OpenedStream = Channels[Index % 2]->open(Method::Run, "0", Events,
                                                      /*HalfClose=*/false);
        for (int Number = 1; Number < Messages; ++Number)
          OpenedStream->send(std::to_string(Number));
        OpenedStream->finish();
      }
    });
  for (auto &Entry : Senders)
    Entry.join();
  for (auto &Entry : Recorders) {
    CHECK(Entry->end() == StreamEnd::Finished);
    auto Received = Entry->messages();
    LONGS_EQUAL(Messages, Received.size());
    for (int Number = 0; Number < Messages; ++Number)
      STRCMP_EQUAL(std::to_string(Number).c_str(),
                   Received[size_t(Number)].c_str());
  }
  CHECK(eventually([&] { return WireServer->openStreams() == 0; }));
  CHECK(WireServer->bytesReceived() > 0);
  CHECK(eventually(
      [&] { return WireClient->bytesSent() == WireServer->bytesReceived(); }));
}

TEST(Streams, MessagesOfAllSizesArriveWhole) {
  auto WireServer = startServer(std::make_shared<TestService>(Behavior::Echo));
  auto WireClient = makeClient();
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  for (size_t Size : {0ul, 1ul, 16'380ul, 70'000ul, 1ul << 20, 8ul << 20}) {
    auto Events = std::make_shared<StreamRecorder>();
    std::string Sent(Size, 'x');
    PeerChannel->open(Method::Resume, Sent, Events);
    CHECK(Events->end() == StreamEnd::Finished);
    LONGS_EQUAL(1, Events->messages().size());
    CHECK(Events->messages()[0] == Sent);
  }
}

TEST(Streams, MethodsAreSentAsPaths) {
  auto Service = std::make_shared<TestService>(Behavior::Echo);
  auto WireServer = startServer(Service);
  auto WireClient = makeClient();
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  for (auto StreamMethod :
       {Method::Run, Method::Resume, Method::Order, Method::Sync, Method::Drain,
        Method::Handover, Method::Configuration}) {
    auto Events = std::make_shared<StreamRecorder>();
    PeerChannel->open(StreamMethod, "x", Events);
    CHECK(Events->end() == StreamEnd::Finished);
    CHECK(Service->lastMethod() == StreamMethod);
  }
}

TEST(Streams, CancelIsSeenByThePeer) {
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  auto WireClient = makeClient();
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  auto Events = std::make_shared<StreamRecorder>();
  auto OpenedStream = PeerChannel->open(Method::Run, "x", Events);
  CHECK(eventually([&] { return Service->count() == 1; }));
  OpenedStream->cancel();
  CHECK(Events->end() == StreamEnd::Cancelled);
  CHECK(Service->recorder(0)->end() == StreamEnd::ResetByPeer);
  CHECK_FALSE(OpenedStream->send("late"));
  CHECK(eventually([&] { return WireServer->openStreams() == 0; }));
}

TEST(Streams, RefusedStreamWasNotProcessed) {
  auto WireServer =
      startServer(std::make_shared<TestService>(Behavior::Refuse));
  auto WireClient = makeClient();
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  auto Events = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Events);
  CHECK(Events->end() == StreamEnd::ProvablyNotProcessed);
  LONGS_EQUAL(1, Events->ends());
}

TEST(Streams, ServerThatFinishesFirstEndsTheClientsStream) {
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  auto WireClient = makeClient();
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  auto Events = std::make_shared<StreamRecorder>();
  auto OpenedStream =
      PeerChannel->open(Method::Sync, "x", Events, /*HalfClose=*/false);
  CHECK(eventually([&] { return Service->count() == 1; }));
  CHECK_FALSE(Service->recorder(0)->PeerFinished);
  Service->stream(0)->send("last");
  Service->stream(0)->finish();
  CHECK(Events->end() == StreamEnd::Finished);
  LONGS_EQUAL(1, Events->messages().size());
  CHECK_FALSE(OpenedStream->send("late"));
  CHECK(Service->recorder(0)->end() == StreamEnd::Finished);
  CHECK(Service->recorder(0)->PeerFinished);
}

TEST(Streams, RefusalAfterTheResponseStartedIsNotTrusted) {
  // Guards against a request that is executed twice: a server that has sent
  // part of its response refuses the stream by mistake, and the client retries
  // on another target because of REFUSED_STREAM.
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  auto WireClient = makeClient();
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  auto Events = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, "x", Events);
  CHECK(eventually([&] { return Service->count() == 1; }));
  Service->stream(0)->send("begun");
  Service->stream(0)->refuse();
  CHECK(Events->end() == StreamEnd::ResetByPeer);
}

TEST(Streams, QueueBeyondItsLimitResetsTheStream) {
  // Guards against an unbounded queue that exhausts memory when the peer stops
  // reading one stream while this side keeps sending.
  auto Service = std::make_shared<TestService>(Behavior::Hold);
  auto WireServer = startServer(Service);
  ClientOptions Options;
  Options.MaximumQueuedBytesPerStream = 100'000;
  auto WireClient = makeClient(Options);
  auto PeerChannel = connectedChannel(*WireClient, WireServer->endpoint());
  auto Events = std::make_shared<StreamRecorder>();
  auto OpenedStream =
      PeerChannel->open(Method::Run, "x", Events, /*HalfClose=*/false);
  CHECK(OpenedStream->send(std::string(1000, 'x')));
  CHECK_FALSE(OpenedStream->send(std::string(200'000, 'x')));
  CHECK(Events->end() == StreamEnd::Cancelled);
  CHECK(eventually([&] { return WireServer->openStreams() == 0; }));
  auto TooLarge = std::make_shared<StreamRecorder>();
  PeerChannel->open(Method::Run, std::string(200'000, 'x'), TooLarge);
  CHECK(TooLarge->end() == StreamEnd::NeverSent);
}
