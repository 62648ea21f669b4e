//===- StopMetrics.h - Requests that end while a process stops --*- C++ -*-===//
//
// A planned stop that costs callers something shows here: what became of the
// requests that were in progress at SIGTERM or came after it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMetrics/Registry.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace figlift::gateway {

/// A request that ended after SIGTERM.
struct EndWhileStopping {
  /// As in the log, or "given-up" if the process did not wait for its answer
  /// any longer.
  std::string_view Outcome;
  bool CameAfterSigterm = false;
  bool IsRepeatable = false;
};

class StopMetrics {
public:
  static constexpr std::string_view GivenUp = "given-up";

  explicit StopMetrics(metrics::Registry &Metrics) : m_Metrics(Metrics) {}

  void record(const EndWhileStopping &End) {
    if (End.Outcome == GivenUp)
      ++(End.CameAfterSigterm ? m_GivenUpOfLater : m_GivenUpOfEarlier);
    m_Metrics
        .counter("figlift_gateway_requests_ended_while_stopping_total",
                 "Requests that ended after SIGTERM, by whether they had come "
                 "before it",
                 {{"came", End.CameAfterSigterm ? "after" : "before"},
                  {"repeatable", End.IsRepeatable ? "yes" : "no"},
                  {"outcome", std::string(End.Outcome)}})
        .add();
  }
  /// \name Requests that had no answer when the process ended, by when they
  /// came.
  /// @{
  uint64_t givenUpOfEarlier() const { return m_GivenUpOfEarlier; }
  uint64_t givenUpOfLater() const { return m_GivenUpOfLater; }
  /// @}

private:
  metrics::Registry &m_Metrics;
  uint64_t m_GivenUpOfEarlier = 0;
  uint64_t m_GivenUpOfLater = 0;
};

} // namespace figlift::gateway
