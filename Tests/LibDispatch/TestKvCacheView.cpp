//===- TestKvCacheView.cpp - What an engine keeps -------------------------===//
//
// Leading parts, and what is dropped first.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/KvCacheView.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::dispatch;

TEST_GROUP(KvCacheView) {
  KvCacheView Cache{100};
  Prompt What{90, 1, {{1, 40}, {2, 40}, {3, 10}}};
};

TEST(KvCacheView, CountsLeadingPartsOnly) {
  Cache.insert({2, 40});
  LONGS_EQUAL(0, Cache.cachedTokens(What));
  Cache.insert({1, 40});
  LONGS_EQUAL(80, Cache.cachedTokens(What));
}

TEST(KvCacheView, DropsWhatWasUsedLeastRecently) {
  Cache.insert({1, 40});
  Cache.insert({2, 40});
  Cache.insert({1, 40});
  Cache.insert({4, 40});
  CHECK(Cache.holds(1));
  CHECK(!Cache.holds(2));
}

TEST(KvCacheView, ShrinksWithItsCapacity) {
  Cache.insert({1, 40});
  Cache.setCapacity(10);
  CHECK(!Cache.holds(1));
}
