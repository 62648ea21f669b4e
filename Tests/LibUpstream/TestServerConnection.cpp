//===- TestServerConnection.cpp - Exchanges with a server -----------------===//
//
// The test is the server, on the loopback. What matters is what can be said
// of a request after its exchange has ended.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/ConnectionPool.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::upstream;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

class RecordingSink : public ExchangeSink {
public:
  void onHead(const proxy::ResponseHead &Head) override {
    Status = Head.Status;
  }
  void onBody(std::string Bytes) override { Body += Bytes; }
  void onEnd(ExchangeEnd How) override { End = How; }
  unsigned Status = 0;
  std::string Body;
  std::optional<ExchangeEnd> End;
};

} // namespace

TEST_GROUP(ServerConnection) {
  asio::io_context Loop;
  tcp::acceptor Acceptor{Loop, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket Server{Loop};
  std::shared_ptr<ConnectionPool> Pool;
  std::shared_ptr<ServerConnection> Connection;

  void setup() override {
    Pool = std::make_shared<ConnectionPool>(
        Loop, Endpoint{"127.0.0.1", Acceptor.local_endpoint().port()},
        PoolSettings{});
    Pool->limit(2);
  }
  std::shared_ptr<RecordingSink> send() {
    Connection = Pool->take(BootClock::now());
    auto Sink = std::make_shared<RecordingSink>();
    Connection->exchange("GET / HTTP/1.1\r\n\r\n", true, Sink);
    return Sink;
  }
  void accept() {
    bool Accepted = false;
    Acceptor.async_accept([&](const auto &, tcp::socket Socket) {
      Server = std::move(Socket);
      Accepted = true;
    });
    CHECK(until([&] { return Accepted; }));
  }
  void awaitRequest() {
    std::string Text;
    bool Read = false;
    asio::async_read_until(Server, asio::dynamic_buffer(Text), "\r\n\r\n",
                           [&](const auto &, size_t) { Read = true; });
    CHECK(until([&] { return Read; }));
  }
  void reply(std::string_view Bytes) {
    asio::write(Server, asio::buffer(Bytes));
  }
  template <typename Condition> bool until(Condition Done) {
    const auto End = std::chrono::steady_clock::now() + milliseconds(2000);
    while (!Done() && std::chrono::steady_clock::now() < End)
      Loop.run_for(milliseconds(5));
    return Done();
  }
};

TEST(ServerConnection, UsesAConnectionAgain) {
  const auto First = send();
  accept();
  awaitRequest();
  reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CHECK(until([&] { return First->End.has_value(); }));
  CHECK(*First->End == ExchangeEnd::Complete);
  STRCMP_EQUAL("ok", First->Body.c_str());
  send();
  awaitRequest();
  LONGS_EQUAL(1, Pool->opened());
}

TEST(ServerConnection, ProvesThatNothingWasSent) {
  Acceptor.close();
  const auto Sink = send();
  CHECK(until([&] { return Sink->End.has_value(); }));
  CHECK(*Sink->End == ExchangeEnd::NotSent);
  LONGS_EQUAL(0, Pool->open());
}

// Symptom: a request that may run once is sent again and runs twice.
// Sequence: the server takes the request and its connection is reset before
// any byte of the response.
// Cause: a reset was taken for a refusal.
TEST(ServerConnection, DoesNotCallAResetARefusal) {
  const auto Sink = send();
  accept();
  awaitRequest();
  Server.set_option(asio::socket_base::linger(true, 0));
  Server.close();
  CHECK(until([&] { return Sink->End.has_value(); }));
  CHECK(*Sink->End == ExchangeEnd::NoResponse);
}

TEST(ServerConnection, TellsABrokenResponse) {
  const auto Sink = send();
  accept();
  awaitRequest();
  reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
  Server.close();
  CHECK(until([&] { return Sink->End.has_value(); }));
  CHECK(*Sink->End == ExchangeEnd::Broken);
}

// Symptom: the next caller gets the answer before its own.
// Sequence: a server sends a second response on an idle connection.
// Cause: the idle socket was not read, and the bytes met the next exchange.
TEST(ServerConnection, DropsAConnectionWithStrayBytes) {
  const auto Sink = send();
  accept();
  awaitRequest();
  reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(until([&] { return Sink->End.has_value(); }));
  reply("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
  CHECK(until([&] { return Pool->open() == 0; }));
}

TEST(ServerConnection, DropsAConnectionThatTheServerCloses) {
  const auto Sink = send();
  accept();
  awaitRequest();
  reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(until([&] { return Sink->End.has_value(); }));
  Server.close();
  CHECK(until([&] { return Pool->open() == 0; }));
}

// Symptom: a request ends with an unknown outcome though the server is sound.
// Sequence: the server says that it keeps idle connections for one second; the
// request goes out just as it closes one.
// Cause: the connection was used close to its announced end.
TEST(ServerConnection, LeavesAConnectionCloseToItsTimeout) {
  const auto Sink = send();
  accept();
  awaitRequest();
  reply("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
        "Content-Length: 0\r\n\r\n");
  CHECK(until([&] { return Sink->End.has_value(); }));
  const auto Later = BootClock::now() + milliseconds(700);
  const auto Other = Pool->take(Later);
  CHECK(Other != Connection);
  LONGS_EQUAL(2, Pool->opened());
}

TEST(ServerConnection, KeepsToItsShareOfConnections) {
  const auto First = Pool->take(BootClock::now());
  const auto Second = Pool->take(BootClock::now());
  CHECK(First && Second);
  CHECK(!Pool->take(BootClock::now()));
  Second->abort();
  CHECK(Pool->take(BootClock::now()) != nullptr);
}

TEST(ServerConnection, TellsNothingAfterAnAbort) {
  const auto Sink = send();
  accept();
  awaitRequest();
  Connection->abort();
  Loop.run_for(milliseconds(20));
  CHECK(!Sink->End.has_value());
  LONGS_EQUAL(0, Pool->open());
}
