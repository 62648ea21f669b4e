//===- TestEndlessMessages.cpp - Bytes that never become a message --------===//
//
// Servers and callers that send as fast as they are read, for as long as their
// connection lasts. What they have sent is the most that the gateway can hold.
//
//===----------------------------------------------------------------------===//

#include "EndlessServer.h"

#include "FigliftGateway/StandInPlatform.h"

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace figlift;
using namespace figlift::testing;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr size_t MiB = 1 << 20;
/// Besides what a gateway takes, sockets take some on both sides.
constexpr size_t SocketBytes = 8 * MiB;
/// Far below the timeout of the routes, 2 s.
constexpr milliseconds Early{1000};

const std::string Ok = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                       "X-Response-Signature: s\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessBytes> Shapes = {
    {"", "no head "},
    {Ok + "X-Long: ", "value "},
    {Chunked + "1;", "name=value;"},
    {Chunked + "0\r\n", "X-Name: value\r\n"},
    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
     "Content-Length: 99999999999\r\n\r\n",
     "body of another answer"},
};

} // namespace

TEST_GROUP(EndlessMessages) {
  GatewayFixture Fixture;
  std::deque<KeepAliveCaller> Callers;

  void startServing(size_t Servers) {
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets " +
                                             std::to_string(Servers) + "\n");
    }));
  }
  KeepAliveCaller &send(const std::string &Path,
                        const std::string &Fields = "") {
    Callers.emplace_back(Fixture);
    Callers.back().send("POST", Path, Fields);
    return Callers.back();
  }
  bool answers(KeepAliveCaller & Caller, const std::string &Text) {
    return Fixture.waitUntil([&] { return contains(Caller.received(), Text); });
  }
  void checkEnded(EndlessServer & Server, size_t MaximumBytes) {
    CHECK(Fixture.waitUntil([&] { return Server.openConnections() == 0; }));
    CHECK(Server.bytesWritten() < MaximumBytes);
  }
};

// Failure: one faulty server ends a gateway, which keeps all that it sends, and
// its requests fail only at their deadline.
TEST(EndlessMessages, OfServersEndTheirSend) {
  for (const EndlessBytes &Shape : Shapes) {
    EndlessServer Server(Fixture.Loop, Shape);
    Fixture.listServer("s1", "plain", Server.address());
    startServing(1);
    const auto Begin = Clock::now();
    CHECK(answers(send("/unsafe/x"), "HTTP/1.1 502"));
    CHECK(Clock::now() - Begin < Early);
    // What may have run is sent once.
    LONGS_EQUAL(1, Server.requests());
    checkEnded(Server, 2 * MiB + SocketBytes);
    Fixture.Store.remove("servers", "s1");
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets 0\n");
    }));
  }
}

// Failure: while a server sends without end, nobody else is served.
TEST(EndlessMessages, OfServersLeaveOthersServed) {
  EndlessServer Faulty(Fixture.Loop, Shapes[2]);
  Fixture.listServer("s1", "plain", Faulty.address());
  Fixture.addServer("d1", "model", respondWith("id: 1\n\n"), "decode");
  startServing(2);
  for (int I = 0; I < 8; ++I)
    send("/unsafe/x");
  const auto Begin = Clock::now();
  CHECK(contains(Fixture.request("GET", "/once/x", PromptHeaders), "id: 1"));
  CHECK(Clock::now() - Begin < Early);
}

// Failure: an event without end takes all memory, and its stream is read until
// the deadline.
TEST(EndlessMessages, EventsEndTheirStream) {
  EndlessServer Server(Fixture.Loop,
                       {Chunked, "7d0\r\n" + std::string(2000, 'x') + "\r\n"});
  Fixture.listServer("d1", "model", Server.address(), "decode");
  startServing(1);
  const auto Begin = Clock::now();
  CHECK(answers(send("/once/x", PromptHeaders), "HTTP/1.1 502"));
  CHECK(Clock::now() - Begin < Early);
  LONGS_EQUAL(1, Server.requests());
  checkEnded(Server, 2 * MiB + SocketBytes);
}

// Failure: bodies that are within the bound of one request use up the memory
// together.
TEST(EndlessMessages, BodiesTogetherAreBounded) {
  constexpr unsigned Requests = 12;
  EndlessServer Server(
      Fixture.Loop,
      {"HTTP/1.1 500 Failed\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s"
       "\r\nContent-Length: 8000000\r\n\r\n",
       std::string(1000, 'x')},
      7 * MiB);
  Fixture.listServer("s1", "plain", Server.address());
  startServing(1);
  for (unsigned I = 0; I < Requests; ++I)
    send("/unsafe/x");
  size_t Held = 0;
  CHECK(Fixture.waitUntil([&] {
    const std::string Text = Fixture.metrics();
    const std::string Name = "\nfiglift_gateway_held_bytes ";
    Held = std::max<size_t>(Held, static_cast<size_t>(std::stod(Text.substr(
                                      Text.find(Name) + Name.size()))));
    return std::any_of(Callers.begin(), Callers.end(),
                       [](KeepAliveCaller &Caller) {
                         return contains(Caller.received(), "HTTP/1.1 502");
                       });
  }));
  const size_t Bound = gateway::maximumHeldBytes(Fixture.Settings);
  CHECK(Held <= Bound);
  CHECK(Held > Bound / 2);
  for (KeepAliveCaller &Caller : Callers)
    CHECK(answers(Caller, "HTTP/1.1 50"));
  CHECK(Fixture.waitUntil([&] {
    return contains(Fixture.metrics(), "figlift_gateway_held_bytes 0\n");
  }));
}

// Failure: an answer to a call of the gateway has no end, and neither has the
// call.
TEST(EndlessMessages, AnswersToCallsAreBounded) {
  EndlessServer Server(
      Fixture.Loop, {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                     std::string(1000, ' ')});
  Fixture.listServer("d1", "model", Server.address(), "decode");
  startServing(1);
  CHECK(Fixture.waitUntil([&] { return Server.requests() == 1; }));
  checkEnded(Server, 2 * MiB + SocketBytes);
}

// Failure: a caller sends a chunk extension or a trailer without end; the
// limits on heads and bodies do not stop it.
TEST(EndlessMessages, OfCallersAreRejected) {
  for (const EndlessBytes &Shape : {Shapes[2], Shapes[3]}) {
    boost::asio::ip::tcp::socket Socket(Fixture.Loop);
    startServing(0);
    const Endpoint &Address = Fixture.Settings.Listen.Callers;
    Socket.connect(
        {boost::asio::ip::make_address_v4(Address.Address), Address.Port});
    Socket.non_blocking(true);
    const size_t Body = Shape.Beginning.find("\r\n\r\n") + 4;
    std::string Next = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n" +
                       Shape.Beginning.substr(Body);
    std::string Received;
    size_t Sent = 0;
    boost::system::error_code Code;
    CHECK(Fixture.waitUntil([&] {
      const size_t Count = Socket.write_some(boost::asio::buffer(Next), Code);
      Sent += Count;
      Next.erase(0, Count);
      while (Next.size() < MiB / 16)
        Next += Shape.Repeated;
      std::array<char, 4096> Buffer;
      boost::system::error_code Ended;
      Received.append(Buffer.data(),
                      Socket.read_some(boost::asio::buffer(Buffer), Ended));
      return Ended && Ended != boost::asio::error::would_block;
    }));
    CHECK(Received.empty() || Received.starts_with("HTTP/1.1 431"));
    CHECK(Sent < 16 * MiB + SocketBytes);
  }
}
