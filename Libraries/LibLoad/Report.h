//===- Report.h - What became of the requests -------------------*- C++ -*-===//
//
// Pure: collects the outcome of every request and works out goodput, refusals
// and latencies for each workload and workspace.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figlift::load {

enum class Ending {
  /// The whole answer came within the deadline.
  Good,
  /// The whole answer came, but late.
  Late,
  /// Refused, and nothing was run.
  Refused,
  /// Refused after at least half of the deadline had passed.
  RefusedLate,
  /// The answer began and broke off, or the connection was lost.
  Broken,
  /// The answer said that its outcome is unknown.
  Unknown,
};

struct Outcome {
  std::string Workload;
  std::string Workspace;
  Ending End = Ending::Broken;
  /// Numbered result code of a refusal; 0 when there was none.
  int Code = 0;
  uint32_t Tokens = 0;
  std::chrono::microseconds FirstToken{0};
  std::chrono::microseconds Total{0};
  /// Longest pause between two chunks of the answer.
  std::chrono::microseconds LongestGap{0};
  /// Mean time between tokens after the first.
  std::chrono::microseconds MeanGap{0};
};

/// \p Quantile from 0 to 1 of \p Values; zero when there are none.
std::chrono::microseconds
quantile(std::vector<std::chrono::microseconds> Values, double Quantile);

class Report {
public:
  void add(const Outcome &One) { m_Outcomes.push_back(One); }
  const std::vector<Outcome> &outcomes() const { return m_Outcomes; }
  /// JSON object with a member for all requests, one for each workload and the
  /// share of good answers of each workspace.
  std::string toJson(std::chrono::milliseconds Duration) const;
  /// The same as a table for a person.
  std::string toTable(std::chrono::milliseconds Duration) const;

private:
  std::vector<Outcome> m_Outcomes;
};

} // namespace figlift::load
