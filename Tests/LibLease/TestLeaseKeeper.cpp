//===- TestLeaseKeeper.cpp - Odd rows under a lease's key -----------------===//
//
// Rows that another program wrote under the key of a lease.
//
//===----------------------------------------------------------------------===//

#include "LibLease/LeaseKeeper.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::lease;

namespace {

/// A table whose only row another program wrote.
class OddTable : public platform::Table {
public:
  explicit OddTable(std::string Value) : m_Value(std::move(Value)) {}

  void read(std::string Key, platform::Callback<platform::Row> Done) override {
    ++Reads;
    Done(platform::Row{std::move(Key), 7, m_Value});
  }
  void readRange(std::string, std::string, size_t,
                 platform::Callback<std::vector<platform::Row>>) override {}
  void commit(platform::Transaction,
              platform::Callback<std::monostate> Done) override {
    ++Commits;
    Done(std::monostate{});
  }

  unsigned Reads = 0;
  unsigned Commits = 0;

private:
  const std::string m_Value;
};

} // namespace

TEST_GROUP(LeaseKeeper){};

// Failure: a field of another type throws out of the keeper, and the process
// ends; or a lease whose holder cannot be read counts as free.
TEST(LeaseKeeper, OddRowsCountAsHeldByAnother) {
  const std::string Deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string &Value :
       {std::string(), std::string("***"), std::string("[]"), Deep,
        R"({"holder":)" + Deep + "}", std::string(R"({"holder":5})"),
        std::string(R"({"holder":null,"epoch":1})"),
        std::string(R"({"epoch":"1"})"), std::string(R"({"epoch":-1})"),
        std::string(R"({"epoch":1e300})"),
        std::string(R"({"epoch":18446744073709551615})"),
        std::string(R"({"durationMilliseconds":-1})"),
        std::string(R"({"durationMilliseconds":1e300})"),
        std::string(R"({"durationMilliseconds":18446744073709551615})")}) {
    OddTable Table(Value);
    const auto Keeper = std::make_shared<LeaseKeeper>(
        Table, [](const std::function<void()> &Run) { Run(); }, "lease",
        LeaseOptions{.Self = "g1"},
        LeaseKeeper::Observer{[](uint64_t) {}, [](uint64_t) {}});
    Keeper->tick();
    const std::string Shown = Value.substr(0, 60);
    CHECK_EQUAL_TEXT(1u, Table.Reads, Shown.c_str());
    CHECK_EQUAL_TEXT(0u, Table.Commits, Shown.c_str());
  }
  // A lease that was released is acquired at once.
  OddTable Released(R"({"holder":"","epoch":4,"durationMilliseconds":3000})");
  const auto Keeper = std::make_shared<LeaseKeeper>(
      Released, [](const std::function<void()> &Run) { Run(); }, "lease",
      LeaseOptions{.Self = "g1"},
      LeaseKeeper::Observer{[](uint64_t) {}, [](uint64_t) {}});
  Keeper->tick();
  CHECK_EQUAL(1u, Released.Commits);
}
