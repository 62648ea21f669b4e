//===- Authentication.cpp - Tenant of a request ---------------------------===//
//
// See Authentication.h.
//
//===----------------------------------------------------------------------===//

#include "LibTenant/Authentication.h"

namespace figlift::tenant {

Authentication authenticate(const TenantTable *Tenants, Access RouteAccess,
                            const Credential &Presented) {
  if (!Tenants || RouteAccess == Access::Public)
    return Anonymous{};
  if (Presented.Fields == 0)
    return Unauthenticated{"no API key"};
  // Proxies disagree on which of two fields counts.
  if (Presented.Fields > 1)
    return Unauthenticated{"more than one API key"};
  if (const Tenant *Holder = Tenants->find(Presented.Key))
    return Authenticated{Holder};
  return Unauthenticated{"unknown API key"};
}

} // namespace figlift::tenant
