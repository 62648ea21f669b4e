//===- TestStoreNews.cpp - News of the store, there and back --------------===//
//
// Entries with and without each field, and bytes that are no news.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StoreNews.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(StoreNews) {
  Target Engine;

  void setup() override {
    Engine.Id = "e";
    Engine.Started = StartTime(milliseconds(1790000000123));
    Engine.Heartbeat = 17;
    Engine.Service = "model";
    Engine.Address = {"10.0.0.9", 8080};
    Engine.Zone = "z";
    Engine.Slots = 6;
    Engine.Draining = true;
    Engine.EngineStage = Stage::Decode;
  }
};

TEST(StoreNews, ComesBackAsItWas) {
  Target Plain = Engine;
  Plain.Id = "p";
  Plain.Started.reset();
  Plain.EngineStage = Stage::None;
  const StoreNews Sent{
      "g1",
      {{3, 5},
       {3, 9},
       milliseconds(120),
       {{{3, 6}, "e", Engine}, {{3, 8}, "p", Plain}, {{3, 9}, "q", {}}}},
      {42, milliseconds(7)}};
  const auto Read = decodeStoreNews(encodeStoreNews(Sent));
  CHECK(Read.has_value());
  STRCMP_EQUAL("g1", Read.value().From.c_str());
  CHECK(Read.value().Servers.After == StoreVersion({3, 5}));
  CHECK(Read.value().Servers.UpTo == StoreVersion({3, 9}));
  LONGS_EQUAL(120, Read.value().Servers.Age.count());
  CHECK(Read.value().Servers.Changes == Sent.Servers.Changes);
  LONGS_EQUAL(42, Read.value().Configuration.Version);
  LONGS_EQUAL(7, Read.value().Configuration.Age.count());
}

TEST(StoreNews, RefusesOtherBytes) {
  for (const char *Bytes : {"", "x", "\x83\x01\x02\x03", "\xa1"})
    CHECK(!decodeStoreNews(Bytes).has_value());
  std::string Wrong =
      encodeStoreNews({"g", {{}, {0, 1}, {}, {{{0, 1}, "e", Engine}}}, {}});
  // The stage is the last number of the entry, before three more; none has this
  // one.
  Wrong[Wrong.size() - 4] = 9;
  CHECK(!decodeStoreNews(Wrong).has_value());
}
