//===- TestIds.cpp - Time-ordered unique identifiers ------------*- C++ -*-===//
//
// The layout of RFC 9562, and two properties required by the idempotency rules:
// the creation time is exact, and ids of one generator ascend.
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

TEST(Ids, MatchesTheExampleOfRfc9562) {
  // RFC 9562, appendix A.6: 2022-02-22 14:22:22 -05:00.
  const WallTime CreatedAt = at(1645557742000);
  Uuid Created = Uuid::makeVersion7(CreatedAt, 0xcc3, 0x18c4dc0c0c07398f);
  STRCMP_EQUAL("017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
               Created.toString().c_str());
  Uuid Parsed = Uuid::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F").value();
  CHECK(Parsed == Created);
  CHECK(Parsed.creationTime() == CreatedAt);
}

TEST(Ids, OnlyVersion7HasACreationTime) {
  // Guards against a request that is executed twice: after a takeover, a key
  // without a timestamp must not count as new because bytes of another UUID
  // version are read as a time.
  for (const char *Key :
       {"", "order-17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-d8c4-dc0c0c07398f",
        "017f22e279b07cc398c4dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398f ",
        "00000000-0000-0000-0000-000000000000"})
    CHECK_TEXT(!creationTimeOfKey(Key), Key);
  CHECK(!Uuid::parse("017f22e2079b0-7cc3-98c4-dc0c0c07398f"));
}

TEST(Ids, TheSameSeedGivesTheSameIds) {
  auto Fixed = [] { return at(1700000000000); };
  UuidGenerator First(7, Fixed), Second(7, Fixed), Other(8, Fixed);
  std::string Text = First.nextText();
  CHECK(Text == Second.nextText());
  CHECK(Text != Other.nextText());
}

TEST(Ids, AscendWhenTheClockIsSetBack) {
  // Guards against a later id that sorts before an earlier one after the VM's
  // clock was set back between them.
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

TEST(Ids, AscendWhenTheSequenceOfAMillisecondOverflows) {
  UuidGenerator Generator(1, [] { return at(1000); });
  Uuid Last = Generator.next();
  for (int I = 0; I < 10000; ++I) {
    Uuid New = Generator.next();
    CHECK(Last < New);
    Last = New;
  }
  CHECK(Last.isVersion7());
  CHECK(*Last.creationTime() <= at(1000 + 10000 / 2048 + 1));
}

TEST(Ids, AreUniqueAcrossThreads) {
  UuidGenerator Generator;
  std::vector<std::vector<Uuid>> Created(4);
  {
    std::vector<std::jthread> Threads;
    for (auto &Ids : Created)
      Threads.emplace_back([&] {
        for (int I = 0; I < 2000; ++I)
          Ids.push_back(Generator.next());
      });
  }
  std::set<Uuid> All;
  for (const auto &Ids : Created) {
    CHECK(std::ranges::is_sorted(Ids));
    All.insert(Ids.begin(), Ids.end());
  }
  LONGS_EQUAL(8000, All.size());
}
