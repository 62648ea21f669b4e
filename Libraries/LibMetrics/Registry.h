//===- Registry.h - Metrics of one process ----------------------*- C++ -*-===//
//
// Names the metrics of a process and prints them in Prometheus' text format
// for GET /metrics. Metrics are made once and kept by reference; the registry
// is not asked on the path of a request.
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

/// {"code", "201"} and the like. Values come from bounded sets, never from a
/// request: each new value costs memory for good.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Members may be called from any thread. Asking again for the same name and
/// labels gives the same metric; \p Help counts the first time. References
/// stay valid as long as the registry.
class Registry {
public:
  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &Which = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &Which = {});
  Summary &summary(const std::string &Name, const std::string &Help,
                   const Labels &Which = {});

  using Reader = std::function<double()>;
  /// A number that is read when the metrics are printed; \p Read must not
  /// call the registry.
  void readCounter(const std::string &Name, const std::string &Help,
                   Reader Read, const Labels &Which = {});
  void readGauge(const std::string &Name, const std::string &Help, Reader Read,
                 const Labels &Which = {});

  /// Text exposition format 0.0.4; see PrometheusContentType.
  std::string prometheusText() const;

private:
  using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                              std::unique_ptr<Summary>, Reader>;
  struct Family {
    std::string Help;
    std::string Type;
    /// Keyed by the printed labels.
    std::map<std::string, Metric> Members;
  };

  template <typename T>
  T &find(const std::string &Name, const std::string &Help,
          std::string_view Type, const Labels &Which);
  void setReader(const std::string &Name, const std::string &Help,
                 std::string_view Type, Reader Read, const Labels &Which);

  mutable std::mutex m_Mutex;
  std::map<std::string, Family> m_Families;
};

inline constexpr const char *PrometheusContentType =
    "text/plain; version=0.0.4; charset=utf-8";

} // namespace figlift::metrics
