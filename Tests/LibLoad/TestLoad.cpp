//===- TestLoad.cpp - Experiments, schedules and reports ------------------===//
//
// A comparison of two configurations is valid only if both receive the same
// load and the results are computed in the same way.
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

TEST(Load, SameSeedGeneratesSameRequests) {
  Experiment Definition = parseExperiment(Sample).value();
  std::vector<Arrival> First = makeSchedule(Definition, 7);
  std::vector<Arrival> Second = makeSchedule(Definition, 7);
  CHECK_EQUAL(First.size(), Second.size());
  CHECK_TRUE(First.back().Nonce == Second.back().Nonce);
  CHECK_FALSE(First.back().Nonce == makeSchedule(Definition, 8).back().Nonce);
}

TEST(Load, RampMatchesIntegralOfItsRate) {
  std::vector<Arrival> Arrivals =
      makeSchedule(parseExperiment(Sample).value(), 1);
  size_t Matches = 0;
  size_t InFirstHalf = 0;
  for (const Arrival &Request : Arrivals) {
    bool IsMatch = Request.Workload == "match";
    Matches += IsMatch;
    InFirstHalf += IsMatch && Request.Offset < 10s;
  }
  // A rate that falls from 50/s to 0 in 20 s gives 500 requests, three quarters
  // of them in the first half. The bounds are five standard deviations.
  CHECK_TRUE(Matches > 388 && Matches < 612);
  CHECK_TRUE(InFirstHalf > Matches * 65 / 100);
}

TEST(Load, PromptsShareOnlyTheirPrefix) {
  CompletionWork Work;
  Work.SharedPrefixTokens = 50;
  Arrival Original;
  Original.PromptTokens = 100;
  Original.Nonce = 1;
  Arrival Other = Original;
  Other.Nonce = 2;
  std::string First = makePrompt(Original, Work);
  std::string Second = makePrompt(Other, Work);
  CHECK_EQUAL(400, First.size());
  CHECK_EQUAL(First.substr(0, 200), Second.substr(0, 200));
  CHECK_FALSE(First.substr(200) == Second.substr(200));
}

TEST(Load, NamesInvalidField) {
  const std::pair<const char *, const char *> Cases[] = {
      {R"({"sed": 1})", "experiment.sed"},
      {R"({"workloads": {"a": {"model": 3}}})", "workloads.a.model"},
      {R"({"workloads": {"a": {"model": "m", "promptTokens": [9, 2]}}})",
       "workloads.a.promptTokens"},
      {R"({"phases": [{"rates": {"x": 1}}]})", "phases[0].rates.x"},
      {R"({"phases": []})", "phases"}};
  for (const auto &[Json, Field] : Cases) {
    Result<Experiment> Parsed = parseExperiment(Json);
    CHECK_TRUE(Parsed.has_error());
    STRCMP_EQUAL(Field, Parsed.error().Field.c_str());
  }
}

TEST(Load, GoodputCountsOnlyCompleteResponsesInTime) {
  Report Results;
  for (OutcomeKind Kind :
       {OutcomeKind::Good, OutcomeKind::Late, OutcomeKind::Rejected,
        OutcomeKind::Interrupted, OutcomeKind::Unknown, OutcomeKind::Good}) {
    Outcome Result;
    Result.Workload = "match";
    Result.Kind = Kind;
    Result.Tokens = 10;
    Results.add(Result);
  }
  auto All = nlohmann::json::parse(Results.toJson(2s))["all"];
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
