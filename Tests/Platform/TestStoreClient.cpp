//===- TestStoreClient.cpp - Calls to a store behind a small link ---------===//
//
// Real sockets before the stand-in of the store, on one loop.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInStore.h"
#include "platform/StoreClient.h"

#include <future>
#include <optional>

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
  std::optional<Result<RowsRead>> Answer;

  void setup() override {
    Store.put("t", "k", Value);
    // The answer takes four times as long as the store may be silent.
    Store.BytesPerSecond = 250'000;
  }
  void take(Result<RowsRead> Read) { Answer = std::move(Read); }
  bool isAnswered() {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Answer && std::chrono::steady_clock::now() < End)
      Loop.run_for(milliseconds(2));
    return Answer.has_value();
  }
  bool isWhole() const {
    return Answer->has_value() && Answer->value().Rows.size() == 1 &&
           Answer->value().Rows.front().Value == Value;
  }
};

// Failure: what outgrows the time allowed for a call is never read.
TEST(StoreClient, ReadsAnAnswerThatOutgrowsItsLink) {
  Client.readAll("t", "", [this](auto Read) { take(std::move(Read)); });
  CHECK(isAnswered());
  CHECK(isWhole());
}

// Failure: the same, of a change.
TEST(StoreClient, WatchesAnAnswerThatOutgrowsItsLink) {
  Client.watch("t", {1, 0}, milliseconds(50),
               [this](auto Read) { take(std::move(Read)); });
  CHECK(isAnswered());
  CHECK(isWhole());
}

// Failure: a store that falls silent in its answer is waited for without end.
TEST(StoreClient, GivesAnAnswerUpThatFallsSilent) {
  Store.Pause = milliseconds(10'000);
  const auto Begun = std::chrono::steady_clock::now();
  Client.readAll("t", "", [this](auto Read) { take(std::move(Read)); });
  CHECK(isAnswered());
  CHECK(!Answer->has_value());
  // Half of the answer, the silence, and some time for a busy machine.
  CHECK(std::chrono::steady_clock::now() - Begun < milliseconds(1500));
}

// Failure: while a large answer is decoded, nothing else on the loop goes on.
TEST(StoreClient, GoesOnWhileALargeAnswerIsDecoded) {
  Store.BytesPerSecond = 0;
  Store.put("small", "k", "v");
  std::promise<void> Release;
  // The thread is busy, as it is with the decoding of something very large.
  Worker.run([Busy = Release.get_future().share()] { return Busy.get(), 0; },
             [](int) {});
  bool LargeCame = false;
  Client.readAll("t", "", [&](auto) { LargeCame = true; });
  Loop.run_for(milliseconds(100));
  Client.readAll("small", "", [this](auto Read) { take(std::move(Read)); });
  CHECK(isAnswered());
  CHECK(!LargeCame);
  Release.set_value();
  Answer.reset();
  Client.readAll("small", "", [this](auto Read) { take(std::move(Read)); });
  CHECK(isAnswered());
  Loop.run_for(milliseconds(200));
  CHECK(LargeCame);
}

// Failure: a store that takes a call and says nothing is waited for.
TEST(StoreClient, GivesACallUpWithoutAnAnswer) {
  Store.Silent = true;
  const auto Begun = std::chrono::steady_clock::now();
  Client.readAll("t", "", [this](auto Read) { take(std::move(Read)); });
  CHECK(isAnswered());
  CHECK(!Answer->has_value());
  CHECK(std::chrono::steady_clock::now() - Begun < milliseconds(1000));
}
