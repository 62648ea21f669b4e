//===- Authentication.h - Tenant of a request -------------------*- C++ -*-===//
//
// Decides which tenant a request belongs to, from the API key that it presents.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTenant/TenantTable.h"

#include <string>
#include <string_view>
#include <variant>

namespace figlift::tenant {

/// API key that a request presents.
struct Credential {
  /// Number of credential fields in the request; only one is valid.
  size_t Fields = 0;
  /// Value of the first of them.
  std::string Key;
};

/// Whether requests on a route have to present an API key.
enum class Access { Public, Tenants };

/// \name Outcomes.
/// @{
/// The request belongs to no tenant.
struct Anonymous {};
struct Authenticated {
  /// Owned by the TenantTable.
  const Tenant *Holder = nullptr;
};
struct Unauthenticated {
  /// For the caller and the log; contains no part of the key.
  std::string_view Reason;
};
/// @}
using Authentication = std::variant<Anonymous, Authenticated, Unauthenticated>;

/// \p Tenants is null if the configuration has no tenants: all requests are
/// anonymous then.
Authentication authenticate(const TenantTable *Tenants, Access RouteAccess,
                            const Credential &Presented);

} // namespace figlift::tenant
