//===- TenantShares.h - Fair shares of tenants ------------------*- C++ -*-===//
//
// Decides which requests to refuse first while the capacity of a service is
// short: those of tenants that demand more than their max-min fair share. The
// demand of all tenants and the work that was started recently are summed over
// the fleet. Without this, one tenant that sends many times its share takes
// most of the capacity, since admission control treats all requests alike.
//
// Capacity is the rate of work that was started in the last seconds. Demand and
// capacity decay alike, so their ratio is right soon after a burst begins.
//
// Shares are computed within one pool, that is, one service and one priority.
// All tenants have the same weight.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/TenantShareUpdate.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figlift::dispatch {

/// Rates of work per second, summed over the fleet.
struct TenantStanding {
  double Demand = 0;
  /// The tenant is beyond its share if its demand is higher.
  double Share = 0;
  /// Work of the pool that was started recently.
  double Capacity = 0;

  bool isBeyondShare() const { return Demand > Share; }
};

class TenantShares {
public:
  using Milliseconds = std::chrono::duration<double, std::milli>;

  /// Gateways send their demand to each other at this interval, or at the
  /// interval of their reports if that is longer.
  static constexpr std::chrono::milliseconds SendInterval{250};

  static TenantHash hashOf(std::string_view TenantName);

  /// \name Requests at this gateway.
  /// @{
  /// A request has arrived that needs \p Work.
  void recordRequest(const SharePool &Pool, TenantHash Tenant, double Work,
                     BootTime Now);
  /// A request has been sent to a server.
  void recordStart(const SharePool &Pool, double Work, BootTime Now);
  /// The server has rejected it without running it.
  void undoStart(const SharePool &Pool, double Work, BootTime Now);
  /// A request has been planned to wait for other work for \p Wait.
  void recordPlannedWait(const SharePool &Pool, Milliseconds Wait,
                         Milliseconds LatencyTarget, BootTime Now);
  /// A request was refused for lack of capacity. Refusals that this class
  /// caused must not be recorded: capacity would count as short for as long as
  /// there is a tenant beyond its share, and the estimate of the capacity would
  /// fall with each refusal.
  void recordRefusal(const SharePool &Pool, BootTime Now);
  /// @}

  /// \name Exchange with peers.
  /// @{
  /// \p Interval: time between two updates of one peer.
  void setUpdateInterval(std::chrono::milliseconds Interval);
  /// Replaces what the peer reported before.
  void recordPeerUpdate(const TenantShareUpdate &Update, BootTime Now);
  /// Demand at this gateway; the largest pools, if there are too many.
  std::vector<PoolDemand> localDemand(BootTime Now);
  /// @}

  /// How short capacity is: 1 right after a request was refused for lack of
  /// capacity at any gateway, and down to 0 in the second after that; between 0
  /// and 1 while answers start late or requests are planned to wait. At 0,
  /// nothing is to be refused.
  double shortage(const SharePool &Pool, Milliseconds StartLag,
                  Milliseconds LatencyTarget, BootTime Now) const;
  TenantStanding standing(const SharePool &Pool, TenantHash Tenant,
                          double Shortage, BootTime Now);
  /// Whether to refuse a request while capacity is short. \p Draw: random, in
  /// [0, 1).
  static bool refuses(const TenantStanding &Standing, double Draw) {
    return Standing.isBeyondShare() &&
           Draw < 1 - Standing.Share / Standing.Demand;
  }
  /// Time after which the demand of a tenant that stops sending is down to its
  /// share, within the bounds that apply to all refusals.
  static std::chrono::milliseconds retryAfter(const TenantStanding &Standing,
                                              double Draw);

