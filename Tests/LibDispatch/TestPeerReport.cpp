//===- TestPeerReport.cpp - Periodic report of a gateway to its peers -----===//
//
// Covers a round trip and invalid input.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PeerReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;

TEST_GROUP(PeerReport){};

TEST(PeerReport, RoundTrips) {
  engine::EngineParameters Figures;
  Figures.PrefillPerThousandTokens = Milliseconds(27.2);
  Figures.DecodeStartWeight = 12;
  const PeerReport Sent{
      "g1",
      {{"e", Milliseconds(12.34), 3, 0.25, Milliseconds(5.5)}},
      {{"e", {0xffffffffffffffffULL, 7}, std::chrono::milliseconds(250)}},
      {{"s", {1.5, 2.5}}},
      {{"f", std::chrono::milliseconds(900)}},
      {{"s", Figures}},
      {{{"t", StartTime(std::chrono::milliseconds(5))},
        2.5,
        std::chrono::milliseconds(7)},
       {{"u", std::nullopt}, std::nullopt, std::chrono::milliseconds(8)}}};
  const auto Decoded = decodePeerReport(encodePeerReport(Sent));
  CHECK(Decoded.has_value());
  STRCMP_EQUAL("g1", Decoded.value().Sender.c_str());
  DOUBLES_EQUAL(12.34, Decoded.value().Loads[0].Cost.count(), 0.01);
  LONGS_EQUAL(3, Decoded.value().Loads[0].Items);
  DOUBLES_EQUAL(0.25, Decoded.value().Loads[0].CompletionRate, 0);
  CHECK(Decoded.value().Cached[0].Part ==
        (PromptPart{0xffffffffffffffffULL, 7}));
  LONGS_EQUAL(250, Decoded.value().Cached[0].Within.count());
  DOUBLES_EQUAL(2.5, Decoded.value().Demands[0].Demand.Decode, 0);
  LONGS_EQUAL(900, Decoded.value().Unavailable[0].Remaining.count());
  DOUBLES_EQUAL(5.5, Decoded.value().Loads[0].PrefillCost.count(), 0.01);
  STRCMP_EQUAL("s", Decoded.value().Engines[0].Service.c_str());
  const engine::EngineParameters &DecodedFigures =
      Decoded.value().Engines[0].Figures;
  DOUBLES_EQUAL(27.2, DecodedFigures.PrefillPerThousandTokens.count(), 0.001);
  DOUBLES_EQUAL(12, DecodedFigures.DecodeStartWeight, 0.001);
  CHECK(Decoded.value().Limits[0].Server == Sent.Limits[0].Server);
  DOUBLES_EQUAL(2.5, *Decoded.value().Limits[0].PerSecond, 0);
  LONGS_EQUAL(7, Decoded.value().Limits[0].Age.count());
  CHECK(!Decoded.value().Limits[1].PerSecond);
}

TEST(PeerReport, CarriesClockAndUsageOnlyWhenSet) {
  PeerReport Sent;
  Sent.Sender = "g1";
  CHECK(!decodePeerReport(encodePeerReport(Sent)).value().Clock);
  Sent.Clock = WallTime(std::chrono::milliseconds(1790000000123));
  CHECK(!decodePeerReport(encodePeerReport(Sent)).value().UsageSettledThrough);
  Sent.UsageSettledThrough = 355936210;
  const auto Decoded = decodePeerReport(encodePeerReport(Sent));
  CHECK(Decoded.value().Clock == Sent.Clock);
  CHECK(Decoded.value().UsageSettledThrough == Sent.UsageSettledThrough);
}

// Failure: an earlier version of the program cannot read the reports of this
// one, or this one not those of the earlier version, while both run.
TEST(PeerReport, CarriesPrioritiesAtTheEndOfARow) {
  PeerReport Sent;
  Sent.Sender = "g1";
  Sent.Loads = {{"e", Milliseconds(12), 3, 0.25, Milliseconds(5.5)}};
  const std::string Before = encodePeerReport(Sent);
  CHECK(decodePeerReport(Before).value().Loads[0].ByPriority.empty());
  Sent.Loads[0].ByPriority = {{1, 2, Milliseconds(5.5)}, {6, 1, {}}};
  const std::string After = encodePeerReport(Sent);
  const auto Rows = nlohmann::json::from_cbor(After).at(1);
  LONGS_EQUAL(6, Rows.at(0).size());
  CHECK(std::equal(Rows.at(0).begin(), Rows.at(0).begin() + 5,
                   nlohmann::json::from_cbor(Before).at(1).at(0).begin()));
  const PeerLoad Load = decodePeerReport(After).value().Loads.at(0);
  LONGS_EQUAL(2, Load.ByPriority.size());
  LONGS_EQUAL(1, Load.ByPriority[0].Priority);
  LONGS_EQUAL(2, Load.ByPriority[0].Items);
  DOUBLES_EQUAL(5.5, Load.ByPriority[0].PrefillCost.count(), 0.01);
  LONGS_EQUAL(6, Load.ByPriority[1].Priority);
}

TEST(PeerReport, RejectsInvalidInput) {
  for (const char *Bytes : {"", "x", "\x83\x01\x02\x03", "\xa1"})
    CHECK(!decodePeerReport(Bytes).has_value());
}
