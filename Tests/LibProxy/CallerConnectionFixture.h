//===- CallerConnectionFixture.h - A connection and its caller --*- C++ -*-===//
//
// A pair of sockets connected over the loopback; the test acts as the caller.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibProxy/CallerConnection.h"

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>
#include <vector>

namespace figlift::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

class RecordingRequest : public ActiveRequest {
public:
  void callerDisconnected() override { Disconnected = true; }
  bool callerEndedInput() override { return AnswersEndedInput; }
  void callerWritable() override { ++WritableCalls; }
  bool Disconnected = false;
  bool AnswersEndedInput = false;
  int WritableCalls = 0;
};

class RecordingHandler : public RequestHandler {
public:
  std::shared_ptr<ActiveRequest>
  handle(Request Incoming, std::shared_ptr<CallerConnection> Caller) override {
    Requests.push_back(std::move(Incoming));
    LastCaller = std::move(Caller);
    LastRequest = std::make_shared<RecordingRequest>();
    LastRequest->AnswersEndedInput = AnswersEndedInput;
    if (RespondImmediately)
      respond("ok");
    return LastRequest;
  }
  ErrorResponse rejected(unsigned Status) override {
    RejectedStatus = Status;
    return errorResponse(Status);
  }
  void closed(CallerConnection &) override { Closed = true; }
  CallerLimits limits() const override { return Limits; }
  figlift::MemoryBudget *memory() override { return &Memory; }
  void respond(std::string_view Body) {
    ResponseHead Head;
    Head.Status = 200;
    LastCaller->respond(Head, std::string(Body));
  }

  CallerLimits Limits;
  figlift::MemoryBudget Memory{1 << 20};
  bool RespondImmediately = true;
  /// Of the requests to come.
  bool AnswersEndedInput = false;
  std::vector<Request> Requests;
  std::shared_ptr<CallerConnection> LastCaller;
  std::shared_ptr<RecordingRequest> LastRequest;
  unsigned RejectedStatus = 0;
  bool Closed = false;
};

class CallerConnectionFixture : public Utest {
public:
  asio::io_context Loop;
  tcp::acceptor Acceptor{Loop, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket Caller{Loop};
  RecordingHandler Handler;
  CallerLimits &Limits = Handler.Limits;
  std::shared_ptr<CallerConnection> Opened;

  void open() {
    Caller.connect(Acceptor.local_endpoint());
    Opened = std::make_shared<CallerConnection>(Acceptor.accept(), Handler);
    Opened->start();
    Caller.non_blocking(true);
  }
  void send(std::string_view Bytes) {
    asio::write(Caller, asio::buffer(Bytes));
  }
  /// Runs the loop until \p Done holds, for at most two seconds.
  template <typename Condition> bool until(Condition Done) {
    const auto End = std::chrono::steady_clock::now() + milliseconds(2000);
    while (!Done() && std::chrono::steady_clock::now() < End)
      Loop.run_for(milliseconds(5));
    return Done();
  }
  /// Blocks the thread for \p Duration without running the loop.
  static void stall(milliseconds Duration) {
    const auto End = std::chrono::steady_clock::now() + Duration;
    while (std::chrono::steady_clock::now() < End)
      continue;
  }
  /// Response bytes received so far.
  std::string Received;
  /// The connection has been closed or reset.
  bool Ended = false;
  bool Reset = false;
  void receive() {
    std::array<char, 4096> Buffer;
    boost::system::error_code Code;
    while (!Code) {
      const size_t Count = Caller.read_some(asio::buffer(Buffer), Code);
      Received.append(Buffer.data(), Count);
    }
    Ended = Ended || Code != asio::error::would_block;
    Reset = Reset || Code == asio::error::connection_reset;
  }
  /// Opens a connection with a small receive buffer at the caller.
  void openWithSmallBuffer() {
    Caller.open(tcp::v4());
    Caller.set_option(asio::socket_base::receive_buffer_size(1 << 16));
    open();
  }
  /// Several times what the socket buffers of both ends hold.
  static constexpr size_t LargeResponseBytes = 16 << 20;
  /// Receives \p Bytes at an even rate over 4 s; returns early if the
  /// connection ends.
  void receiveSlowly(size_t Bytes) {
    constexpr milliseconds Interval{5};
    constexpr milliseconds Duration{4000};
    std::vector<char> Buffer(Bytes / static_cast<size_t>(Duration / Interval));
    const auto Begin = std::chrono::steady_clock::now();
    const auto Deadline = Begin + Duration * 2;
    while (!Ended && Received.size() < Bytes &&
           std::chrono::steady_clock::now() < Deadline) {
      Loop.run_for(Interval);
      const auto Due = static_cast<size_t>(
          static_cast<double>(Bytes) *
          ((std::chrono::steady_clock::now() - Begin) / 1.0 /
           std::chrono::duration_cast<std::chrono::nanoseconds>(Duration)));
      boost::system::error_code Code;
      while (!Code && Received.size() < Due) {
        const size_t Count = Caller.read_some(asio::buffer(Buffer), Code);
        Received.append(Buffer.data(), Count);
      }
      Ended = Code && Code != asio::error::would_block;
    }
  }
  /// Waits until the connection has been closed or reset.
  bool ends() {
    return until([&] {
      receive();
      return Ended;
    });
  }
  bool receives(std::string_view Text) {
    return until([&] {
      receive();
      return Received.find(Text) != std::string::npos;
    });
  }
};

} // namespace figlift::proxy
