//===- TenantShares.cpp - Fair shares of tenants --------------------------===//
//
// Max-min fairness: the share is the level at which the demands of all tenants,
// each cut at that level, add up to the capacity.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/TenantShares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

#include <xxhash.h>

namespace figlift::dispatch {

using std::chrono::milliseconds;

namespace {

/// Demand of a number of tenants, each of which demands the same.
struct EqualDemands {
  double Each = 0;
  double Count = 1;
};

struct FairLevel {
  double Level = 0;
  /// Tenants that demand more.
  double TenantsAbove = 1;
};

/// The level at which the demands, each cut at that level, add up to
/// \p Capacity; infinite if the demands do not reach it.
FairLevel fairLevel(std::vector<EqualDemands> Demands, double Capacity) {
  std::sort(Demands.begin(), Demands.end(),
            [](const EqualDemands &A, const EqualDemands &B) {
              return A.Each < B.Each;
            });
  double Remaining = Capacity;
  double Tenants = 0;
  for (const EqualDemands &Row : Demands)
    Tenants += Row.Count;
  for (const EqualDemands &Row : Demands) {
    if (Row.Each * Tenants >= Remaining)
      return {std::max(0.0, Remaining) / Tenants, Tenants};
    Remaining -= Row.Each * Row.Count;
    Tenants -= Row.Count;
  }
  return {std::numeric_limits<double>::infinity(), 1};
}

} // namespace

double TenantShares::DecayingSum::value(BootTime Now) const {
  const double HalfLives = Milliseconds(Now - At) / HalfLife;
  return Sum * std::exp2(-std::max(0.0, HalfLives));
}

double TenantShares::DecayingSum::rate(BootTime Now) const {
  constexpr std::chrono::duration<double> MeanLife =
      std::chrono::duration<double>(HalfLife) / std::numbers::ln2;
  return value(Now) / MeanLife.count();
}

void TenantShares::DecayingSum::add(double Value, BootTime Now) {
  Sum = std::max(0.0, value(Now) + Value);
  At = Now;
}

TenantHash TenantShares::hashOf(std::string_view TenantName) {
  return XXH3_64bits(TenantName.data(), TenantName.size());
}

void TenantShares::recordRequest(const SharePool &Pool, TenantHash Tenant,
                                 double Work, BootTime Now) {
  auto &Own = m_Pools[Pool];
  Own.LastRequest = Now;
  Own.Rows[Tenant].add(Work, Now);
  if (Own.Rows.size() > MaximumOwnRows)
    dropSmallRows(Own, Now);
}

void TenantShares::dropSmallRows(Pool &Own, BootTime Now) {
  std::vector<double> Values;
  Values.reserve(Own.Rows.size());
  for (const auto &[Tenant, Row] : Own.Rows)
    Values.push_back(Row.value(Now));
  const auto Median =
      Values.begin() + static_cast<std::ptrdiff_t>(MaximumOwnRows / 2);
  std::nth_element(Values.begin(), Median, Values.end());
  const double Limit = *Median;
  size_t Excess = Own.Rows.size() - MaximumOwnRows / 2;
  double Sum = 0;
  std::erase_if(Own.Rows, [&](const auto &Entry) {
    const double Value = Entry.second.value(Now);
    if (Value > Limit || Excess == 0)
      return false;
    --Excess;
    Sum += Value;
    return true;
  });
  Own.Dropped.add(Sum, Now);
}

void TenantShares::recordStart(const SharePool &Pool, double Work,
                               BootTime Now) {
  m_Pools[Pool].Started.add(Work, Now);
}

void TenantShares::undoStart(const SharePool &Pool, double Work, BootTime Now) {
  if (const auto Found = m_Pools.find(Pool); Found != m_Pools.end())
    Found->second.Started.add(-Work, Now);
}

void TenantShares::recordPlannedWait(const SharePool &Pool, Milliseconds Wait,
                                     Milliseconds LatencyTarget, BootTime Now) {
  if (const auto Found = m_Pools.find(Pool);
      Found != m_Pools.end() && LatencyTarget > Milliseconds(0)) {
    Found->second.PlannedWait = Wait / LatencyTarget;
    Found->second.PlannedAt = Now;
  }
}

void TenantShares::recordRefusal(const SharePool &Pool, BootTime Now) {
  m_OwnRefusedAt[Pool] = Now;
  noteRefusal(Pool, Now);
}

void TenantShares::noteRefusal(const SharePool &Pool, BootTime At) {
  BootTime &Latest = m_RefusedAt[Pool];
  Latest = std::max(Latest, At);
}

void TenantShares::setUpdateInterval(milliseconds Interval) {
  m_Expiry = std::max(MinimumExpiry, Interval * IntervalsUntilExpiry);
}

bool TenantShares::isExpired(const Peer &Reporter, BootTime Now) const {
  return Now - Reporter.At >= m_Expiry;
}

void TenantShares::recordPeerUpdate(const TenantShareUpdate &Update,
                                    BootTime Now) {
  m_Peers[Update.Sender] = {Now, Update.Pools};
  for (const PoolDemand &Row : Update.Pools)
    if (Row.RefusedAgo && *Row.RefusedAgo < RefusalMemory)
      noteRefusal(Row.Pool, Now - *Row.RefusedAgo);
}

std::vector<PoolDemand> TenantShares::localDemand(BootTime Now) {
  const auto IsOld = [&](const auto &Entry) {
    return Now - Entry.second >= RefusalMemory;
  };
  std::erase_if(m_RefusedAt, IsOld);
  std::erase_if(m_OwnRefusedAt, IsOld);
  std::erase_if(
      m_Peers, [&](const auto &Entry) { return isExpired(Entry.second, Now); });
  std::erase_if(m_Pools, [&](const auto &Entry) {
    return Now - Entry.second.LastRequest >= IdleTime;
  });
  std::vector<PoolDemand> All;
  for (auto &[Key, Own] : m_Pools) {
    std::erase_if(Own.Rows, [&](const auto &Entry) {
      return Now - Entry.second.At >= IdleTime;
    });
    PoolDemand Reported;
    Reported.Pool = Key;
    Reported.Started = Own.Started.rate(Now);
    for (const auto &[Tenant, Row] : Own.Rows)
      Reported.Largest.push_back({Tenant, Row.rate(Now)});
    std::sort(Reported.Largest.begin(), Reported.Largest.end(),
              [](const TenantDemand &A, const TenantDemand &B) {
                return A.Demand > B.Demand;
              });
    Reported.RestDemand = Own.Dropped.rate(Now);
    while (Reported.Largest.size() > PoolDemand::MaximumRows) {
      Reported.RestDemand += Reported.Largest.back().Demand;
      ++Reported.RestTenants;
      Reported.Largest.pop_back();
    }
    if (const auto Refused = m_OwnRefusedAt.find(Key);
        Refused != m_OwnRefusedAt.end())
      Reported.RefusedAgo =
          std::chrono::duration_cast<milliseconds>(Now - Refused->second);
    All.push_back(std::move(Reported));
  }
  if (All.size() > TenantShareUpdate::MaximumPools) {
    const auto Total = [](const PoolDemand &Reported) {
      double Sum = Reported.RestDemand;
      for (const TenantDemand &Row : Reported.Largest)
        Sum += Row.Demand;
      return Sum;
    };
    std::sort(All.begin(), All.end(),
              [&](const PoolDemand &A, const PoolDemand &B) {
                return Total(A) > Total(B);
              });
    All.resize(TenantShareUpdate::MaximumPools);
  }
  return All;
}

double TenantShares::shortage(const SharePool &Pool, Milliseconds StartLag,
                              Milliseconds LatencyTarget, BootTime Now) const {
  double Shortage = StartLag > LatencyTarget * ShortStartLag ? LateShortage : 0;
  if (const auto Refused = m_RefusedAt.find(Pool); Refused != m_RefusedAt.end())
    Shortage = std::max(
        Shortage,
        1 - std::max(0.0, Milliseconds(Now - Refused->second) / RefusalMemory));
  if (const auto Own = m_Pools.find(Pool);
      Own != m_Pools.end() && Now - Own->second.PlannedAt < WaitMemory)
    Shortage = std::max(Shortage, (Own->second.PlannedWait - FirstShortWait) /
                                      (FullShortWait - FirstShortWait));
  return std::clamp(Shortage, 0.0, 1.0);
}

void TenantShares::computeView(const SharePool &Key, Pool &Own, BootTime Now) {
  View Fleet;
  Fleet.At = Now;
  Fleet.Capacity = Own.Started.rate(Now);
  double Rest = Own.Dropped.rate(Now);
  double RestTenants = 0;
  // A tenant that has a row at one gateway may be part of the rest at another,
  // so counts of gateways are not added.
  size_t Tenants = 0;
  for (const auto &[Tenant, Row] : Own.Rows)
    if (Now - Row.At < IdleTime)
      Fleet.Demands[Tenant] = Row.rate(Now);
  for (const auto &[Id, Reporter] : m_Peers) {
    if (isExpired(Reporter, Now))
      continue;
    for (const PoolDemand &Reported : Reporter.Pools) {
      if (Reported.Pool != Key)
        continue;
      Fleet.Capacity += Reported.Started;
      for (const TenantDemand &Row : Reported.Largest)
        Fleet.Demands[Row.Tenant] += Row.Demand;
      Rest += Reported.RestDemand;
      RestTenants =
          std::max(RestTenants, static_cast<double>(Reported.RestTenants));
      Tenants =
          std::max(Tenants, Reported.Largest.size() + Reported.RestTenants);
    }
  }
  Tenants = std::max(Tenants, Fleet.Demands.size());
  std::vector<EqualDemands> Demands;
  Demands.reserve(Fleet.Demands.size() + 1);
  double Total = Rest;
  for (const auto &[Tenant, Demand] : Fleet.Demands) {
    Demands.push_back({Demand, 1});
    Total += Demand;
  }
  if (Rest > 0) {
    const double Count = std::max(1.0, RestTenants);
    Demands.push_back({Rest / Count, Count});
  }
  Fleet.AllStarted = Fleet.Capacity >= Total * ServedShare;
  if (!Fleet.AllStarted && Tenants > 0) {
    const FairLevel Fair =
        fairLevel(std::move(Demands), Fleet.Capacity * UsableShare);
    Fleet.Level = Fair.Level;
    Fleet.TenantsAbove = Fair.TenantsAbove;
    Fleet.EqualPart = Total / static_cast<double>(Tenants);
  }
  Own.Fleet = std::move(Fleet);
}

TenantStanding TenantShares::standing(const SharePool &Pool, TenantHash Tenant,
                                      double Shortage, BootTime Now) {
  const auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end())
    return {};
  auto &Own = Found->second;
  const auto ViewTime =
      MinimumViewTime + PeerViewTime * static_cast<int64_t>(m_Peers.size());
  if (Own.Fleet.At == BootTime{} || Now - Own.Fleet.At >= ViewTime)
    computeView(Pool, Own, Now);
  TenantStanding Standing;
  Standing.Capacity = Own.Fleet.Capacity;
  const auto Row = Own.Fleet.Demands.find(Tenant);
  Standing.Demand = Row == Own.Fleet.Demands.end() ? 0 : Row->second;
  Standing.Share = Standing.Demand;
  // Below an equal part of the demand, a tenant does not cause the shortage,
  // even if such tenants together demand more than the capacity.
  if (!Own.Fleet.AllStarted && Shortage > 0)
    Standing.Share =
        std::max(Own.Fleet.Level + Own.Fleet.Capacity * ProbedShare *
                                       (1 - Shortage) / Own.Fleet.TenantsAbove,
                 Own.Fleet.EqualPart);
  return Standing;
}

milliseconds TenantShares::retryAfter(const TenantStanding &Standing,
                                      double Draw) {
  // Bounded before the conversion: the share may be 0.
  const double HalfLives = Standing.Share > 0
                               ? std::log2(Standing.Demand / Standing.Share)
                               : std::numeric_limits<double>::infinity();
  const Milliseconds Wait = std::clamp(Milliseconds(HalfLife) * HalfLives,
                                       Milliseconds(MinimumRetryAfter),
                                       Milliseconds(MaximumRetryAfter));
  // Jitter keeps requests that are refused together from returning together.
  return std::clamp(std::chrono::duration_cast<milliseconds>(
                        Wait + Milliseconds(MinimumRetryAfter) * (Draw - 0.5)),
                    MinimumRetryAfter, MaximumRetryAfter);
}

size_t TenantShares::ownRows() const {
  size_t Sum = 0;
  for (const auto &[Key, Own] : m_Pools)
    Sum += Own.Rows.size();
  return Sum;
}

} // namespace figlift::dispatch
