//===- TestDescriptorShares.cpp - What file descriptors are for -----------===//
//
// Limits from the smallest to none.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/DescriptorShares.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace figlift::dispatch;

TEST_GROUP(DescriptorShares){};

// Failure: callers take the descriptors that connections to servers need.
TEST(DescriptorShares, AThirdIsLeftForServers) {
  constexpr size_t ForFiles = 200;
  for (const size_t Limit : {size_t{1024}, size_t{4096}, size_t{1} << 20}) {
    const DescriptorShares Shares = shareDescriptors(Limit);
    const size_t Left = Limit - ForFiles - Shares.Callers - Shares.Rejected;
    CHECK(Left >= (Limit - ForFiles) / 3);
    CHECK(Shares.Callers >= Limit / 3);
  }
}

// Failure: a small limit, or none, leaves no connection for callers.
TEST(DescriptorShares, SmallAndUnknownLimits) {
  CHECK(shareDescriptors(44).Callers >= 10);
  LONGS_EQUAL(0, shareDescriptors(0).Callers);
  const size_t None = std::numeric_limits<size_t>::max();
  CHECK(shareDescriptors(None).Callers > None / 2);
}
