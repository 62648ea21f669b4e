//===- TenantTable.h - Tenants and their API keys ---------------*- C++ -*-===//
//
// The tenants of one version of the configuration. API keys are kept as keyed
// hashes only: neither a memory dump nor the time of a lookup reveals one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figlift::tenant {

/// API keys are at most this long, in bytes.
inline constexpr size_t MaximumKeyLength = 4096;

struct Tenant {
  std::string Name;
  /// Takes precedence over the priority of a route; 0 is the most urgent.
  std::optional<unsigned> Priority;
};

/// Lookups take the same time for any number of keys.
class TenantTable {
public:
  TenantTable();

  /// Fails with RecordInvalid if a tenant of this name was added before, a key
  /// is empty or too long, or belongs to another tenant. The message does not
  /// contain the key. A tenant without keys is valid.
  Result<void> add(Tenant Entry, const std::vector<std::string> &Keys);

  /// The tenant that holds \p Key, or null.
  const Tenant *find(std::string_view Key) const;

  const std::vector<Tenant> &tenants() const { return m_Tenants; }
  size_t tenantCount() const { return m_Tenants.size(); }
  size_t keyCount() const { return m_Keys.size(); }

private:
  using KeyHash = std::array<uint8_t, 32>;
  struct Entry {
    KeyHash Hash{};
    /// Index into m_Tenants.
    uint32_t Tenant = 0;
  };

  KeyHash hashOf(std::string_view Key) const;
  const Entry *findEntry(const KeyHash &Hash) const;

  /// Drawn anew for each table, so that a hash is of no use elsewhere.
  std::array<uint8_t, 32> m_HashKey{};
  std::vector<Tenant> m_Tenants;
  std::unordered_map<std::string, uint32_t> m_ByName;
  /// By the first eight bytes of the hash.
  std::unordered_multimap<uint64_t, Entry> m_Keys;
};

} // namespace figlift::tenant
