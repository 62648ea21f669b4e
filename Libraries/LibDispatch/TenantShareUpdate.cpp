//===- TenantShareUpdate.cpp - Demand of tenants for the peers ------------===//
//
// Rates are encoded as millionths, which are integers and short in CBOR.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/TenantShareUpdate.h"

#include "LibCore/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace figlift::dispatch {

using Json = nlohmann::json;

namespace {

constexpr double Millionths = 1e6;

/// A rate in a datagram is at most this, so that sums over all peers stay
/// finite and precise.
constexpr double MaximumRate = 1e9;
/// The configuration allows no higher priority.
constexpr unsigned MaximumPriority = 1000;

class InvalidUpdate {};

uint64_t encodeRate(double Rate) {
  return static_cast<uint64_t>(
      std::llround(std::clamp(Rate, 0.0, MaximumRate) * Millionths));
}

uint64_t decodeNumber(const Json &Encoded, uint64_t Maximum) {
  return wholeNumber<uint64_t>(Encoded, 0, Maximum);
}

double decodeRate(const Json &Encoded) {
  return static_cast<double>(decodeNumber(
             Encoded, static_cast<uint64_t>(MaximumRate * Millionths))) /
         Millionths;
}

Json encodePool(const PoolDemand &Pool) {
  Json Rows = Json::array();
  for (const TenantDemand &Row : Pool.Largest)
    Rows.push_back(Json::array({Row.Tenant, encodeRate(Row.Demand)}));
  Json RefusedAgo = nullptr;
  if (Pool.RefusedAgo)
    RefusedAgo =
        static_cast<uint64_t>(std::max<int64_t>(0, Pool.RefusedAgo->count()));
  return Json::array({Pool.Pool.Service, Pool.Pool.Priority,
                      encodeRate(Pool.Started), std::move(Rows),
                      encodeRate(Pool.RestDemand), Pool.RestTenants,
                      std::move(RefusedAgo)});
}

PoolDemand decodePool(const Json &Encoded) {
  constexpr uint64_t MaximumAge = 1ULL << 40;
  PoolDemand Pool;
  Pool.Pool.Service = Encoded.at(0).get<std::string>();
  Pool.Pool.Priority =
      static_cast<unsigned>(decodeNumber(Encoded.at(1), MaximumPriority));
  Pool.Started = decodeRate(Encoded.at(2));
  const Json &Rows = Encoded.at(3);
  if (!Rows.is_array() || Rows.size() > PoolDemand::MaximumRows)
    throw InvalidUpdate();
  for (const Json &Row : Rows)
    Pool.Largest.push_back(
        {decodeNumber(Row.at(0), UINT64_MAX), decodeRate(Row.at(1))});
  Pool.RestDemand = decodeRate(Encoded.at(4));
  Pool.RestTenants =
      static_cast<uint32_t>(decodeNumber(Encoded.at(5), UINT32_MAX));
  if (!Encoded.at(6).is_null())
    Pool.RefusedAgo = std::chrono::milliseconds(
        static_cast<int64_t>(decodeNumber(Encoded.at(6), MaximumAge)));
  return Pool;
}

} // namespace

std::string encodeTenantShares(const TenantShareUpdate &Update) {
  Json Pools = Json::array();
  for (const PoolDemand &Pool : Update.Pools)
    Pools.push_back(encodePool(Pool));
  std::string Bytes;
  Json::to_cbor(Json::array({Update.Sender, std::move(Pools)}), Bytes);
  return Bytes;
}

Result<TenantShareUpdate> decodeTenantShares(std::string_view Bytes) try {
  FIGLIFT_TRY(Root, parseCborMessage(Bytes));
  TenantShareUpdate Update;
  Update.Sender = Root.at(0).get<std::string>();
  const Json &Pools = Root.at(1);
  if (!Pools.is_array() || Pools.size() > TenantShareUpdate::MaximumPools)
    throw InvalidUpdate();
  for (const Json &Pool : Pools)
    Update.Pools.push_back(decodePool(Pool));
  return Update;
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(),
                 "tenant share update");
} catch (const InvalidUpdate &) {
  return failure(ResultCode::InvalidInput, "a list is too long",
                 "tenant share update");
}

} // namespace figlift::dispatch
