//===- TestLoad.cpp - Experiments, schedules and reports ------------------===//
//
// A comparison of two arms is only worth something when both met the same
// load and the figures are worked out the same way.
//
//===----------------------------------------------------------------------===//

#include "LibLoad/Report.h"
#include "LibLoad/Schedule.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::load;
using namespace std::chrono_literals;

namespace {

const char *const Sample = R"({
  "workloads": {
    "match": {"model": "m", "promptTokens": [100, 200], "outputTokens": [1, 2],
              "sharedPrefixTokens": 50, "workspaces": ["a", "b"]},
    "hold": {"service": "booking", "path": "/slots", "keyed": true}},
  "phases": [{"durationMilliseconds": 20000, "rates": {"match": 50, "hold": 5},
              "endRates": {"match": 0, "hold": 5}}]
})";

} // namespace

TEST_GROUP(Load){};

TEST(Load, TheSameSeedGivesTheSameRequests) {
  Experiment What = parseExperiment(Sample).value();
  std::vector<Arrival> First = makeSchedule(What, 7);
  std::vector<Arrival> Second = makeSchedule(What, 7);
  CHECK_EQUAL(First.size(), Second.size());
  CHECK_TRUE(First.back().Nonce == Second.back().Nonce);
  CHECK_FALSE(First.back().Nonce == makeSchedule(What, 8).back().Nonce);
}

TEST(Load, ARampSendsTheAreaUnderItsLine) {
  std::vector<Arrival> All = makeSchedule(parseExperiment(Sample).value(), 1);
  size_t Matches = 0;
  size_t InFirstHalf = 0;
  for (const Arrival &Each : All) {
    bool IsMatch = Each.Workload == "match";
    Matches += IsMatch;
    InFirstHalf += IsMatch && Each.Offset < 10s;
  }
  // 50/s falling to 0 in 20 s is 500 requests, three quarters before the
  // middle; five standard deviations are allowed.
  CHECK_TRUE(Matches > 388 && Matches < 612);
  CHECK_TRUE(InFirstHalf > Matches * 65 / 100);
}

TEST(Load, PromptsShareOnlyTheirPrefix) {
  CompletionWork Work;
  Work.SharedPrefixTokens = 50;
  Arrival One;
  One.PromptTokens = 100;
  One.Nonce = 1;
  Arrival Other = One;
  Other.Nonce = 2;
  std::string First = makePrompt(One, Work);
  std::string Second = makePrompt(Other, Work);
  CHECK_EQUAL(400, First.size());
  CHECK_EQUAL(First.substr(0, 200), Second.substr(0, 200));
  CHECK_FALSE(First.substr(200) == Second.substr(200));
}

TEST(Load, AWrongFieldIsNamed) {
  const std::pair<const char *, const char *> Cases[] = {
      {R"({"sed": 1})", "experiment.sed"},
      {R"({"workloads": {"a": {"model": 3}}})", "workloads.a.model"},
      {R"({"workloads": {"a": {"model": "m", "promptTokens": [9, 2]}}})",
       "workloads.a.promptTokens"},
      {R"({"phases": [{"rates": {"x": 1}}]})", "phases[0].rates.x"},
      {R"({"phases": []})", "phases"}};
  for (const auto &[Json, Field] : Cases) {
    Result<Experiment> Read = parseExperiment(Json);
    CHECK_TRUE(Read.has_error());
    STRCMP_EQUAL(Field, Read.error().Field.c_str());
  }
}

TEST(Load, GoodputCountsOnlyWholeAnswersInTime) {
  Report Made;
  for (Ending Each : {Ending::Good, Ending::Late, Ending::Refused,
                      Ending::Broken, Ending::Unknown, Ending::Good}) {
    Outcome One;
    One.Workload = "match";
    One.End = Each;
    One.Tokens = 10;
    Made.add(One);
  }
  auto All = nlohmann::json::parse(Made.toJson(2s))["all"];
  DOUBLES_EQUAL(1.0, All["goodput"].get<double>(), 1e-9);
  DOUBLES_EQUAL(10.0, All["usefulTokensPerSecond"].get<double>(), 1e-9);
  CHECK_EQUAL(6, All["offered"].get<int>());
}

TEST(Load, QuantilesAreExact) {
  std::vector<std::chrono::microseconds> Values;
  for (int Value = 100; Value >= 1; --Value)
    Values.emplace_back(Value);
  CHECK_EQUAL(50, quantile(Values, 0.5).count());
  CHECK_EQUAL(95, quantile(Values, 0.95).count());
  CHECK_EQUAL(100, quantile(Values, 1).count());
  CHECK_EQUAL(0, quantile({}, 0.5).count());
}