  /// Tenants at this gateway with a row of their own, in all pools.
  size_t ownRows() const;
  /// Peers whose demand counts.
  size_t peers() const { return m_Peers.size(); }

private:
  /// Shorter, and one request of a tenant that sends few would decide; longer,
  /// and a tenant would be refused for seconds after its burst.
  static constexpr std::chrono::milliseconds HalfLife{2000};
  static constexpr std::chrono::milliseconds RefusalMemory{1000};
  /// A tenant, or a pool, without requests for this time is dropped.
  static constexpr std::chrono::milliseconds IdleTime = 5 * HalfLife;
  static constexpr std::chrono::milliseconds MinimumExpiry{1000};
  static constexpr int IntervalsUntilExpiry = 4;
  /// Bounds memory, by pool. Beyond it, the smaller half becomes part of the
  /// rest.
  static constexpr size_t MaximumOwnRows = 256;
  /// Sums over the fleet are computed anew at this interval and PeerViewTime
  /// for each peer, so that large fleets do not spend more time on it.
  static constexpr std::chrono::milliseconds MinimumViewTime{25};
  static constexpr std::chrono::milliseconds PeerViewTime{1};
  /// Where this share of the demand is started, nobody is beyond its share.
  static constexpr double ServedShare = 0.98;
  /// Shares are cut from this part of the capacity right after a refusal. With
  /// all of it, the queues that a burst has filled would not become shorter,
  /// and requests of tenants within their shares would be refused until the
  /// burst ends.
  static constexpr double UsableShare = 0.95;
  /// Capacity that is added while a shortage fades, as a part of what is known.
  /// Without it, all the excess of a large tenant would come back in the same
  /// moment, and fill the queues before the gateways see them.
  static constexpr double ProbedShare = 0.65;
  /// Share of the latency target.
  static constexpr double ShortStartLag = 1.0 / 3;
  /// Shortage while answers start late. Shares then grow by some percent in
  /// each half-life. Answers may start late for another reason than demand; at
  /// 1, each refusal would lower the capacity that shares are cut from, and a
  /// large tenant would be refused more and more often.
  static constexpr double LateShortage = 0.8;
  /// Shares of the latency target. Planned waits in this range gradually return
  /// tenants to their shares. With refusals as the only sign, the queues fill
  /// up about once a second, and each time some requests of all tenants are
  /// refused until they are shorter.
  static constexpr double FirstShortWait = 1.0 / 3;
  static constexpr double FullShortWait = 2.0 / 3;
  static constexpr std::chrono::milliseconds WaitMemory{250};
  static constexpr std::chrono::milliseconds MinimumRetryAfter{600};
  static constexpr std::chrono::milliseconds MaximumRetryAfter{3000};

  /// Sum with exponential decay.
  struct DecayingSum {
    double Sum = 0;
    BootTime At{};

    double value(BootTime Now) const;
    /// Work per second.
    double rate(BootTime Now) const;
    void add(double Value, BootTime Now);
  };
  /// Sums over the fleet at one moment.
  struct View {
    BootTime At{};
    std::unordered_map<TenantHash, double> Demands;
    double Capacity = 0;
    /// Level of the max-min shares, and how many tenants demand more.
    double Level = 0;
    double TenantsAbove = 1;
    /// Equal part of the demand.
    double EqualPart = 0;
    bool AllStarted = true;
  };
  struct Pool {
    std::unordered_map<TenantHash, DecayingSum> Rows;
    /// Demand of tenants whose rows were dropped to bound memory.
    DecayingSum Dropped;
    DecayingSum Started;
    BootTime LastRequest{};
    /// Latest planned wait, as a share of the latency target.
    double PlannedWait = 0;
    BootTime PlannedAt{};
    View Fleet;
  };
  struct Peer {
    BootTime At{};
    std::vector<PoolDemand> Pools;
  };

  void dropSmallRows(Pool &Own, BootTime Now);
  bool isExpired(const Peer &Reporter, BootTime Now) const;
  void computeView(const SharePool &Key, Pool &Own, BootTime Now);
  void noteRefusal(const SharePool &Pool, BootTime At);

  std::map<SharePool, Pool> m_Pools;
  std::map<std::string, Peer> m_Peers;
  /// When a request was last refused, by any gateway; removed when it no longer
  /// counts.
  std::map<SharePool, BootTime> m_RefusedAt;
  /// The same for this gateway only.
  std::map<SharePool, BootTime> m_OwnRefusedAt;
  std::chrono::milliseconds m_Expiry = MinimumExpiry;
};

} // namespace figlift::dispatch
