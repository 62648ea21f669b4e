//===- TestHttpClient.cpp - Calls of processes to broken servers ----------===//
//
// The calls of figlift-entry and figlift-agent to targets and to the platform.
// A thread of the test acts as the server.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/CallThread.h"
#include "LibUpstream/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::upstream;
namespace asio = boost::asio;
using asio::ip::tcp;

TEST_GROUP(HttpClient) {
  asio::io_context Loop;
  tcp::acceptor Acceptor{Loop, {asio::ip::address_v4::loopback(), 0}};
  CallThread Calls{1 << 20};
  HttpClient Client{Calls, {"127.0.0.1", Acceptor.local_endpoint().port()}};

  /// Sends \p Bytes to one request as soon as its head has arrived, and resets.
  std::thread serve(const std::string &Bytes) {
    return std::thread([this, Bytes] {
      tcp::socket Server = Acceptor.accept();
      std::string Head;
      asio::read_until(Server, asio::dynamic_buffer(Head), "\r\n\r\n");
      boost::system::error_code Ignored; // The client may have closed.
      asio::write(Server, asio::buffer(Bytes), Ignored);
      Server.set_option(asio::socket_base::linger(true, 0), Ignored);
      Server.close(Ignored);
    });
  }
  HttpResult call(const std::string &Answer, size_t BodyBytes) {
    std::thread Server = serve(Answer);
    std::promise<HttpResult> Result;
    HttpRequest Request;
    Request.Method = "POST";
    Request.Path = "/";
    Request.Body = std::string(BodyBytes, 'u');
    Request.ConnectionReuse = Reuse::Never;
    Client.send(std::move(Request), {.OnEnd = [&](HttpResult End) {
                  Result.set_value(std::move(End));
                }});
    HttpResult Received = Result.get_future().get();
    Server.join();
    return Received;
  }
  /// The server may have run the call.
  void checkFails(const std::string &Answer, size_t BodyBytes) {
    const HttpResult Result = call(Answer, BodyBytes);
    const auto *const Failure = std::get_if<HttpFailure>(&Result);
    CHECK(Failure);
    CHECK(Failure->MayHaveRun);
  }
};

// Failure: a target's answer whose status is no status counts as an answer.
TEST(HttpClient, StatusOutOfRangeIsNoAnswer) {
  for (const std::string Status : {"000", "099", "600"})
    checkFails("HTTP/1.1 " + Status + " Odd\r\nContent-Length: 0\r\n\r\n", 0);
}

// Failure: a target resets during an upload, and the part of its answer that
// had arrived counts as the whole.
TEST(HttpClient, ResetDuringAnUploadEndsNoAnswer) {
  constexpr int Repetitions = 30;
  for (int I = 0; I < Repetitions; ++I)
    checkFails("HTTP/1.1 200 OK\r\n\r\npart", 16 << 20);
}
