//===- Report.cpp - Outcomes of the requests of a load run ----------------===//
//
// Quantiles are exact: a run has at most a few hundred thousand outcomes, and
// an estimation error would distort comparisons between runs.
//
//===----------------------------------------------------------------------===//

#include "LibLoad/Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

using namespace figlift::load;
using nlohmann::json;
using std::chrono::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr size_t OutcomeKindCount = 6;
constexpr std::array<const char *, OutcomeKindCount> OutcomeKindNames = {
    "good", "late", "refused", "refusedLate", "broken", "unknown"};

double inMilliseconds(microseconds Value) {
  return duration<double, std::milli>(Value).count();
}

/// Metrics of one group of outcomes.
struct Group {
  std::array<size_t, OutcomeKindCount> CountByKind{};
  uint64_t UsefulTokens = 0;
  std::map<int, size_t> Codes;
  std::vector<microseconds> FirstToken;
  std::vector<microseconds> MeanGap;
  std::vector<microseconds> Total;

  void add(const Outcome &Result);
  size_t offered() const;
  json toJson(milliseconds Duration) const;
};

void Group::add(const Outcome &Result) {
  ++CountByKind[static_cast<size_t>(Result.Kind)];
  if (Result.Code != 0)
    ++Codes[Result.Code];
  if (Result.Kind != OutcomeKind::Good && Result.Kind != OutcomeKind::Late)
    return;
  if (Result.Kind == OutcomeKind::Good)
    UsefulTokens += Result.Tokens;
  FirstToken.push_back(Result.FirstToken);
  Total.push_back(Result.Total);
  if (Result.Tokens > 1)
    MeanGap.push_back(Result.MeanGap);
}

size_t Group::offered() const {
  size_t Sum = 0;
  for (size_t Count : CountByKind)
    Sum += Count;
  return Sum;
}

json Group::toJson(milliseconds Duration) const {
  const double Seconds = duration<double>(Duration).count();
  json Metrics{{"offered", offered()},
               {"goodput", CountByKind[0] / Seconds},
               {"usefulTokensPerSecond", UsefulTokens / Seconds}};
  for (size_t I = 0; I < OutcomeKindCount; ++I)
    Metrics[OutcomeKindNames[I]] = CountByKind[I];
  const std::pair<const char *, const std::vector<microseconds> *> Series[] = {
      {"firstToken", &FirstToken},
      {"betweenTokens", &MeanGap},
      {"total", &Total}};
  for (const auto &[Name, Values] : Series)
    Metrics[Name] = {{"p50ms", inMilliseconds(quantile(*Values, 0.5))},
                     {"p95ms", inMilliseconds(quantile(*Values, 0.95))},
                     {"p99ms", inMilliseconds(quantile(*Values, 0.99))}};
  for (const auto &[Code, Count] : Codes)
    Metrics["codes"][std::to_string(Code)] = Count;
  return Metrics;
}

} // namespace

microseconds figlift::load::quantile(std::vector<microseconds> Values,
                                     double Quantile) {
  if (Values.empty())
    return microseconds{0};
  size_t Rank = static_cast<size_t>(std::ceil(Quantile * Values.size()));
  size_t Index = std::clamp<size_t>(Rank, 1, Values.size()) - 1;
  const auto Selected = Values.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Values.begin(), Selected, Values.end());
  return *Selected;
}

std::string Report::toJson(milliseconds Duration) const {
  Group All;
  std::map<std::string, Group> Workloads;
  std::map<std::string, Group> Workspaces;
  for (const Outcome &Result : m_Outcomes) {
    All.add(Result);
    Workloads[Result.Workload].add(Result);
    if (!Result.Workspace.empty())
      Workspaces[Result.Workspace].add(Result);
  }
  json Metrics{{"all", All.toJson(Duration)}};
  for (const auto &[Name, Members] : Workloads)
    Metrics["workloads"][Name] = Members.toJson(Duration);
  for (const auto &[Name, Members] : Workspaces)
    Metrics["workspaces"][Name] = {
        {"offered", Members.offered()},
        {"goodShare",
         static_cast<double>(Members.CountByKind[0]) / Members.offered()}};
  return Metrics.dump(2);
}

std::string Report::toTable(milliseconds Duration) const {
  json Metrics = json::parse(toJson(Duration));
  std::string Text = "workload              offered   good  late  refused"
                     "  broken  unknown  good/s   tokens/s  ttft p95 ms"
                     "  gap p95 ms\n";
  auto AddLine = [&](const std::string &Name, const json &Values) {
    char Line[256];
    std::snprintf(Line, sizeof(Line),
                  "%-20s %8d %6d %5d %8d %7d %8d %7.1f %10.1f %12.2f %11.2f\n",
                  Name.c_str(), Values["offered"].get<int>(),
                  Values["good"].get<int>(), Values["late"].get<int>(),
                  Values["refused"].get<int>() +
                      Values["refusedLate"].get<int>(),
                  Values["broken"].get<int>(), Values["unknown"].get<int>(),
                  Values["goodput"].get<double>(),
                  Values["usefulTokensPerSecond"].get<double>(),
                  Values["firstToken"]["p95ms"].get<double>(),
                  Values["betweenTokens"]["p95ms"].get<double>());
    Text += Line;
  };
  if (Metrics.contains("workloads"))
    for (const auto &[Name, Values] : Metrics["workloads"].items())
      AddLine(Name, Values);
  AddLine("all", Metrics["all"]);
  return Text;
}
