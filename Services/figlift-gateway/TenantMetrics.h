//===- TenantMetrics.h - Metrics of tenants ---------------------*- C++ -*-===//
//
// Counts requests by tenant. Operators may configure thousands of tenants, and
// every label value occupies memory permanently, so only the first ones that
// are seen have a label of their own.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibMetrics/Registry.h"

#include <map>
#include <string>

namespace figlift::gateway {

class TenantMetrics {
public:
  explicit TenantMetrics(metrics::Registry &Metrics) : m_Metrics(Metrics) {}

  /// A request presented a valid API key of \p Tenant.
  void recordAuthenticated(const std::string &Tenant);
  /// A request presented no valid API key.
  void recordRejected() { m_Rejected.add(); }

private:
  static constexpr size_t MaximumTenants = 100;

  metrics::Counter &counterOf(const std::string &Tenant) {
    return m_Metrics.counter("figlift_gateway_tenant_requests_total",
                             "Requests with a valid API key, by tenant",
                             {{"tenant", Tenant}});
  }

  metrics::Registry &m_Metrics;
  metrics::Counter &m_Rejected = m_Metrics.counter(
      "figlift_gateway_unauthenticated_total",
      "Requests refused because they present no valid API key");
  std::map<std::string, metrics::Counter *> m_Requests;
  /// The tenants beyond MaximumTenants together.
  metrics::Counter &m_Others = counterOf("(others)");
};

} // namespace figlift::gateway
