//===- PeerList.h - The other gateways of the fleet -------------*- C++ -*-===//
//
// Tracks the gateways by the store's list and by the reports received, and
// holds the secret that the fleet shares. A gateway is live if it reported
// recently. The counts kept here determine the shares of budgets and
// connections.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibDispatch/DatagramSeal.h"
#include "platform/StoreClient.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figlift::gateway {

class PeerList {
public:
  struct Peer {
    boost::asio::ip::udp::endpoint Address;
    BootTime LastReport{};
  };

  PeerList(Context &Shared, slopes::StoreClient &Store);

  /// Registers this gateway and reads the list, now and periodically.
  void start();
  /// The store was restored from a copy: this gateway's row and the secret may
  /// be lost.
  void refreshSoon();
  void reportReceived(const std::string &Id,
                      const boost::asio::ip::udp::endpoint &Address,
                      BootTime Now);
  /// By id; includes gateways that are in the list but never reported.
  const std::map<std::string, Peer> &all() const { return m_Peers; }
  /// Null until the fleet's secret has been read: until then nothing is sent
  /// to peers, and their datagrams are rejected.
  const dispatch::DatagramSeal *seal() const {
    return m_Seal ? &*m_Seal : nullptr;
  }

  /// Live gateways, including this one.
  size_t liveCount(BootTime Now) const;
  /// Ids of the other live gateways, in order.
  std::vector<std::string> livePeers(BootTime Now) const;
  /// Ids of the other gateways that have reported since \p Since.
  std::vector<std::string> heardSince(BootTime Since) const;
  /// Since when nothing has been heard of a gateway that may still serve; empty
  /// if all are live, or have been silent for as long as streams may be
  /// resumed.
  std::optional<BootTime> silentSince(BootTime Now) const;
  /// Live gateways whose ids sort before this one's.
  size_t liveBefore(BootTime Now) const;
  /// This gateway's place among all that are known.
  dispatch::GatewayPlace place() const;
  /// Gateways that may be using a share of the fleet's common budgets: the
  /// live ones, and at least as many as the store lists. A gateway that is
  /// partitioned from its peers receives no reports and would use the whole
  /// budget alone.
  size_t sharingGateways(BootTime Now) const;
  /// The input for this gateway's share of one server's limit.
  dispatch::LimitFleet limitFleet(const std::string &TargetId,
                                  BootTime Now) const;
  /// Interval between two reports of one gateway.
  std::chrono::microseconds reportInterval() const;

private:
  void registerSelf();
  bool shouldCreateSecret(const std::string &FirstListed) const;
  void createSecret();
  void useSecret(const std::string &Secret);
  void scheduleList();
  void readList();
  std::chrono::milliseconds listInterval() const;
  void updatePeers(const std::vector<slopes::StoreRow> &Rows);
  void updateAddress(const slopes::StoreRow &Row, Peer &Entry);
  bool isLive(const Peer &Entry, BootTime Now) const;

  Context &m_Shared;
  slopes::StoreClient &m_Store;
  boost::asio::steady_timer m_ListTimer;
  std::map<std::string, Peer> m_Peers;
  std::optional<dispatch::DatagramSeal> m_Seal;
  /// Text of m_Seal; empty without it.
  std::string m_Secret;
  /// No list since the store was restored contained both the secret and this
  /// gateway's row.
  bool m_Restoring = false;
  /// Consecutive reads of the list without a secret.
  unsigned m_ListsWithoutSecret = 0;
  bool m_Registered = false;
  const BootTime m_StartedAt = BootClock::now();
  /// Gateways in the last list, including this one.
  size_t m_Listed = 1;
  /// The store responded to the last read of the list.
  bool m_StoreReachable = false;
  /// Number of times that the list has been read.
  unsigned m_ListReads = 0;
};

} // namespace figlift::gateway
