//===- TestStoreClient.cpp - Tests of calls over a slow link --------------===//
//
// Real sockets with a simulated store, on one event loop.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInStore.h"
#include "platform/StoreClient.h"

#include <future>
#include <optional>
#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::slopes;
using std::chrono::milliseconds;

TEST_GROUP(StoreClient) {
  boost::asio::io_context Loop;
  testing::StandInStore Store{Loop};
  BackgroundWorker Worker{Loop};
  StoreClient Client{Loop, Worker, Store.address(), {milliseconds(200)}};
  const std::string Value = std::string(150'000, 'v');
  std::optional<Result<RowsRead>> Response;

  void setup() override {
    Store.put("t", "k", Value);
    // The response takes four times as long as the allowed silence.
    Store.BytesPerSecond = 250'000;
  }
  void setResponse(Result<RowsRead> Result) { Response = std::move(Result); }
  bool waitForResponse() {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Response && std::chrono::steady_clock::now() < End)
      Loop.run_for(milliseconds(2));
    return Response.has_value();
  }
  bool isComplete() const {
    return Response->has_value() && Response->value().Rows.size() == 1 &&
           Response->value().Rows.front().Value == Value;
  }
};

// Guards against a limit on the total time of a call: a response that takes
// longer would never be read.
TEST(StoreClient, ReadsAResponseThatTakesLongerThanTheTimeout) {
  Client.readAll("t", "",
                 [this](auto Result) { setResponse(std::move(Result)); });
  CHECK(waitForResponse());
  CHECK(isComplete());
}

// Guards against: a process that was paused takes the store for silent before
// it has read what has arrived, and drops the response.
TEST(StoreClient, ReadsWhatHasArrivedAfterAPause) {
  Client.readAll("t", "",
                 [this](auto Result) { setResponse(std::move(Result)); });
  // The first parts of the response have arrived by then.
  Loop.run_for(milliseconds(100));
  CHECK_FALSE(Response.has_value());
  // The store continues as soon as the loop does.
  const auto End = std::chrono::steady_clock::now() + milliseconds(300);
  while (std::chrono::steady_clock::now() < End)
    std::this_thread::yield();
  CHECK(waitForResponse());
  CHECK(isComplete());
}

// Guards against the same limit for a watch.
TEST(StoreClient, WatchesAResponseThatTakesLongerThanTheTimeout) {
  Client.watch("t", {1, 0}, milliseconds(50),
               [this](auto Result) { setResponse(std::move(Result)); });
  CHECK(waitForResponse());
  CHECK(isComplete());
}

// Guards against waiting forever for a store that stalls within its response.
TEST(StoreClient, TimesOutWhenAResponseStalls) {
  Store.MidResponsePause = milliseconds(10'000);
  const auto Start = std::chrono::steady_clock::now();
  Client.readAll("t", "",
                 [this](auto Result) { setResponse(std::move(Result)); });
  CHECK(waitForResponse());
  CHECK(!Response->has_value());
  // Half of the response, the silence, and some time for a busy machine.
  CHECK(std::chrono::steady_clock::now() - Start < milliseconds(1500));
}

// Guards against decoding on the event loop, where a large response blocks all
// other calls.
TEST(StoreClient, StaysResponsiveWhileALargeResponseIsDecoded) {
  Store.BytesPerSecond = 0;
  Store.put("small", "k", "v");
  std::promise<void> Release;
  // Keeps the background thread busy, like the decoding of a very large
  // response.
  Worker.run([Busy = Release.get_future().share()] { return Busy.get(), 0; },
             [](int) {});
  bool LargeIsRead = false;
  Client.readAll("t", "", [&](auto) { LargeIsRead = true; });
  Loop.run_for(milliseconds(100));
  Client.readAll("small", "",
                 [this](auto Result) { setResponse(std::move(Result)); });
  CHECK(waitForResponse());
  CHECK(!LargeIsRead);
  Release.set_value();
  Response.reset();
  Client.readAll("small", "",
                 [this](auto Result) { setResponse(std::move(Result)); });
  CHECK(waitForResponse());
  Loop.run_for(milliseconds(200));
  CHECK(LargeIsRead);
}

// Guards against waiting forever for a store that accepts a call and does not
// respond.
TEST(StoreClient, TimesOutWithoutAResponse) {
  Store.Silent = true;
  const auto Start = std::chrono::steady_clock::now();
  Client.readAll("t", "",
                 [this](auto Result) { setResponse(std::move(Result)); });
  CHECK(waitForResponse());
  CHECK(!Response->has_value());
  CHECK(std::chrono::steady_clock::now() - Start < milliseconds(1000));
}

// Failure: the answer to a write is broken off, and the write counts as made in
// version 0.
TEST(StoreClient, BrokenOffAnswerToAWriteLeavesItsOutcomeOpen) {
  for (const char *Body : {R"({"ve)", "", R"({"ver":"1"})"}) {
    testing::Listener Broken(
        Loop, [Body](const proxy::Request &, const testing::Caller &To) {
          To->beginStream({200, "", 11, {}}, proxy::BodyFraming::ConnectionEnd);
          To->writeStream(Body);
          To->endStream();
        });
    StoreClient BrokenClient(Loop, Worker, Broken.address());
    std::optional<Result<dispatch::StoreVersion>> Written;
    BrokenClient.commit({}, [&](auto Result) { Written = std::move(Result); });
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Written && std::chrono::steady_clock::now() < End)
      Loop.run_for(milliseconds(2));
    CHECK(Written && !Written->has_value());
    CHECK(Written->error().Code == ResultCode::StoreOutcomeUnknown);
  }
}

