//===- TestStreams.cpp - Streams between a client and a server ------------===//
//
// Messages, ends and bounds of streams on a healthy connection.
//
//===----------------------------------------------------------------------===//

#include "LibWire/WireFixtures.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::wire;
using namespace figlift::wire::test;

TEST_GROUP(Streams){};

TEST(Streams, EchoOfManyStreamsKeepsTheOrderOfEach) {
  auto Service = std::make_shared<TestService>(Conduct::Echo);
  auto Host = serve(Service);
  auto From = makeClient();
  std::vector<std::shared_ptr<Channel>> Channels;
  Channels.reserve(2);
  for (int I = 0; I < 2; ++I)
    Channels.push_back(upChannel(*From, Host->endpoint()));
  constexpr size_t Threads = 4, StreamsEach = 50;
  constexpr int Messages = 20;
  std::vector<std::shared_ptr<Recorder>> Recorders(Threads * StreamsEach);
  std::vector<std::thread> Senders;
  Senders.reserve(Threads);
  for (size_t T = 0; T < Threads; ++T)
    Senders.emplace_back([&, T] {
      for (size_t S = 0; S < StreamsEach; ++S) {
        auto &Mine = Recorders[T * StreamsEach + S];
        Mine = std::make_shared<Recorder>();
        auto Opened = Channels[S % 2]->open(Method::Run, "0", Mine,
                                            /*HalfClose=*/false);
        for (int M = 1; M < Messages; ++M)
          Opened->send(std::to_string(M));
        Opened->finish();
      }
    });
  for (auto &Each : Senders)
    Each.join();
  for (auto &Each : Recorders) {
    CHECK(Each->end() == StreamEnd::Finished);
    auto Got = Each->messages();
    LONGS_EQUAL(Messages, Got.size());
    for (int M = 0; M < Messages; ++M)
      STRCMP_EQUAL(std::to_string(M).c_str(), Got[size_t(M)].c_str());
  }
  CHECK(eventually([&] { return Host->openStreams() == 0; }));
  CHECK(Host->bytesReceived() > 0);
  CHECK(eventually([&] { return From->bytesSent() == Host->bytesReceived(); }));
}

TEST(Streams, MessagesOfAllSizesArriveWhole) {
  auto Host = serve(std::make_shared<TestService>(Conduct::Echo));
  auto From = makeClient();
  auto Link = upChannel(*From, Host->endpoint());
  for (size_t Size : {0ul, 1ul, 16'380ul, 70'000ul, 1ul << 20, 8ul << 20}) {
    auto Mine = std::make_shared<Recorder>();
    std::string Sent(Size, 'x');
    Link->open(Method::Resume, Sent, Mine);
    CHECK(Mine->end() == StreamEnd::Finished);
    LONGS_EQUAL(1, Mine->messages().size());
    CHECK(Mine->messages()[0] == Sent);
  }
}

TEST(Streams, MethodsTravelAsPaths) {
  auto Service = std::make_shared<TestService>(Conduct::Echo);
  auto Host = serve(Service);
  auto From = makeClient();
  auto Link = upChannel(*From, Host->endpoint());
  for (auto What : {Method::Run, Method::Resume, Method::Order, Method::Sync,
                    Method::Drain, Method::Handover, Method::Configuration}) {
    auto Mine = std::make_shared<Recorder>();
    Link->open(What, "x", Mine);
    CHECK(Mine->end() == StreamEnd::Finished);
    CHECK(Service->lastMethod() == What);
  }
}

TEST(Streams, CancelIsSeenByThePeer) {
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  auto From = makeClient();
  auto Link = upChannel(*From, Host->endpoint());
  auto Mine = std::make_shared<Recorder>();
  auto Opened = Link->open(Method::Run, "x", Mine);
  CHECK(eventually([&] { return Service->count() == 1; }));
  Opened->cancel();
  CHECK(Mine->end() == StreamEnd::Cancelled);
  CHECK(Service->recorder(0)->end() == StreamEnd::ResetByPeer);
  CHECK_FALSE(Opened->send("late"));
  CHECK(eventually([&] { return Host->openStreams() == 0; }));
}

TEST(Streams, RefusalProvesThatNothingWasDone) {
  auto Host = serve(std::make_shared<TestService>(Conduct::Refuse));
  auto From = makeClient();
  auto Link = upChannel(*From, Host->endpoint());
  auto Mine = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Mine);
  CHECK(Mine->end() == StreamEnd::ProvablyNotProcessed);
  LONGS_EQUAL(1, Mine->ends());
}

TEST(Streams, ServerThatEndsFirstEndsTheStreamOfAnOpenClient) {
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  auto From = makeClient();
  auto Link = upChannel(*From, Host->endpoint());
  auto Mine = std::make_shared<Recorder>();
  auto Opened = Link->open(Method::Sync, "x", Mine, /*HalfClose=*/false);
  CHECK(eventually([&] { return Service->count() == 1; }));
  CHECK_FALSE(Service->recorder(0)->PeerFinished);
  Service->stream(0)->send("last");
  Service->stream(0)->finish();
  CHECK(Mine->end() == StreamEnd::Finished);
  LONGS_EQUAL(1, Mine->messages().size());
  CHECK_FALSE(Opened->send("late"));
  CHECK(Service->recorder(0)->end() == StreamEnd::Finished);
  CHECK(Service->recorder(0)->PeerFinished);
}

TEST(Streams, RefusalAfterAnAnswerBeganIsNoProof) {
  // Symptom: a request runs twice. Events: a server answers in part and then
  // refuses the stream by mistake. Cause: the sender takes REFUSED_STREAM for
  // a proof and sends the request elsewhere.
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  auto From = makeClient();
  auto Link = upChannel(*From, Host->endpoint());
  auto Mine = std::make_shared<Recorder>();
  Link->open(Method::Run, "x", Mine);
  CHECK(eventually([&] { return Service->count() == 1; }));
  Service->stream(0)->send("begun");
  Service->stream(0)->refuse();
  CHECK(Mine->end() == StreamEnd::ResetByPeer);
}

TEST(Streams, QueueBeyondItsBoundEndsTheStream) {
  // Symptom: the process runs out of memory. Events: the peer stops reading
  // one stream while this side goes on sending. Cause: an unbounded queue.
  auto Service = std::make_shared<TestService>(Conduct::Hold);
  auto Host = serve(Service);
  ClientOptions Options;
  Options.MaximumQueuedBytesPerStream = 100'000;
  auto From = makeClient(Options);
  auto Link = upChannel(*From, Host->endpoint());
  auto Mine = std::make_shared<Recorder>();
  auto Opened = Link->open(Method::Run, "x", Mine, /*HalfClose=*/false);
  CHECK(Opened->send(std::string(1000, 'x')));
  CHECK_FALSE(Opened->send(std::string(200'000, 'x')));
  CHECK(Mine->end() == StreamEnd::Cancelled);
  CHECK(eventually([&] { return Host->openStreams() == 0; }));
  auto TooLarge = std::make_shared<Recorder>();
  Link->open(Method::Run, std::string(200'000, 'x'), TooLarge);
  CHECK(TooLarge->end() == StreamEnd::NeverSent);
}
