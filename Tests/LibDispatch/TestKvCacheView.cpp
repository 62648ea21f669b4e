//===- TestKvCacheView.cpp - Estimated content of a KV cache --------------===//
//
// Leading parts, eviction order, and pending parts.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/KvCacheView.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(KvCacheView) {
  KvCacheView Cache{100};
  Prompt Input{90, 1, {{1, 40}, {2, 40}, {3, 10}}};
};

TEST(KvCacheView, CountsLeadingPartsOnly) {
  Cache.insert({2, 40});
  LONGS_EQUAL(0, Cache.cachedTokens(Input));
  Cache.insert({1, 40});
  LONGS_EQUAL(80, Cache.cachedTokens(Input));
}

TEST(KvCacheView, EvictsTheLeastRecentlyUsedPart) {
  Cache.insert({1, 40});
  Cache.insert({2, 40});
  Cache.insert({1, 40});
  Cache.insert({4, 40});
  CHECK(Cache.contains(1));
  CHECK(!Cache.contains(2));
}

TEST(KvCacheView, EvictsWhenItsCapacityShrinks) {
  Cache.insert({1, 40});
  Cache.setCapacity(10);
  CHECK(!Cache.contains(1));
}

// Several requests of a new subject arrive during the prefill of the first one.
// If the parts that will be cached by the time of their prefill do not count,
// they are rejected or computed again on other engines.
TEST(KvCacheView, CountsPendingParts) {
  const figlift::BootTime Now{std::chrono::seconds(100)};
  Cache.addPending({1, 40}, Now + std::chrono::milliseconds(500));
  Cache.addPending({2, 40}, Now + std::chrono::milliseconds(500));
  LONGS_EQUAL(80, Cache.cachedTokensWithPending(Input, Now));
  LONGS_EQUAL(0, Cache.cachedTokens(Input));
  Cache.insert({1, 40});
  LONGS_EQUAL(40, Cache.cachedTokens(Input));
  LONGS_EQUAL(
      40, Cache.cachedTokensWithPending(Input, Now + std::chrono::seconds(1)));
  Cache.removePending(1);
  Cache.removePending(2);
  CHECK(Cache.contains(1));
  LONGS_EQUAL(40, Cache.cachedTokensWithPending(Input, Now));
}
