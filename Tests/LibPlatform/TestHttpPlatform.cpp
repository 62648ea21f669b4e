//===- TestHttpPlatform.cpp - What a failed call to the platform means ----===//
//
// Each test scripts the server's side of the connection and looks at the code
// that the caller gets.
//
//===----------------------------------------------------------------------===//

#include "LibPlatform/HttpPlatform.h"
#include "RawServer.h"

#include <chrono>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::platform;
using figlift::test::RawServer;
using figlift::test::Step;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<HttpPlatform> platformAt(uint16_t Port,
                                         std::chrono::milliseconds Timeout = 5s,
                                         size_t Concurrent = 16,
                                         size_t Queued = 256) {
  return HttpPlatform::create(
             {Endpoint{"127.0.0.1", Port}, Timeout, Concurrent, Queued})
      .value();
}

template <typename T> struct Answer {
  std::shared_ptr<std::promise<Result<T>>> Promise =
      std::make_shared<std::promise<Result<T>>>();
  Callback<T> callback() {
    return [Promise = Promise](Result<T> Value) {
      Promise->set_value(std::move(Value));
    };
  }
  Result<T> get() { return Promise->get_future().get(); }
};

ResultCode codeOfCommit(HttpPlatform &Platform) {
  Answer<std::monostate> Done;
  Platform.commit({{{"a", 1}}, {{"a", "x"}, {"b", std::nullopt}}},
                  Done.callback());
  auto Outcome = Done.get();
  return Outcome ? ResultCode::Success : Outcome.error().Code;
}

constexpr auto Says = Step::What::Answer;

} // namespace

// The pool of cpprestsdk lives as long as the process and allocates on its own
// threads; CppUTest's leak detector can follow neither.
[[maybe_unused]] static const bool LeakDetectorIsOff =
    (MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(), true);

TEST_GROUP(HttpPlatform){};

TEST(HttpPlatform, ReadsRowsAndTheVmList) {
  RawServer Server(
      {{Says, 200, R"({"key":"a b","version":3,"value":"v"})"},
       {Says, 200, R"({"vms":[{"id":"e1","kind":"target","backEnd":"lm-desk",
          "zone":"hall-a","region":"blue-ridge","peer":"127.0.0.1:9",
          "state":"leaving"},{"id":"e2","kind":"entry","peer":"nowhere",
          "state":"live"}]})"}});
  auto Platform = platformAt(Server.port());
  Answer<Row> Read;
  Platform->read("a b", Read.callback());
  CHECK_EQUAL(3u, Read.get().value().Version);
  Answer<std::vector<Vm>> Listed;
  Platform->list(Listed.callback());
  auto Vms = Listed.get().value();
  CHECK_EQUAL(1u, Vms.size());
  CHECK_TRUE(Vms[0].State == VmState::Leaving);
}

TEST(HttpPlatform, ReadsAnUnchangedVmListOnlyOnce) {
  // Symptom: control traffic far above its budget in a fleet of a thousand
  // VMs. Events: every process polls the list, which has not changed. Cause:
  // the whole list in each answer. A failed read must not lose the list, and
  // a changed one must replace it.
  const std::string One = R"({"vms":[{"id":"e1","kind":"entry",
      "peer":"127.0.0.1:9","state":"live"}]})";
  RawServer Server({{Says, 200, One, "ETag: \"7\"\r\n"},
                    {Says, 304, "", "ETag: \"7\"\r\n"},
                    {Says, 503},
                    {Says, 304, "", "ETag: \"7\"\r\n"},
                    {Says, 200, R"({"vms":[]})", "ETag: \"8\"\r\n"}});
  auto Platform = platformAt(Server.port());
  const std::optional<size_t> Expected[] = {1, 1, std::nullopt, 1, 0};
  for (const auto &Lines : Expected) {
    Answer<std::vector<Vm>> Listed;
    Platform->list(Listed.callback());
    const auto Read = Listed.get();
    CHECK_EQUAL(Lines.has_value(), Read.has_value());
    if (Lines)
      CHECK_EQUAL(*Lines, Read.value().size());
  }
  // cpprestsdk writes no space behind the colon.
  STRCMP_CONTAINS("If-None-Match:\"7\"", Server.lastHead().c_str());
  CHECK(Platform->bytes() > 2 * One.size());
}

TEST(HttpPlatform, TellsWhetherAWriteMayHaveHappened) {
  struct Case {
    Step Server;
    ResultCode Expected;
  };
  const Case Cases[] = {
      {{Says, 200}, ResultCode::Success},
      {{Says, 409, R"({"conflict":"a"})"}, ResultCode::StoreConflict},
      {{Says, 503}, ResultCode::StoreUnavailable},
      {{Says, 500}, ResultCode::StoreOutcomeUnknown},
      {{Step::What::CloseWithoutAnswer}, ResultCode::StoreOutcomeUnknown},
      {{Step::What::Silence}, ResultCode::StoreOutcomeUnknown},
  };
  for (const auto &[Script, Expected] : Cases) {
    RawServer Server({Script});
    auto Platform = platformAt(Server.port(), 300ms);
    CHECK_EQUAL(static_cast<int>(Expected),
                static_cast<int>(codeOfCommit(*Platform)));
  }
}

