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

// Failure: the report of a gateway with hundreds of engines exceeds a datagram
// and is not sent, and its peers take the gateway for dead.
TEST(PeerReport, LeavesOutWhatIsLeastNeeded) {
  constexpr size_t Engines = 400;
  PeerReport Report;
  Report.Sender = "g1";
  for (size_t I = 0; I < Engines; ++I) {
    const std::string Id = std::to_string(I) + std::string(200, 'x');
    Report.Loads.push_back({Id, Milliseconds(static_cast<double>(I)), 3});
    Report.Cached.push_back({Id, {I, 8}, std::chrono::milliseconds(5)});
    Report.Unavailable.push_back({"u", std::chrono::milliseconds(5)});
  }
  Report.Engines = {{"s", {}}};
  Report.Demands = {{"s", {1.5, 2.5}}};
  PeerReport Sent = Report;
  const size_t LeftOut = fitIntoDatagram(Sent);
  const std::string Bytes = encodePeerReport(Sent);
  CHECK(Bytes.size() <= MaximumReportBytes);
  CHECK(Bytes.size() > MaximumReportBytes - 500);
  const PeerReport Received = decodePeerReport(Bytes).value();
  LONGS_EQUAL(0, Received.Engines.size() + Received.Cached.size());
  LONGS_EQUAL(Engines, Received.Unavailable.size());
  LONGS_EQUAL(1, Received.Demands.size());
  LONGS_EQUAL(1 + Engines + Engines - Received.Loads.size(), LeftOut);
  for (const PeerLoad &Load : Received.Loads)
    CHECK(Load.Cost.count() >=
          static_cast<double>(Engines - Received.Loads.size()));
  // A report that fits is left as it is.
  Report.Loads.resize(10);
  Report.Cached.resize(10);
  LONGS_EQUAL(0, fitIntoDatagram(Report));
  LONGS_EQUAL(10, Report.Cached.size());
}

TEST(PeerReport, RejectsInvalidInput) {
  for (const char *Bytes : {"", "x", "\x83\x01\x02\x03", "\xa1"})
    CHECK(!decodePeerReport(Bytes).has_value());
}
