//===- TestServer.cpp - HTTP listener, limits and event streams -----------===//
//
// A real listener on the loopback address, with raw sockets as callers, because
// a client library cannot send malformed or incomplete requests.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/Administration.h"
#include "LibHttp/Server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace figlift;
using namespace figlift::http;

namespace {

// CppUTest's leak detector is not thread-safe, and the server's threads
// allocate memory, so it is disabled for this suite.
const bool LeakDetectorOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

uint16_t freePort() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = loopback(0);
  ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  socklen_t Length = sizeof Address;
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  ::close(Socket);
  return ntohs(Address.sin_port);
}

class Connection {
public:
  explicit Connection(uint16_t Port)
      : m_Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in Address = loopback(Port);
    ::connect(m_Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address);
    const timeval Limit{5, 0};
    ::setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  }
  ~Connection() { ::close(m_Socket); }
  bool send(const std::string &Bytes) {
    return ::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(Bytes.size());
  }
  /// Reads until \p Delimiter has been received, or to the end of input.
  std::string readUntil(const std::string &Delimiter) {
    std::string Input;
    char Buffer[4096];
    while (Input.find(Delimiter) == std::string::npos) {
      const ssize_t Count = ::recv(m_Socket, Buffer, sizeof Buffer, 0);
      if (Count <= 0)
        break;
      Input.append(Buffer, static_cast<size_t>(Count));
    }
    return Input;
  }

private:
  int m_Socket;
};

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

/// Waits for a condition, for at most five seconds.
template <typename F> bool eventually(F Condition) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::yield();
  }
  return true;
}

/// Stops a server on a thread of its own.
class StoppingThread {
public:
  explicit StoppingThread(Server &Stopped)
      : m_Thread([this, &Stopped] {
          m_Id = gettid();
          Stopped.stop();
        }) {}
  StoppingThread(const StoppingThread &) = delete;
  StoppingThread &operator=(const StoppingThread &) = delete;
  ~StoppingThread() { m_Thread.join(); }

  /// Whether the thread sleeps, which it does only in stop().
  bool isWaiting() const {
    std::ifstream Stat("/proc/self/task/" + std::to_string(m_Id) + "/stat");
    std::string Text;
    std::getline(Stat, Text);
    return contains(Text, ") S ");
  }

private:
  std::atomic<pid_t> m_Id = 0;
  std::thread m_Thread;
};

Route route(std::string Method, std::string Path, Handler Handle) {
  return Route{std::move(Method), std::move(Path), true, std::move(Handle),
               false};
}

void echo(std::shared_ptr<Exchange> Call) {
  Response Reply;
  Reply.Body = Call->request().Body + "|" + Call->request().Path;
  Call->setRequestId("r-1");
  Call->reply(std::move(Reply));
}

} // namespace

TEST_GROUP(HttpServer) {
  uint16_t Port = freePort();
  std::unique_ptr<Server> Running;

  void start(std::vector<Route> Routes, size_t MaximumRequests = 10) {
    ServerOptions Options;
    Options.Listen = Endpoint{"127.0.0.1", Port};
    Options.MaximumBodyBytes = 1000;
    Options.MaximumRequests = MaximumRequests;
    auto Created = Server::create(Options, std::move(Routes));
    CHECK(Created.has_value());
    Running = std::move(Created.value());
  }
  void teardown() override { Running.reset(); }
};

TEST(HttpServer, TheLongestMatchingRouteHandlesARequest) {
  start({route("POST", "/v1/", echo),
         route(AnyMethod, "/v1/other/",
               [](auto Call) { Call->reply({.Status = 202}); })});
  Connection Caller(Port);
  Caller.send("POST /v1/a%20b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n"
              "hello");
  const std::string First = Caller.readUntil("/v1/a b");
  CHECK(contains(First, "200 OK"));
  CHECK(contains(First, "hello|/v1/a b"));
  CHECK(contains(First, "X-Request-Id: r-1"));
  Caller.send("DELETE /v1/other/x HTTP/1.1\r\nHost: x\r\n"
              "Content-Length: 0\r\n\r\n");
  CHECK(contains(Caller.readUntil("\r\n\r\n"), "202"));
}

TEST(HttpServer, UnknownPathsAndMethodsGetProblemDetails) {
  start({route("POST", "/v1/", echo)});
  Connection Caller(Port);
  Caller.send("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n");
  const std::string Unknown = Caller.readUntil("}");
  CHECK(contains(Unknown, "404"));
  CHECK(contains(Unknown, "application/problem+json"));
  CHECK(contains(Unknown, "\"executed\":\"not-run\""));
  Caller.send("GET /v1/x HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(contains(Caller.readUntil("}"), "405"));
}

TEST(HttpServer, ABodyAboveTheLimitIsRejectedWithoutBufferingIt) {
  // Symptom: one request exhausts the memory of the entry.
  // Sequence: a caller announces a huge body and sends it; the listener buffers
  // all of it before it rejects the request.
  // Cause: the listener has no limit on bodies.
  start({route("POST", "/v1/", echo)});
  const std::string Body(3u << 20, 'x');
  Connection Caller(Port);
  Caller.send("POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n");
  Caller.send(Body);
  const std::string Rejected = Caller.readUntil("}");
  CHECK(contains(Rejected, "413"));
  CHECK(contains(Rejected, "\"code\":102"));
}

