//===- TestStoreUpdate.cpp - Encoding of store updates --------------------===//
//
// Covers entries with and without each field, and invalid input.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StoreUpdate.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;
using std::chrono::milliseconds;

TEST_GROUP(StoreUpdate) {
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
    Engine.SoftwareVersion = "v1.2";
  }
};

TEST(StoreUpdate, RoundTrips) {
  Target Plain = Engine;
  Plain.Id = "p";
  Plain.Started.reset();
  Plain.EngineStage = Stage::None;
  const StoreUpdate Sent{
      "g1",
      {{3, 5},
       {3, 9},
       milliseconds(120),
       {{{3, 6}, "e", Engine}, {{3, 8}, "p", Plain}, {{3, 9}, "q", {}}}},
      {42, milliseconds(7)}};
  const auto Decoded = decodeStoreUpdate(encodeStoreUpdate(Sent));
  CHECK(Decoded.has_value());
  STRCMP_EQUAL("g1", Decoded.value().Sender.c_str());
  CHECK(Decoded.value().Servers.After == StoreVersion({3, 5}));
  CHECK(Decoded.value().Servers.UpTo == StoreVersion({3, 9}));
  LONGS_EQUAL(120, Decoded.value().Servers.Age.count());
  CHECK(Decoded.value().Servers.Changes == Sent.Servers.Changes);
  LONGS_EQUAL(42, Decoded.value().Configuration.Version);
  LONGS_EQUAL(7, Decoded.value().Configuration.Age.count());
}

TEST(StoreUpdate, RejectsInvalidInput) {
  for (const char *Bytes : {"", "x", "\x83\x01\x02\x03", "\xa1"})
    CHECK(!decodeStoreUpdate(Bytes).has_value());
  std::string Wrong =
      encodeStoreUpdate({"g", {{}, {0, 1}, {}, {{{0, 1}, "e", Engine}}}, {}});
  // The stage is followed by the software version, of five bytes with its
  // length, and three numbers. No stage has the number 9.
  Wrong[Wrong.size() - 9] = 9;
  CHECK(!decodeStoreUpdate(Wrong).has_value());
}