TEST(HttpPlatform, KnowsThatNothingWasWrittenWhenTheConnectionIsRefused) {
  uint16_t Port = RawServer({}).port();
  auto Platform = platformAt(Port);
  CHECK_TRUE(codeOfCommit(*Platform) == ResultCode::StoreUnavailable);
}

TEST(HttpPlatform, NeverSendsACommitTwice) {
  // Symptom: a commit that took effect comes back as a conflict.
  // Sequence: a read leaves a pooled connection; the commit goes out on it;
  // the server commits and dies; the client library sends the same request
  // again on a new connection, where its condition no longer holds.
  // Cause: the library takes a close on a reused connection for proof that
  // the request was not processed.
  RawServer Server({{Says, 200, R"({"key":"a","version":0,"value":""})"},
                    {Step::What::CloseWithoutAnswer},
                    {Says, 409, "{}"}});
  auto Platform = platformAt(Server.port());
  Answer<Row> Read;
  Platform->read("a", Read.callback());
  CHECK_TRUE(Read.get().has_value());
  CHECK_TRUE(codeOfCommit(*Platform) == ResultCode::StoreOutcomeUnknown);
  CHECK_EQUAL(2u, Server.requests());
}

TEST(HttpPlatform, AnswersEveryCallWithinItsTimeoutWhenTheStoreHangs) {
  // Symptom: calls pile up without bound while the store is slow.
  // Sequence: the server accepts and says nothing; many more calls follow.
  // Cause: no bound on calls in flight, or a timeout that starts only when a
  // waiting call is sent.
  RawServer Server({});
  auto Platform = platformAt(Server.port(), 200ms, 2, 4);
  std::vector<Answer<Row>> Answers(8);
  auto Start = std::chrono::steady_clock::now();
  for (auto &Each : Answers)
    Platform->read("a", Each.callback());
  for (auto &Each : Answers)
    CHECK_TRUE(Each.get().error().Code == ResultCode::StoreUnavailable);
  CHECK_TRUE(std::chrono::steady_clock::now() - Start < 2s);
  CHECK_TRUE(Server.requests() <= 2);
}

// Failure: rows, objects and the VM list that take longer than the timeout of a
// call are broken off and asked for again, for ever.
TEST(HttpPlatform, ReadsAnswersThatOutgrowTheirLink) {
  // Each answer takes three times the timeout.
  const auto Slowly = [](const std::string &Body) {
    return Step{Says, 200, Body + std::string(100'000, ' '), {}, 45ms};
  };
  RawServer Server(
      {Slowly(R"({"rows":[]})"), Slowly("object"), Slowly(R"({"vms":[]})")});
  auto Platform = platformAt(Server.port(), 300ms);
  Answer<std::vector<Row>> Range;
  Platform->readRange("a", "", 10, Range.callback());
  CHECK_TRUE(Range.get().has_value());
  Answer<std::string> Object;
  Platform->get("o", Object.callback());
  CHECK_TRUE(Object.get().has_value());
  Answer<std::vector<Vm>> List;
  Platform->list(List.callback());
  CHECK_TRUE(List.get().has_value());
}

// Failure: a lease is judged by a row whose answer took longer than the timeout
// of its call.
TEST(HttpPlatform, BoundsTheWholeAnswerOfASingleRow) {
  const std::string Body = R"({"key":"a","version":0,"value":""})";
  RawServer Server({{Says, 200, Body + std::string(400, ' '), {}, 45ms}});
  auto Platform = platformAt(Server.port(), 300ms);
  Answer<Row> Read;
  const auto Begun = std::chrono::steady_clock::now();
  Platform->read("a", Read.callback());
  CHECK_TRUE(Read.get().error().Code == ResultCode::StoreUnavailable);
  CHECK_TRUE(std::chrono::steady_clock::now() - Begun < 900ms);
}

// Failure: an answer that falls silent is waited for without end.
TEST(HttpPlatform, GivesAnAnswerUpThatFallsSilent) {
  RawServer Server({{Says, 200, R"({"rows":[]})", {}, 10s}});
  auto Platform = platformAt(Server.port(), 300ms);
  Answer<std::vector<Row>> Range;
  const auto Begun = std::chrono::steady_clock::now();
  Platform->readRange("a", "", 10, Range.callback());
  CHECK_TRUE(Range.get().error().Code == ResultCode::StoreUnavailable);
  CHECK_TRUE(std::chrono::steady_clock::now() - Begun < 3s);
}

// Failure: a process does not end while an answer trickles in.
TEST(HttpPlatform, EndsThoughAnAnswerTricklesIn) {
  RawServer Server({{Says, 200, std::string(100'000, ' '), {}, 200ms}});
  auto Platform = platformAt(Server.port(), 300ms);
  Answer<std::vector<Row>> Range;
  Platform->readRange("a", "", 10, Range.callback());
  while (Server.requests() == 0)
    std::this_thread::yield();
  const auto Begun = std::chrono::steady_clock::now();
  Platform.reset();
  CHECK_TRUE(std::chrono::steady_clock::now() - Begun < 3s);
  CHECK_TRUE(Range.get().error().Code == ResultCode::StoreUnavailable);
}