// Failure: a store that announces another page for ever, or sends the same page
// again, is read without an end, and the process fills its memory with rows.
TEST(StoreClient, EndsAReadWhosePagesDoNotAdvance) {
  for (const char *Rows :
       {"", R"({"key":"k","ver":1})", R"({"key":["k"]})", "null",
        R"({"key":"k","ver":1,"value":"***"},{"key":"j","ver":1})"}) {
    testing::Listener Endless(
        Loop, [Rows](const proxy::Request &, const testing::Caller &To) {
          To->respond({200, "", 11, {}}, std::string(R"({"rows":[)") + Rows +
                                             R"(],"morePages":true,"ver":2})");
        });
    StoreClient EndlessClient(Loop, Worker, Endless.address());
    Response.reset();
    EndlessClient.readAll(
        "t", "", [this](auto Result) { setResponse(std::move(Result)); });
    CHECK_TEXT(waitForResponse(), Rows);
    CHECK_TEXT(!Response->has_value(), Rows);
    CHECK_TEXT(Endless.Requests.size() <= 2, Rows);
  }
}

// Failure: a page makes the process end, or its receiver throw: whoever waits
// for the call is never told, and reads the store no more.
TEST(StoreClient, CallWhoseReceiverThrowsEndsAsFailed) {
  int Calls = 0;
  Client.readAll("small", "", [&](Result<RowsRead> Read) {
    ++Calls;
    if (Read)
      throw std::runtime_error("odd page");
    setResponse(std::move(Read));
  });
  CHECK(waitForResponse());
  CHECK(!Response->has_value());
  LONGS_EQUAL(2, Calls);
}

// Failure: a write was made, its receiver throws, and the write counts as not
// made.
TEST(StoreClient, WriteWhoseReceiverThrowsLeavesItsOutcomeOpen) {
  std::optional<ResultCode> Failed;
  RowTransaction Transaction;
  Transaction.Writes.push_back({"small", "", "k", "v"});
  Client.commit(Transaction, [&](Result<dispatch::StoreVersion> Written) {
    if (Written)
      throw std::runtime_error("odd answer");
    Failed = Written.error().Code;
  });
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!Failed && std::chrono::steady_clock::now() < End)
    Loop.run_for(milliseconds(2));
  CHECK(Failed == ResultCode::StoreOutcomeUnknown);
}

// Failure: an odd row makes decoding a page throw, on the loop or, if the page
// is large, on the worker thread, and the process ends or the call never does.
TEST(StoreClient, PageWithAnOddRowEndsItsCall) {
  for (const size_t Padding : {size_t{0}, size_t{100'000}}) {
    testing::Listener Odd(
        Loop, [Padding](const proxy::Request &, const testing::Caller &To) {
          To->respond({200, "", 11, {}}, std::string(Padding, ' ') +
                                             R"({"ver":1,"morePages":false,)"
                                             R"("rows":[[]]})");
        });
    StoreClient OddClient(Loop, Worker, Odd.address());
    Response.reset();
    OddClient.readAll("t", "",
                      [this](auto Result) { setResponse(std::move(Result)); });
    CHECK(waitForResponse());
    CHECK(Response->has_value());
    CHECK(Response->value().Rows.empty());
  }
}
