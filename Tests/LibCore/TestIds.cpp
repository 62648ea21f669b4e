//===- TestIds.cpp - Time-ordered unique identifiers ------------*- C++ -*-===//
//
// The layout of RFC 9562, and what the idempotency rules rely on: the mint
// time is exact, and ids of one generator ascend.
//
//===----------------------------------------------------------------------===//

#include "LibCore/Ids.h"

#include <algorithm>
#include <set>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using std::chrono::milliseconds;

namespace {

WallTime at(int64_t Milliseconds) {
  return WallTime(milliseconds(Milliseconds));
}

} // namespace

TEST_GROUP(Ids){};

TEST(Ids, AgreesWithTheExampleOfTheStandard) {
  // RFC 9562, appendix A.6: 2022-02-22 14:22:22 -05:00.
  const WallTime Minted = at(1645557742000);
  Uuid Made = Uuid::makeVersion7(Minted, 0xcc3, 0x18c4dc0c0c07398f);
  STRCMP_EQUAL("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", Made.toString().c_str());
  Uuid Read = Uuid::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F").value();
  CHECK(Read == Made);
  CHECK(Read.mintTime() == Minted);
}

TEST(Ids, OnlyVersion7TellsAMintTime) {
  // Symptom: a key without a time is taken for a new one after a takeover and
  // runs twice. Cause: bytes of another version read as a time.
  for (const char *Key :
       {"", "order-17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-d8c4-dc0c0c07398f",
        "017f22e279b07cc398c4dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398f ",
        "00000000-0000-0000-0000-000000000000"})
    CHECK_TEXT(!mintTimeOfKey(Key), Key);
  CHECK(!Uuid::parse("017f22e2079b0-7cc3-98c4-dc0c0c07398f"));
}

TEST(Ids, TheSameSeedGivesTheSameIds) {
  auto Fixed = [] { return at(1700000000000); };
  UuidGenerator First(7, Fixed), Second(7, Fixed), Other(8, Fixed);
  std::string Text = First.nextText();
  CHECK(Text == Second.nextText());
  CHECK(Text != Other.nextText());
}

TEST(Ids, AscendWhileTheClockStepsBack) {
  // Symptom: a later id sorts before an earlier one. Sequence: the clock of
  // the VM is corrected backwards between two ids. Cause: minting from the
  // wall clock alone.
  int64_t Now = 1000;
  UuidGenerator Generator(1, [&] { return at(Now); });
  Uuid Last = Generator.next();
  for (int64_t Next : {1000, 1000, 990, 1, 1001, 999, 2000}) {
    Now = Next;
    Uuid New = Generator.next();
    CHECK(Last < New);
    Last = New;
  }
}

TEST(Ids, AscendWhenTheSequenceOfAMillisecondRunsOver) {
  UuidGenerator Generator(1, [] { return at(1000); });
  Uuid Last = Generator.next();
  for (int I = 0; I < 10000; ++I) {
    Uuid New = Generator.next();
    CHECK(Last < New);
    Last = New;
  }
  CHECK(Last.isVersion7());
  CHECK(*Last.mintTime() <= at(1000 + 10000 / 2048 + 1));
}

TEST(Ids, AreUniqueOverThreads) {
  UuidGenerator Generator;
  std::vector<std::vector<Uuid>> Made(4);
  {
    std::vector<std::jthread> Threads;
    for (auto &Own : Made)
      Threads.emplace_back([&] {
        for (int I = 0; I < 2000; ++I)
          Own.push_back(Generator.next());
      });
  }
  std::set<Uuid> All;
  for (const auto &Own : Made) {
    CHECK(std::ranges::is_sorted(Own));
    All.insert(Own.begin(), Own.end());
  }
  LONGS_EQUAL(8000, All.size());
}
