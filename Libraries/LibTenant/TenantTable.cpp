//===- TenantTable.cpp - Tenants and their API keys -----------------------===//
//
// BLAKE2b with a random key. Candidates are found by the start of their hash
// and compared in constant time.
//
//===----------------------------------------------------------------------===//

#include "LibTenant/TenantTable.h"

#include <sodium.h>

#include <cstring>

namespace figlift::tenant {

namespace {

uint64_t bucketOf(const std::array<uint8_t, 32> &Hash) {
  uint64_t Bucket = 0;
  std::memcpy(&Bucket, Hash.data(), sizeof(Bucket));
  return Bucket;
}

} // namespace

TenantTable::TenantTable() {
  randombytes_buf(m_HashKey.data(), m_HashKey.size());
}

TenantTable::KeyHash TenantTable::hashOf(std::string_view Key) const {
  KeyHash Hash;
  crypto_generichash(Hash.data(), Hash.size(),
                     reinterpret_cast<const uint8_t *>(Key.data()), Key.size(),
                     m_HashKey.data(), m_HashKey.size());
  return Hash;
}

const TenantTable::Entry *TenantTable::findEntry(const KeyHash &Hash) const {
  const auto [First, Last] = m_Keys.equal_range(bucketOf(Hash));
  for (auto Candidate = First; Candidate != Last; ++Candidate)
    if (sodium_memcmp(Candidate->second.Hash.data(), Hash.data(),
                      Hash.size()) == 0)
      return &Candidate->second;
  return nullptr;
}

Result<void> TenantTable::add(Tenant Added,
                              const std::vector<std::string> &Keys) {
  if (Added.Name.empty())
    return failure(ResultCode::RecordInvalid, "the name is empty", "name");
  const auto Index = static_cast<uint32_t>(m_Tenants.size());
  if (!m_ByName.try_emplace(Added.Name, Index).second)
    return failure(ResultCode::RecordInvalid,
                   "two tenants have the name \"" + Added.Name + "\"", "name");
  m_Tenants.push_back(std::move(Added));
  for (const std::string &Key : Keys) {
    if (Key.empty() || Key.size() > MaximumKeyLength)
      return failure(ResultCode::RecordInvalid,
                     "an API key is empty or longer than " +
                         std::to_string(MaximumKeyLength) + " bytes",
                     "keys");
    const KeyHash Hash = hashOf(Key);
    const Entry *Known = findEntry(Hash);
    if (Known && Known->Tenant != Index)
      return failure(ResultCode::RecordInvalid,
                     "the tenant \"" + m_Tenants[Known->Tenant].Name +
                         "\" holds an API key of this one, too",
                     "keys");
    if (!Known)
      m_Keys.emplace(bucketOf(Hash), Entry{Hash, Index});
  }
  return success();
}

const Tenant *TenantTable::find(std::string_view Key) const {
  if (Key.empty() || Key.size() > MaximumKeyLength)
    return nullptr;
  const Entry *Found = findEntry(hashOf(Key));
  return Found ? &m_Tenants[Found->Tenant] : nullptr;
}

} // namespace figlift::tenant
