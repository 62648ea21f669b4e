//===- TestMemoryBudget.cpp - Shares of bounded memory --------------------===//
//
// Shares that grow, shrink and end.
//
//===----------------------------------------------------------------------===//

#include "LibCore/MemoryBudget.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <optional>

using namespace figlift;

TEST_GROUP(MemoryBudget) {
  static constexpr size_t Free = MemoryShare::FreeBytes;
  MemoryBudget Budget{1000};
};

TEST(MemoryBudget, GrowsToItsMaximumOverAllShares) {
  MemoryShare First(&Budget);
  std::optional<MemoryShare> Second(std::in_place, &Budget);
  CHECK(First.resize(Free + 600));
  CHECK(Second->resize(Free + 400));
  CHECK_FALSE(First.resize(Free + 601));
  LONGS_EQUAL(1000, Budget.used());
  CHECK(Second->resize(Free + 100));
  CHECK(First.resize(Free + 900));
  Second.reset();
  LONGS_EQUAL(900, Budget.used());
}

TEST(MemoryBudget, SmallSharesAreFree) {
  MemoryShare First(&Budget);
  First.set(Free + 5000);
  MemoryShare Second(&Budget);
  CHECK(Second.resize(Free));
  CHECK_FALSE(Second.resize(Free + 1));
  // A share may always shrink.
  CHECK(First.resize(Free + 4000));
  LONGS_EQUAL(4000, Budget.used());
}

// Guards against: thousands of messages, each too small to be counted, take the
// memory together.
TEST(MemoryBudget, ManySmallSharesAreCounted) {
  MemoryBudget Bounded{1000, 3 * Free};
  std::deque<MemoryShare> Shares;
  for (int I = 0; I < 3; ++I)
    CHECK(Shares.emplace_back(&Bounded).resize(Free));
  LONGS_EQUAL(0, Bounded.used());
  MemoryShare &Another = Shares.emplace_back(&Bounded);
  CHECK_FALSE(Another.resize(Free));
  CHECK(Another.resize(MemoryShare::FreeBytesWhenScarce));
  CHECK(Another.resize(MemoryShare::FreeBytesWhenScarce + 1000));
  LONGS_EQUAL(1000, Bounded.used());
  Shares.pop_front();
  CHECK(Another.resize(Free));
  LONGS_EQUAL(0, Bounded.used());
}

TEST(MemoryBudget, IsOptional) {
  MemoryShare Unbounded(nullptr);
  CHECK(Unbounded.resize(SIZE_MAX));
}
