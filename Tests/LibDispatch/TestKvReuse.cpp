//===- TestKvReuse.cpp - Whether a rejected run is worth sending again ----===//
//
// Full engines against caches that are gone.
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

// Load: a burst; one engine in three is full.
TEST(KvReuse, GoesOnWhileMostRunsBegin) {
  for (int Attempt = 0; Attempt < 60; ++Attempt)
    Reuse.recordRetry(Attempt % 3 != 0, Now);
  CHECK(Reuse.shouldRetry(Now));
}

// Symptom: callers are refused by engines that have room. Sequence: engines
// drop the KV cache of reads at once; each run is rejected by two engines.
// Cause: the rejections were taken for those of full engines.
TEST(KvReuse, StopsWhenCachesAreGone) {
  for (int Attempt = 0; Attempt < 5; ++Attempt)
    Reuse.recordRetry(false, Now);
  CHECK(!Reuse.shouldRetry(Now));
  CHECK(Reuse.shouldRetry(Now + std::chrono::seconds(2)));
}
