//===- TenantMetrics.cpp - Metrics of tenants -----------------------------===//
//
// See TenantMetrics.h.
//
//===----------------------------------------------------------------------===//

#include "TenantMetrics.h"

namespace figlift::gateway {

void TenantMetrics::recordAuthenticated(const std::string &Tenant) {
  auto Found = m_Requests.find(Tenant);
  if (Found == m_Requests.end()) {
    if (m_Requests.size() >= MaximumTenants)
      return m_Others.add();
    Found = m_Requests.emplace(Tenant, &counterOf(Tenant)).first;
  }
  Found->second->add();
}

} // namespace figlift::gateway
