//===- TestConnectionRush.cpp - Most new connections at one gateway -------===//
//
// A gateway with a small share of a processor, to which a load balancer hands
// the new connections of several others for some seconds. What it cannot serve
// in time it should leave unread, as callers that are not read try another
// gateway. Rates are relative to the capacity measured at the start, so that
// the test does not depend on the machine.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInPlatform.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <ctime>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::testing;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using ErrorCode = boost::system::error_code;

namespace {

/// The gateway's thread runs for 2 ms of each 40 ms.
constexpr milliseconds ThrottlePeriod{40};
constexpr milliseconds ThrottledTime{38};
/// The platform's stable window, and its bound on requests that were read.
constexpr milliseconds StableWindow{3000};
constexpr double MinimumServed = 0.75;
/// Requests as a share of the capacity, before the rush and during it.
constexpr double CalmLoad = 0.4;
constexpr double RushLoad = 4 * CalmLoad;
/// Callers leave if nothing comes in this time.
constexpr milliseconds CallerPatience{1000};

void sleepInHandler(int /*Signal*/) {
  constexpr timespec Time{0, std::chrono::nanoseconds(ThrottledTime).count()};
  nanosleep(&Time, nullptr);
}

/// Takes most of the processor time from one thread.
class Throttle {
public:
  explicit Throttle(std::thread::native_handle_type Thread) {
    struct sigaction Action {};
    Action.sa_handler = sleepInHandler;
    Action.sa_flags = SA_RESTART;
    sigaction(SIGUSR1, &Action, nullptr);
    m_Thread = std::thread([this, Thread] {
      for (auto Next = Clock::now(); !m_Stopped; Next += ThrottlePeriod) {
        pthread_kill(Thread, SIGUSR1);
        std::this_thread::sleep_until(Next + ThrottlePeriod);
      }
    });
  }
  ~Throttle() {
    m_Stopped = true;
    m_Thread.join();
  }

private:
  std::atomic<bool> m_Stopped = false;
  std::thread m_Thread;
};

/// One request on a new connection.
class OneShotCaller : public std::enable_shared_from_this<OneShotCaller> {
public:
  /// \p Done gets whether the request was served.
  OneShotCaller(boost::asio::io_context &Loop, std::function<void(bool)> Done)
      : m_Socket(Loop), m_Timer(Loop), m_Done(std::move(Done)) {}

  void start(const Endpoint &Gateway) {
    m_Timer.expires_after(CallerPatience);
    m_Timer.async_wait([Self = shared_from_this()](const ErrorCode &Stopped) {
      if (!Stopped)
        Self->finish(false);
    });
    m_Socket.async_connect(
        {boost::asio::ip::make_address_v4(Gateway.Address), Gateway.Port},
        [Self = shared_from_this()](const ErrorCode &Code) {
          Code ? Self->finish(false) : Self->send();
        });
  }

private:
  void send() {
    static const std::string Text =
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
        "X-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n";
    boost::asio::async_write(
        m_Socket, boost::asio::buffer(Text),
        [Self = shared_from_this()](const ErrorCode &Code, size_t) {
          Code ? Self->finish(false) : Self->read();
        });
  }
  void read() {
    m_Socket.async_read_some(
        boost::asio::buffer(m_Buffer),
        [Self = shared_from_this()](const ErrorCode &Code, size_t Count) {
          const std::string_view Head(Self->m_Buffer.data(), Count);
          Self->finish(!Code && Head.starts_with("HTTP/1.1 200"));
        });
  }
  void finish(bool Served) {
    if (std::exchange(m_Finished, true))
      return;
    m_Timer.cancel();
    ErrorCode Ignored; // The request has ended either way.
    m_Socket.close(Ignored);
    m_Done(Served);
  }

  tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  std::function<void(bool)> m_Done;
  std::array<char, 1024> m_Buffer;
  bool m_Finished = false;
};

/// Sum of the gateway's requests that ended, whatever their outcome.
double readRequests(const std::string &Metrics) {
  double Sum = 0;
  std::istringstream Lines(Metrics);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with("figlift_gateway_requests_total{"))
      Sum += std::stod(Line.substr(Line.rfind(' ')));
  return Sum;
}

} // namespace

TEST_GROUP(ConnectionRush) {
  GatewayFixture Fixture;
  unsigned Served = 0;

  void startServing() {
    Fixture.addServer("s1", "plain", respondWith("good"));
    Fixture.addServer("s2", "plain", respondWith("good"));
    Fixture.configure();
    CHECK(Fixture.waitUntilReady());
  }
  void sendOne(std::function<void()> Done = [] {}) {
    std::make_shared<OneShotCaller>(Fixture.Loop, [this, Done](bool WasServed) {
      Served += WasServed ? 1 : 0;
      Done();
    })->start(Fixture.Settings.Listen.Callers);
  }
  /// Requests served per second when each of some callers sends the next one at
  /// once.
  double measureCapacity() {
    constexpr unsigned Callers = 16;
    constexpr milliseconds Time{2000};
    bool Stopped = false;
    std::function<void()> SendNext = [&] {
      if (!Stopped)
        sendOne(SendNext);
    };
    for (unsigned I = 0; I < Callers; ++I)
      SendNext();
    Fixture.Loop.run_for(Time);
    Stopped = true;
    const double Capacity =
        Served / std::chrono::duration<double>(Time).count();
    Fixture.Loop.run_for(CallerPatience);
    return Capacity;
  }
  /// Sends at a fixed rate.
  void play(double PerSecond, milliseconds Time) {
    const auto Begin = Clock::now();
    for (unsigned Sent = 0; Clock::now() - Begin < Time;) {
      const std::chrono::duration<double> Passed = Clock::now() - Begin;
      for (; Sent < Passed.count() * PerSecond; ++Sent)
        sendOne();
      Fixture.Loop.run_for(milliseconds(2));
    }
  }
  struct Result {
    unsigned Served = 0;
    double Read = 0;

    double share() const { return Served / Read; }
  };
  /// Counts the requests that the gateway serves, and those that it reads.
  Result judge(double PerSecond, milliseconds Time) {
    const double ReadBefore = readRequests(Fixture.metrics());
    const unsigned ServedBefore = Served;
    play(PerSecond, Time);
    const unsigned ServedMeanwhile = Served - ServedBefore;
    return {ServedMeanwhile, readRequests(Fixture.metrics()) - ReadBefore};
  }
};

// Failure: while a load balancer hands most new connections to one gateway, it
// reads more requests than it can serve, and most of them are served too late.
TEST(ConnectionRush, ServesWhatItReads) {
  startServing();
  const Throttle Slow(Fixture.threadHandle());
  const double Capacity = measureCapacity();
  const Result Before = judge(CalmLoad * Capacity, StableWindow);
  play(RushLoad * Capacity, StableWindow);
  const Result During = judge(RushLoad * Capacity, StableWindow);
  UT_PRINT(StringFromFormat("capacity %.0f a second; before %u served of %.0f "
                            "read, in the rush %u of %.0f",
                            Capacity, Before.Served, Before.Read, During.Served,
                            During.Read)
               .asCharString());
  CHECK(Before.Served > 0);
  CHECK(During.share() >= MinimumServed * Before.share());
  // What is read is not only little.
  CHECK(During.Served >= MinimumServed * Before.Served);
}
