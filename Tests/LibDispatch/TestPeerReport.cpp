//===- TestPeerReport.cpp - Periodic report of a gateway to its peers -----===//
//
// Covers a round trip and invalid input.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PeerReport.h"

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

TEST(PeerReport, RejectsInvalidInput) {
  for (const char *Bytes : {"", "x", "\x83\x01\x02\x03", "\xa1"})
    CHECK(!decodePeerReport(Bytes).has_value());
}
