//===- Report.h - Outcomes of the requests of a load run --------*- C++ -*-===//
//
// Collects the outcome of every request and computes goodput, rejections and
// latencies for each workload and workspace. Performs no I/O.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figlift::load {

enum class OutcomeKind {
  /// The complete response arrived within the deadline.
  Good,
  /// The complete response arrived after the deadline.
  Late,
  /// Rejected, and nothing was executed.
  Rejected,
  /// Rejected after at least half of the deadline had passed.
  RejectedLate,
  /// The response was interrupted, or the connection was lost.
  Interrupted,
  /// An error response that does not state that nothing was executed.
  Unknown,
};

struct Outcome {
  std::string Workload;
  std::string Workspace;
  OutcomeKind Kind = OutcomeKind::Interrupted;
  /// Result code of an error response; 0 if there was none.
  int Code = 0;
  uint32_t Tokens = 0;
  std::chrono::microseconds FirstToken{0};
  std::chrono::microseconds Total{0};
  /// Longest interval between two chunks of the response.
  std::chrono::microseconds LongestGap{0};
  /// Mean time between tokens after the first.
  std::chrono::microseconds MeanGap{0};
};

/// Returns the \p Quantile, from 0 to 1, of \p Values, or zero if there are no
/// values.
std::chrono::microseconds
quantile(std::vector<std::chrono::microseconds> Values, double Quantile);

class Report {
public:
  void add(const Outcome &Result) { m_Outcomes.push_back(Result); }
  const std::vector<Outcome> &outcomes() const { return m_Outcomes; }
  /// JSON object with the metrics of all requests and of each workload, and the
  /// fraction of good responses of each workspace.
  std::string toJson(std::chrono::milliseconds Duration) const;
  /// The metrics of all requests and of each workload as a text table.
  std::string toTable(std::chrono::milliseconds Duration) const;

private:
  std::vector<Outcome> m_Outcomes;
};

} // namespace figlift::load
