//===- Registry.h - Metrics of one process ----------------------*- C++ -*-===//
//
// Holds the metrics of a process by name and formats them as Prometheus text
// for GET /metrics. Metrics are created once and used by reference; requests do
// not access the registry.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMetrics/Metric.h"
#include "LibMetrics/Summary.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace figlift::metrics {

/// Label names and values, such as {"code", "201"}. Values must come from
/// bounded sets, never from requests, because every new value occupies memory
/// permanently.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Members may be called from any thread. The same name and labels always
/// return the same metric; \p Help is taken from the first call. References are
/// valid as long as the registry exists.
class Registry {
public:
  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &MetricLabels = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &MetricLabels = {});
  Summary &summary(const std::string &Name, const std::string &Help,
                   const Labels &MetricLabels = {});

  using Reader = std::function<double()>;
  /// Registers a metric whose value is read by \p Read when the metrics are
  /// formatted; \p Read must not call the registry.
  void registerCounter(const std::string &Name, const std::string &Help,
                       Reader Read, const Labels &MetricLabels = {});
  void registerGauge(const std::string &Name, const std::string &Help,
                     Reader Read, const Labels &MetricLabels = {});

  /// Text exposition format 0.0.4; see PrometheusContentType.
  std::string prometheusText() const;

private:
  using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                              std::unique_ptr<Summary>, Reader>;
  struct Family {
    std::string Help;
    std::string Type;
    /// Keyed by the formatted labels.
    std::map<std::string, Metric> Members;
  };

  template <typename T>
  T &find(const std::string &Name, const std::string &Help,
          std::string_view Type, const Labels &MetricLabels);
  void setReader(const std::string &Name, const std::string &Help,
                 std::string_view Type, Reader Read,
                 const Labels &MetricLabels);

  mutable std::mutex m_Mutex;
  std::map<std::string, Family> m_Families;
};

inline constexpr const char *PrometheusContentType =
    "text/plain; version=0.0.4; charset=utf-8";

} // namespace figlift::metrics
