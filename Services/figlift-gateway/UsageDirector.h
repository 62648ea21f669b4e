//===- UsageDirector.h - Reports the fleet's usage --------------*- C++ -*-===//
//
// Sends this gateway's usage sums to the gateways that may have to report them,
// and reports those of the fleet while this gateway holds the duty's lease.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "PeerLink.h"
#include "PeerList.h"

#include "LibLease/LeaseKeeper.h"
#include "LibUpstream/ConnectionPool.h"
#include "LibUsage/UsageDuty.h"
#include "LibUsage/UsageLedger.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figlift::gateway {

class UsageDirector : private usage::UsageSource {
public:
  /// Does nothing if the settings do not assign the duty. \p Records has the
  /// row of the lease and those of the reports.
  UsageDirector(Context &Shared, platform::Table &Records, PeerList &Peers,
                PeerLink &Link);

  /// Called several times a second.
  void tick(BootTime Now);
  /// Sends the sums of this gateway now.
  void sendSums(BootTime Now);
  void storeRestored(uint64_t Era);

private:
  bool isComplete(usage::WindowNumber Window) const override;
  usage::Counts totals(usage::WindowNumber Window) const override;

  void describeMetrics();
  /// Whether this gateway should hold or acquire the lease. While another one
  /// reports, candidates cause no load at the store.
  bool isCandidate(BootTime Now) const;
  void tickLease(BootTime Now);
  std::vector<std::string> sumReceivers(BootTime Now) const;
  std::optional<uint64_t> epoch() const;
  void step(const usage::Event &Input);
  void act(const usage::ReadRecord &Read);
  void act(const usage::WriteRecord &Write);
  void act(const usage::SendReport &Send);
  void act(const usage::MissedWindow &Missed);
  void callEnded(const usage::SendReport &Sent, unsigned Status);

  Context &m_Shared;
  platform::Table &m_Records;
  PeerList &m_Peers;
  PeerLink &m_Link;
  usage::UsageLedger m_Ledger;
  usage::UsageDuty m_Duty;
  std::shared_ptr<lease::LeaseKeeper> m_Lease;
  std::shared_ptr<upstream::ConnectionPool> m_Receiver;
  /// Random; distinguishes this start of the process.
  const uint64_t m_Incarnation;
  BootTime m_SumsSentAt{};
  /// When the last call of the duty ended, or will end at the latest.
  BootTime m_LastCallEnds{};
  uint64_t m_Reported = 0;
  uint64_t m_Missed = 0;
};

} // namespace figlift::gateway
