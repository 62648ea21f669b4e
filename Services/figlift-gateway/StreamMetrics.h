//===- StreamMetrics.h - Metrics of pauses between events -------*- C++ -*-===//
//
// Counts streams that were late by a pause and orders for exchanges of stages,
// and shows the longest pause that is expected at decode engines.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/StreamPaces.h"
#include "LibDispatch/Target.h"
#include "LibMetrics/Registry.h"

#include <algorithm>
#include <span>
#include <string>
#include <vector>

namespace figlift::gateway {

class StreamMetrics {
public:
  explicit StreamMetrics(metrics::Registry &Metrics) : m_Metrics(Metrics) {}

  /// A stream had a longer pause than its route allows.
  void recordLatePause(bool IsOwnDelay) {
    (IsOwnDelay ? m_LateByOwnDelay : m_LateByServer).add();
  }
  /// An order was sent that is part of an exchange of stages.
  void recordExchangeOrder(const std::string &Service) {
    m_Metrics
        .counter("figlift_gateway_exchange_orders_total",
                 "Changes of stages ordered to put faster engines into decode",
                 {{"service", Service}})
        .add();
  }

  /// Longest pause that streams are expected to have at the decode engine at
  /// \p Quantile of those that are known, in seconds; 0 if none is known.
  static double expectedPause(const std::string &Service,
                              std::span<const dispatch::Target *const> Engines,
                              const dispatch::StreamPaces &Paces,
                              double Quantile, BootTime Now) {
    std::vector<double> Pauses;
    for (const dispatch::Target *Engine : Engines)
      if (Engine->EngineStage == dispatch::Stage::Decode)
        if (const auto Pause =
                Paces.expectedLongestPause(Service, Engine->Id, Now))
          Pauses.push_back(Pause->count() / 1000);
    if (Pauses.empty())
      return 0;
    std::sort(Pauses.begin(), Pauses.end());
    return Pauses[static_cast<size_t>(Quantile *
                                      static_cast<double>(Pauses.size() - 1))];
  }

private:
  metrics::Counter &latePauses(const std::string &IsOwnDelay) {
    return m_Metrics.counter(
        "figlift_gateway_late_pauses_total",
        "Streams with a longer pause than their route allows, by whether this "
        "process was itself late during it",
        {{"own_delay", IsOwnDelay}});
  }

  metrics::Registry &m_Metrics;
  metrics::Counter &m_LateByOwnDelay = latePauses("true");
  metrics::Counter &m_LateByServer = latePauses("false");
};

} // namespace figlift::gateway
