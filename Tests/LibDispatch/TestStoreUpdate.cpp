//===- TestStoreUpdate.cpp - Encoding of store updates --------------------===//
//
// Covers entries with and without each field, and invalid input.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StoreUpdate.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

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

// Failure: peers get no update, and read the store themselves, while the list
// holds entries with long texts.
// Cause: an update with all changes does not fit into a datagram.
TEST(StoreUpdate, FitsIntoADatagramWithoutItsOldestChanges) {
  // 65,535 bytes, less the headers of IP and UDP and the seal.
  constexpr size_t MaximumBytes = 65535 - 28 - 17;
  constexpr uint64_t Changes = 200;
  Engine.Service = Engine.SoftwareVersion = std::string(4096, 'x');
  StoreUpdate Sent{"g1", {{3, 5}, {3, 5 + Changes}, milliseconds(120), {}}, {}};
  // Two changes of each version.
  for (uint64_t Number = 0; Number < Changes; ++Number) {
    Engine.Id = "e" + std::to_string(Number);
    Sent.Servers.Changes.push_back(
        {{3, 6 + Number / 2 * 2}, Engine.Id, Engine});
  }
  const std::string Bytes = encodeStoreUpdate(Sent);
  CHECK(Bytes.size() <= MaximumBytes);
  CHECK(Bytes.size() > MaximumBytes / 2);
  const auto Decoded = decodeStoreUpdate(Bytes);
  CHECK(Decoded.has_value());
  const ServerUpdate &Kept = Decoded.value().Servers;
  CHECK(Kept.UpTo == Sent.Servers.UpTo);
  CHECK(!Kept.Changes.empty());
  // The span of versions has no gap: all changes after its first version are
  // there, and no others.
  const auto First = std::find_if(
      Sent.Servers.Changes.begin(), Sent.Servers.Changes.end(),
      [&](const ServerChange &Any) { return Any.Version > Kept.After; });
  CHECK(std::vector(First, Sent.Servers.Changes.end()) == Kept.Changes);
}

// Failure: a gateway that knows only old heartbeats takes a late write of a
// removed server for a new one.
TEST(StoreUpdate, TellsTheLastWriteOfARemovedServer) {
  const ServerChange Timed{{3, 6}, "e", {}, LastWrite{Engine.Started, 42}};
  const ServerChange Untimed{{3, 7}, "p", {}, LastWrite{std::nullopt, 7}};
  const auto Decoded = decodeStoreUpdate(encodeStoreUpdate(
      {"g1", {{3, 5}, {3, 7}, milliseconds(0), {Timed, Untimed}}, {}}));
  CHECK(Decoded.has_value());
  CHECK(Decoded.value().Servers.Changes == std::vector({Timed, Untimed}));
}

// Failure: gateways of two builds, which run beside each other in a roll,
// reject each other's updates. Earlier builds read and write three items of a
// change.
TEST(StoreUpdate, IsUnderstoodByEarlierBuilds) {
  using Json = nlohmann::json;
  const ServerChange Removal{{3, 6}, "e", {}, LastWrite{Engine.Started, 42}};
  const std::string Bytes = encodeStoreUpdate(
      {"g1", {{3, 5}, {3, 6}, milliseconds(0), {Removal}}, {}});
  Json Update = Json::from_cbor(Bytes);
  Json &Change = Update.at(4).at(0);
  LONGS_EQUAL(6, Change.at(0).get<uint64_t>());
  STRCMP_EQUAL("e", Change.at(1).get<std::string>().c_str());
  CHECK(Change.at(2).is_null());
  Change.erase(3);
  const std::vector<uint8_t> Earlier = Json::to_cbor(Update);
  const auto Decoded =
      decodeStoreUpdate(std::string(Earlier.begin(), Earlier.end()));
  CHECK(Decoded.has_value());
  CHECK(Decoded.value().Servers.Changes ==
        std::vector<ServerChange>({{{3, 6}, "e", {}}}));
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
