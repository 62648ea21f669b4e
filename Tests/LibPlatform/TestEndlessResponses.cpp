//===- TestEndlessResponses.cpp - A platform that sends without end -------===//
//
// Every process reads whole tables, whose size it does not know.
//
//===----------------------------------------------------------------------===//

#include "EndlessMessages/EndlessServer.h"

#include "LibPlatform/HttpPlatform.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace figlift;
using namespace figlift::platform;
using figlift::testing::EndlessBytes;
using figlift::testing::EndlessServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What one response may hold, and as much in the sockets of both sides.
constexpr size_t MaximumBytes = 128 << 20;

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Text(1000, ' ');

const std::vector<EndlessBytes> Senders = {
    {"", "no head "},
    {Ok, "a:b\r\n"},
    {Ok + "Transfer-Encoding: chunked\r\n\r\n7fffffffff\r\n", Text},
    {Ok + "\r\n", Text},
    {Ok + "Content-Length: 99999999999\r\n\r\n", Text},
};

} // namespace

TEST_GROUP(EndlessResponses) { boost::asio::io_context Loop; };

// Guards against: a process keeps all that a faulty platform sends, and ends
// for want of memory with the requests of its callers.
TEST(EndlessResponses, EndAReadOfATable) {
  for (const EndlessBytes &Faulty : Senders) {
    EndlessServer Server(Loop, Faulty);
    const auto Platform =
        HttpPlatform::create({.Server = Server.address()}).value();
    const auto HasFailed = std::make_shared<std::atomic<bool>>(false);
    Platform->readRange(
        "a", "", 10,
        [HasFailed](Result<std::vector<Row>> Rows) { *HasFailed = !Rows; });
    const auto Limit = std::chrono::steady_clock::now() + seconds(5);
    while (!*HasFailed && std::chrono::steady_clock::now() < Limit &&
           Server.bytesWritten() <= MaximumBytes)
      Loop.run_for(milliseconds(2));
    CHECK(Server.bytesWritten() <= MaximumBytes);
    CHECK(*HasFailed);
  }
}