TEST(HttpServer, AChunkedBodyAboveTheLimitIsRejected) {
  start({route("POST", "/v1/", echo)});
  Connection Caller(Port);
  Caller.send("POST /v1/x HTTP/1.1\r\nHost: x\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  for (int Chunk = 0; Chunk < 3; ++Chunk)
    Caller.send("1f4\r\n" + std::string(500, 'x') + "\r\n");
  Caller.send("0\r\n\r\n");
  CHECK(contains(Caller.readUntil("}"), "413"));
}

TEST(HttpServer, EventsArriveAsTheyAreWritten) {
  std::promise<std::shared_ptr<EventStream>> Opened;
  start({route("POST", "/v1/", [&](auto Call) {
    Opened.set_value(Call->startEventStream({}, {}));
  })});
  Connection Caller(Port);
  Caller.send("POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  const auto Stream = Opened.get_future().get();
  CHECK(Stream->send("one"));
  CHECK(contains(Caller.readUntil("data: one\n\n"), "text/event-stream"));
  CHECK(Stream->comment());
  CHECK(contains(Caller.readUntil(": \n\n"), ": \n\n"));
  Stream->close();
  CHECK(contains(Caller.readUntil("0\r\n\r\n"), "0\r\n\r\n"));
  CHECK(eventually([&] { return Running->requestsInFlight() == 0; }));
}

TEST(HttpServer, ACallerThatDisconnectsIsDetected) {
  // Symptom: an engine keeps decoding for a caller that has disconnected.
  // Sequence: the caller closes its connection during a stream; writes are
  // still accepted, and the writer is not notified.
  // Cause: the connection is not read while the response is written.
  std::promise<std::shared_ptr<EventStream>> Opened;
  std::atomic<bool> Disconnected{false};
  start({route("POST", "/v1/", [&](auto Call) {
    Opened.set_value(Call->startEventStream({}, [&] { Disconnected = true; }));
  })});
  {
    Connection Caller(Port);
    Caller.send("POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    CHECK(contains(Caller.readUntil("\r\n\r\n"), "200"));
  }
  const auto Stream = Opened.get_future().get();
  CHECK(eventually([&] {
    Stream->comment();
    return Disconnected.load();
  }));
  CHECK(eventually([&] { return !Stream->comment(); }));
  CHECK_EQUAL(0u, Running->requestsInFlight());
}

TEST(HttpServer, LimitsAndDrainingRejectAtOnceWithRetryAfter) {
  std::promise<std::shared_ptr<Exchange>> Held;
  start({route("POST", "/v1/hold", [&](auto Call) { Held.set_value(Call); }),
         route("POST", "/v1/echo", echo)},
        1);
  const std::string RequestTail =
      " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
  Connection First(Port), Second(Port);
  First.send("POST /v1/hold" + RequestTail);
  std::shared_ptr<Exchange> HeldCall = Held.get_future().get();
  Second.send("POST /v1/echo" + RequestTail);
  const std::string Limited = Second.readUntil("}");
  CHECK(contains(Limited, "\"code\":210"));
  CHECK(contains(Limited, "Retry-After: 1"));
  Running->drain();
  Second.send("POST /v1/echo HTTP/1.1\r\nHost: x\r\nX-Request-Id: mine\r\n"
              "Content-Length: 0\r\n\r\n");
  const std::string Drained = Second.readUntil("}");
  CHECK(contains(Drained, "\"code\":203"));
  CHECK(contains(Drained, "X-Request-Id: mine"));
  HeldCall->reply({.Status = 200, .Body = "kept"});
  CHECK(contains(First.readUntil("kept"), "200 OK"));
}

TEST(HttpServer, ADroppedExchangeRepliesInternal) {
  start({route("POST", "/v1/", [](auto) {})});
  Connection Caller(Port);
  Caller.send("POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  CHECK(contains(Caller.readUntil("}"), "\"code\":702"));
}

TEST(HttpServer, AdministrativeRoutesAreServedWhileDraining) {
  AdministrationHooks Hooks;
  Hooks.Ready = []() -> Result<void> {
    return failure(ResultCode::NotReady, "no configuration yet");
  };
  Hooks.Metrics = [] { return std::string("figlift_up 1\n"); };
  Hooks.TimelineAfter = [](uint64_t After) {
    return "[" + std::to_string(After) + "]";
  };
  start(administrationRoutes(Hooks));
  Running->drain();
  Connection Caller(Port);
  Caller.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(contains(Caller.readUntil("}"), "503"));
  Caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(contains(Caller.readUntil("figlift_up 1"), "200 OK"));
  Caller.send("GET /timeline?after=2a HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(contains(Caller.readUntil("[42]"), "[42]"));
  Caller.send("GET /timeline?after=yesterday HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(contains(Caller.readUntil("}"), "400"));
}

TEST(HttpServer, AnEndlessHeadIsRejectedWithoutBufferingIt) {
  // Symptom: one header line exhausts the memory of the process.
  // Sequence: a caller sends a header line that does not end.
  // Cause: the head is buffered up to its end without a limit.
  start({route("POST", "/v1/", echo)});
  Connection Caller(Port);
  Caller.send("GET /v1/x HTTP/1.1\r\nHost: x\r\nX-Long: ");
  Caller.send(std::string(1u << 20, 'x'));
  const std::string Rejected = Caller.readUntil("}");
  CHECK(contains(Rejected, "431"));
  CHECK(contains(Rejected, "\"code\":102"));
}

TEST(HttpServer, AStreamToACallerThatDoesNotReadIsAborted) {
  // Symptom: the process buffers a whole response for one caller, or that
  // caller treats the part it received as complete. Sequence: a stream is
  // written to a caller that does not read. Cause: no limit on queued bytes, or
  // a graceful end after bytes were dropped.
  std::promise<std::shared_ptr<EventStream>> Opened;
  std::atomic<bool> Disconnected{false};
  start({route("POST", "/v1/", [&](auto Call) {
    Opened.set_value(Call->startEventStream({}, [&] { Disconnected = true; }));
  })});
  Connection Caller(Port);
  Caller.send("POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  const auto Stream = Opened.get_future().get();
  const std::string Event(1u << 20, 'x');
  CHECK(eventually([&] { return !Stream->send(Event); }));
  CHECK(eventually([&] { return Disconnected.load(); }));
  Stream->close();
  CHECK_EQUAL(0u, Running->requestsInFlight());
  CHECK_FALSE(contains(Caller.readUntil("\r\n0\r\n\r\n"), "\r\n0\r\n\r\n"));
}

TEST(HttpServer, AResponseGivenBeforeTheStopArrivesComplete) {
  // Symptom: the last responses of a process that shuts down are truncated.
  // Sequence: a response is given, the count of requests in flight is zero, the
  // server stops.
  // Cause: connections are closed with unsent bytes.
  std::promise<std::shared_ptr<Exchange>> Held;
  start({route("POST", "/v1/", [&](auto Call) { Held.set_value(Call); })});
  Connection Caller(Port);
  Caller.send("POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  const std::string Body(1u << 20, 'x');
  Held.get_future().get()->reply({.Status = 200, .Body = Body + "END"});
  std::thread Stopper([&] { Running->stop(); });
  CHECK(contains(Caller.readUntil("END"), "END"));
  Stopper.join();
}

/// A server whose threads are all occupied by handlers, so that it neither
/// reads nor accepts anything until resume().
TEST_GROUP_BASE(OccupiedServer, TEST_GROUP_CppUTestGroupHttpServer) {
  static constexpr unsigned Threads = 2;
  std::atomic<unsigned> Busy = 0;
  std::promise<void> Resume;
  bool HasResumed = false;
  std::vector<std::unique_ptr<Connection>> Blocking;
  std::unique_ptr<StoppingThread> Stopper;

  void startServer() {
    start({route("GET", "/v1/", echo),
           route("POST", "/v1/",
                 [this, Resumed = Resume.get_future().share()](auto Call) {
                   ++Busy;
                   Resumed.wait();
                   echo(Call);
                 })});
  }
  void occupy() {
    for (unsigned I = 0; I < Threads; ++I) {
      Blocking.push_back(std::make_unique<Connection>(Port));
      Blocking.back()->send(
          "POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    }
    CHECK(eventually([&] { return Busy == Threads; }));
  }
  /// Returns once the stop waits for the handlers. Whatever it does without
  /// them, it has done by then.
  void beginStop() {
    Running->drain();
    Stopper = std::make_unique<StoppingThread>(*Running);
    CHECK(eventually([&] { return Stopper->isWaiting(); }));
  }
  void resume() {
    if (!std::exchange(HasResumed, true))
      Resume.set_value();
  }
  void teardown() override {
    resume();
    Stopper.reset();
    Blocking.clear();
    Running.reset();
  }
};

// Failure: a request that has arrived is dropped with its connection when the
// process stops, as its connection counts as idle until the request is read.
TEST(OccupiedServer, RefusesARequestThatWaitsToBeReadAtTheStop) {
  startServer();
  Connection Kept(Port);
  Kept.send("GET /v1/x HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(contains(Kept.readUntil("|/v1/x"), "|/v1/x"));
  occupy();
  Kept.send("GET /v1/y HTTP/1.1\r\nHost: x\r\n\r\n");
  beginStop();
  resume();
  CHECK(contains(Kept.readUntil("Retry-After"), "Retry-After"));
}

// Failure: a request on a new connection gets no answer when the process stops,
// as the kernel resets connections that were not accepted yet.
TEST(OccupiedServer, RefusesARequestOnANewConnectionAtTheStop) {
  startServer();
  occupy();
  Connection New(Port);
  New.send("POST /v1/y HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  beginStop();
  resume();
  CHECK(contains(New.readUntil("Retry-After"), "Retry-After"));
}
