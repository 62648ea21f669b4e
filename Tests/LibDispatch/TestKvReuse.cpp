//===- TestKvReuse.cpp - Whether to retry with the same KV cache ----------===//
//
// Full engines and evicted caches.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/KvReuse.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;

TEST_GROUP(KvReuse) {
  KvReuse Reuse;
  BootTime Now{std::chrono::seconds(100)};
};

// In a burst one engine in three is full.
TEST(KvReuse, RetriesWhileMostRetriesSucceed) {
  for (int Attempt = 0; Attempt < 60; ++Attempt)
    Reuse.recordRetry(Attempt % 3 != 0, Now);
  CHECK(Reuse.shouldRetry(Now));
}

// Engines evict the KV caches of prefills immediately, so two engines reject
// each decode request. If the rejections are attributed to full engines,
// callers are rejected although engines have free slots.
TEST(KvReuse, StopsWhenCachesAreEvicted) {
  for (int Attempt = 0; Attempt < 5; ++Attempt)
    Reuse.recordRetry(false, Now);
  CHECK(!Reuse.shouldRetry(Now));
  CHECK(Reuse.shouldRetry(Now + std::chrono::seconds(2)));
}
