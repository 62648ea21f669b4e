//===- TestStoreTable.cpp - Rows of other writers in a product table ------===//
//
// Real sockets with a simulated store, on one event loop.
//
//===----------------------------------------------------------------------===//

#include "FigliftGateway/StandInStore.h"
#include "platform/StoreTable.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::slopes;
using std::chrono::milliseconds;

TEST_GROUP(StoreTable) {
  boost::asio::io_context Loop;
  testing::StandInStore Store{Loop};
  BackgroundWorker Worker{Loop};
  StoreClient Client{Loop, Worker, Store.address()};
  StoreTable Table{Client, "t"};

  template <typename T> T wait(const std::optional<T> &Response) {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Response && std::chrono::steady_clock::now() < End)
      Loop.run_for(milliseconds(2));
    CHECK(Response.has_value());
    return *Response;
  }
  platform::Row read(const std::string &Key) {
    std::optional<Result<platform::Row>> Read;
    Table.read(Key, [&](auto Result) { Read = std::move(Result); });
    return wait(Read).value();
  }
};

// Failure: a row that another program wrote has no revision, counts as absent,
// and is replaced at once as if nobody held it.
TEST(StoreTable, RowsWithoutARevisionAreNotAbsent) {
  CHECK_EQUAL(0u, read("k").Version);
  for (const char *Value :
       {"", "***", "x\n{}", "5", "-1\n{}", "0\n{}", "5x\n{}",
        "18446744073709551615\n{}", "18446744073709551616\n{}"}) {
    Store.put("t", "k", Value);
    const uint64_t Before = read("k").Version;
    CHECK_TEXT(Before > 0, Value);
    STRCMP_EQUAL_TEXT("", read("k").Value.c_str(), Value);
    // Another write shows, as holders are watched by their revisions.
    Store.put("t", "k", Value);
    CHECK_TEXT(read("k").Version != Before, Value);
  }
  Store.put("t", "k", "5\n{}");
  CHECK_EQUAL(5u, read("k").Version);
  STRCMP_EQUAL("{}", read("k").Value.c_str());
}

// Failure: a row that cannot be decoded counts as absent.
TEST(StoreTable, UnreadableRowsAreNotAbsent) {
  for (const char *Row : {R"({"key":"k","ver":3,"value":"***"})",
                          R"({"key":"k","ver":-1,"value":"NQp7fQ=="})",
                          R"({"key":"k","ver":0,"part":[],"value":"NQ=="})"}) {
    Store.OddRows["t"] = {Row};
    CHECK_TEXT(read("k").Version > 0, Row);
    STRCMP_EQUAL_TEXT("", read("k").Value.c_str(), Row);
  }
}
