//===- TestMemoryLimit.cpp - Memory of a gateway beside faulty peers ------===//
//
// A separate process, whose highest memory is read. Hundreds of callers wait
// for one server that sends without end, or send and read as badly themselves.
// Others are served meanwhile.
//
//===----------------------------------------------------------------------===//

#include "EndlessMessages/EndlessServer.h"
#include "FigliftGateway/SeparateGateway.h"

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <string>

using namespace figlift;
using namespace figlift::testing;
using boost::asio::ip::tcp;

namespace {

boost::asio::ip::address_v4 loopback() {
  return boost::asio::ip::address_v4::loopback();
}

/// A quarter of the memory of a machine.
constexpr size_t MaximumBytes = 64 << 20;
constexpr unsigned Callers = 300;

const std::string Answer = "\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s"
                           "\r\n";
const std::string Ok = "HTTP/1.1 200 OK" + Answer;
const std::string Failed = "HTTP/1.1 500 Failed" + Answer;
const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n";
const std::string Text(1000, 'x');

struct Sender {
  const char *Name;
  EndlessBytes Bytes;
};

const std::vector<Sender> Senders = {
    {"no head", {"", "no head "}},
    {"header fields", {Ok, "a:b\r\n"}},
    {"a header field", {Ok + "X-Long: ", "value "}},
    {"interim responses", {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
    {"a chunk extension", {Ok + Chunks + "1;", "name=value;"}},
    {"chunks of one byte", {Ok + Chunks, "1\r\nx\r\n"}},
    {"chunks", {Ok + Chunks, "3e8\r\n" + Text + "\r\n"}},
    {"a trailer", {Ok + Chunks + "0\r\n", "a:b\r\n"}},
    {"a body without length", {Ok + "\r\n", Text}},
    {"a failure without length", {Failed + "\r\n", Text}},
    {"a body that is too long",
     {Ok + "Content-Length: 99999999999\r\n\r\n", Text}},
    {"a body of the longest length",
     {Failed + "Content-Length: 8388608\r\n\r\n", Text}},
};

} // namespace

TEST_GROUP(MemoryLimit) {
  GatewayFixture Fixture;
  SeparateGateway Process{Fixture};
  std::deque<KeepAliveCaller> Connections;
  std::deque<tcp::socket> Sockets;
  unsigned Sent = 0;
  size_t CalmBytes = 0;

  // All callers are at their servers at once.
  void setup() override {
    Fixture.Slots = Callers;
    Fixture.MaximumConnections = 4 * Callers;
    Fixture.configure();
  }
  void startServing() { CHECK(Process.start()); }
  bool hasTargets(size_t Count) {
    return Fixture.waitUntil([&] {
      return contains(Fixture.metrics(), "figlift_gateway_targets " +
                                             std::to_string(Count) + "\n");
    });
  }
  void checkMemory(const char *Name) {
    CHECK_TEXT(Process.running(), Name);
    const size_t Bytes = Process.highestMemory() - CalmBytes;
    const std::string Description =
        std::string(Name) + ": " + std::to_string(Bytes >> 20) + " MiB";
    CHECK_TEXT(Bytes <= MaximumBytes, Description.c_str());
  }
  /// A caller that is told to come back does so. Many callers of this test that
  /// come at once may make the process late.
  void serveOthers(const std::string &Path, const std::string &Result) {
    CHECK(Fixture.waitUntil([&] {
      return contains(Fixture.request("GET", Path, PromptHeaders), Result);
    }));
  }
  /// Sends a request on a connection that is not read.
  void sendUnread(const std::string &Bytes) {
    constexpr int SmallBuffer = 4096;
    tcp::socket &Socket = Sockets.emplace_back(Fixture.Loop);
    Socket.open(tcp::v4());
    Socket.set_option(
        boost::asio::socket_base::receive_buffer_size(SmallBuffer));
    const Endpoint &Gateway = Fixture.Settings.Listen.Callers;
    Socket.connect(
        {boost::asio::ip::make_address_v4(Gateway.Address), Gateway.Port});
    boost::asio::async_write(
        Socket, boost::asio::buffer(Bytes),
        [this](const auto &Code, size_t) { Sent += Code ? 0 : 1; });
  }
  void teardown() override {
    Connections.clear();
    Sockets.clear();
  }
};

// Guards against: the processes of a machine end for want of memory, as a
// server sends what is no answer, without end, to hundreds of requests.
TEST(MemoryLimit, HoldsWhateverServersSend) {
  Fixture.addServer("d1", "model", respondWith("id: 1\n\n"), "decode");
  for (const Sender &Faulty : Senders) {
    EndlessServer Server(Fixture.Loop, Faulty.Bytes);
    // Nothing is known of a server with a name of its own.
    Fixture.listServer(Faulty.Name, "plain", Server.address());
    startServing();
    CHECK(hasTargets(2));
    serveOthers("/once/x", "id: 1");
    CalmBytes = Process.highestMemory();
    for (unsigned I = 0; I < Callers; ++I)
      Connections.emplace_back(Fixture).send("POST", "/unsafe/x");
    serveOthers("/once/x", "id: 1");
    const bool AllAnswered = Fixture.waitUntil([&] {
      return std::all_of(Connections.begin(), Connections.end(),
                         [](KeepAliveCaller &Caller) {
                           return contains(Caller.received(), "HTTP/1.1 50");
                         });
    });
    CHECK_TEXT(AllAnswered, Faulty.Name);
    CHECK(Server.requests() > Callers / 2);
    checkMemory(Faulty.Name);
    Connections.clear();
    Fixture.Store.remove("servers", Faulty.Name);
  }
}

// Guards against: callers that do not read make a gateway hold what servers go
// on sending.
TEST(MemoryLimit, HoldsWhatSlowCallersLeave) {
  const std::string Event = "data: " + Text + "\n\n";
  EndlessServer Server(Fixture.Loop, {Ok + Chunks, "3f0\r\n" + Event + "\r\n"});
  Fixture.addServer("s1", "plain", respondWith("one"));
  Fixture.listServer("d1", "model", Server.address(), "decode");
  startServing();
  CHECK(hasTargets(2));
  serveOthers("/safe/x", "one");
  CalmBytes = Process.highestMemory();
  const std::string Bytes = "POST /long/x HTTP/1.1\r\nHost: h\r\n"
                            "X-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n";
  for (unsigned I = 0; I < Callers; ++I)
    sendUnread(Bytes);
  CHECK(Fixture.waitUntil([&] { return Server.requests() > Callers / 2; }));
  // The sockets of the kernel are full by then.
  Fixture.Loop.run_for(std::chrono::seconds(2));
  serveOthers("/safe/x", "one");
  checkMemory("slow callers");
}

// Guards against: bodies of callers that a server does not read are held twice,
// once for another attempt and once to be sent.
TEST(MemoryLimit, HoldsWhatCallersSend) {
  // Connections are established, and nothing is read.
  tcp::acceptor Silent(Fixture.Loop, {loopback(), 0}, true);
  Fixture.listServer("s1", "plain",
                     {"127.0.0.1", Silent.local_endpoint().port()});
  Fixture.addServer("d1", "model", respondWith("id: 1\n\n"), "decode");
  startServing();
  CHECK(hasTargets(2));
  serveOthers("/once/x", "id: 1");
  CalmBytes = Process.highestMemory();
  const std::string Bytes =
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
      "Content-Length: " +
      std::to_string(Fixture.MaximumBodyBytes) + "\r\n\r\n" +
      std::string(Fixture.MaximumBodyBytes, 'x');
  for (unsigned I = 0; I < Callers / 10; ++I)
    sendUnread(Bytes);
  CHECK(Fixture.waitUntil([&] { return Sent > 1; }));
  Fixture.Loop.run_for(std::chrono::milliseconds(500));
  serveOthers("/once/x", "id: 1");
  checkMemory("bodies of callers");
}

// Guards against: each of many callers leaves a body incomplete that is too
// small to count.
TEST(MemoryLimit, HoldsWhatManyCallersLeaveIncomplete) {
  constexpr unsigned SlowCallers = 1000;
  constexpr size_t BodyBytes = 60000;
  Fixture.addServer("s1", "plain", respondWith("one"));
  startServing();
  CHECK(hasTargets(1));
  serveOthers("/safe/x", "one");
  CalmBytes = Process.highestMemory();
  const std::string Bytes = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
                            "X-Attempt-Id: a1\r\nContent-Length: 100000\r\n"
                            "\r\n" +
                            std::string(BodyBytes, 'x');
  for (unsigned I = 0; I < SlowCallers; ++I)
    sendUnread(Bytes);
  CHECK(Fixture.waitUntil([&] { return Sent == SlowCallers; }));
  serveOthers("/safe/x", "one");
  checkMemory("incomplete bodies");
}

// Guards against: the answers of engines to the calls of a gateway itself are
// held and counted nowhere, and a gateway calls all engines at once.
TEST(MemoryLimit, HoldsWhatEnginesAnswerToCalls) {
  constexpr unsigned Engines = 100;
  // Just below the bound on one answer, so that all are held until they time
  // out.
  constexpr size_t BytesOfEach = 1000000;
  Fixture.addServer("s1", "plain", respondWith("one"));
  startServing();
  CHECK(hasTargets(1));
  serveOthers("/safe/x", "one");
  CalmBytes = Process.highestMemory();
  std::deque<EndlessServer> Servers;
  for (unsigned I = 0; I < Engines; ++I) {
    EndlessServer &Server = Servers.emplace_back(
        Fixture.Loop, EndlessBytes{"HTTP/1.1 200 OK\r\n\r\n", Text},
        BytesOfEach);
    Fixture.listServer("e" + std::to_string(I), "model", Server.address(),
                       "decode");
  }
  CHECK(Fixture.waitUntil([&] {
    return std::all_of(
        Servers.begin(), Servers.end(), [](const EndlessServer &Server) {
          return Server.requests() > 0 && Server.openConnections() == 0;
        });
  }));
  serveOthers("/safe/x", "one");
  checkMemory("answers to calls");
}

// Guards against: a store that sends without end makes a gateway hold several
// answers at once, each up to the bound on one.
TEST(MemoryLimit, HoldsWhatTheStoreSends) {
  Fixture.addServer("s1", "plain", respondWith("one"));
  startServing();
  serveOthers("/safe/x", "one");
  CalmBytes = Process.highestMemory();
  EndlessServer Store(Fixture.Loop, {"HTTP/1.1 200 OK\r\n\r\n", Text});
  Fixture.Settings.Store = Store.address();
  Process.writeSettings();
  // It does not become ready without a store, and goes on trying.
  CHECK(!Process.start());
  CHECK(Store.requests() > 1);
  checkMemory("the store");
}
