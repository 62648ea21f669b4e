//===- TestPeerReport.cpp - What gateways tell each other -----------------===//
//
// There and back, and bytes that are no report.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/PeerReport.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::dispatch;

TEST_GROUP(PeerReport){};

TEST(PeerReport, ComesBackAsItWas) {
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
  const auto Read = decodePeerReport(encodePeerReport(Sent));
  CHECK(Read.has_value());
  STRCMP_EQUAL("g1", Read.value().From.c_str());
  DOUBLES_EQUAL(12.34, Read.value().Loads[0].Cost.count(), 0.01);
  LONGS_EQUAL(3, Read.value().Loads[0].Items);
  DOUBLES_EQUAL(0.25, Read.value().Loads[0].CompletionRate, 0);
  CHECK(Read.value().Cached[0].Part == (PromptPart{0xffffffffffffffffULL, 7}));
  LONGS_EQUAL(250, Read.value().Cached[0].Within.count());
  DOUBLES_EQUAL(2.5, Read.value().Demands[0].Demand.Decode, 0);
  LONGS_EQUAL(900, Read.value().Away[0].Left.count());
  DOUBLES_EQUAL(5.5, Read.value().Loads[0].PrefillCost.count(), 0.01);
  STRCMP_EQUAL("s", Read.value().Engines[0].Service.c_str());
  const engine::EngineParameters &Told = Read.value().Engines[0].Figures;
  DOUBLES_EQUAL(27.2, Told.PrefillPerThousandTokens.count(), 0.001);
  DOUBLES_EQUAL(12, Told.DecodeStartWeight, 0.001);
  CHECK(Read.value().Limits[0].Server == Sent.Limits[0].Server);
  DOUBLES_EQUAL(2.5, *Read.value().Limits[0].PerSecond, 0);
  LONGS_EQUAL(7, Read.value().Limits[0].Age.count());
  CHECK(!Read.value().Limits[1].PerSecond);
}

TEST(PeerReport, RefusesOtherBytes) {
  for (const char *Bytes : {"", "x", "\x83\x01\x02\x03", "\xa1"})
    CHECK(!decodePeerReport(Bytes).has_value());
}
