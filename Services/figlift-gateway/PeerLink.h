//===- PeerLink.h - Datagrams between gateways ------------------*- C++ -*-===//
//
// Reports the work in progress to the other gateways many times a second,
// announces the state of the store when it was read, and receives the same from
// peers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "PeerList.h"

#include "LibDispatch/StoreUpdate.h"
#include "LibUsage/UsageUpdate.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace figlift::gateway {

class PeerLink {
public:
  using UpdateHandler = std::function<void(const dispatch::StoreUpdate &)>;
  using UsageHandler = std::function<void(const usage::UsageUpdate &)>;

  PeerLink(Context &Shared, PeerList &Peers, UpdateHandler OnStoreUpdate);

  Result<void> start();
  /// Announces the state of the store to all peers.
  void announce(const dispatch::StoreUpdate &Update);
  /// \p Handler is called with the usage sums of other gateways.
  void onUsageUpdate(UsageHandler Handler) {
    m_UsageHandler = std::move(Handler);
  }
  /// Sends usage sums to the given gateways.
  void sendUsage(const usage::UsageUpdate &Update,
                 const std::vector<std::string> &Receivers);
  /// Datagrams without a valid seal of this fleet.
  uint64_t rejected() const { return m_Rejected; }
  /// Items of reports that were left out to fit into a datagram.
  uint64_t itemsLeftOut() const { return m_ItemsLeftOut; }
  /// Datagrams that could not be sent.
  uint64_t sendsFailed() const { return m_SendsFailed; }

private:
  void sendToAll(char Kind, const std::string &Body);
  void recordCut(size_t LeftOut, BootTime Now);
  void recordFailedSend(const PeerList::Peer &Peer, size_t Bytes,
                        const boost::system::error_code &Code);
  void sendTo(const PeerList::Peer &Peer, const std::string &Bytes);
  void scheduleReport();
  void report();
  void receive();
  void received(std::string_view Bytes);
  void reportReceived(std::string_view Body);
  void storeUpdateReceived(std::string_view Body);
  void announceSuspects(const std::vector<dispatch::SuspectUpdate> &Updates);
  void reannounceSuspects(BootTime Now);
  void suspectsReceived(std::string_view Body);
  void announceCrashCauses(const dispatch::CrashCauseUpdate &Update);
  void crashCausesReceived(std::string_view Body);
  void usageReceived(std::string_view Body);
  void streamOriginsReceived(std::string_view Body);
  void sendPaces(BootTime Now);
  void pacesReceived(std::string_view Body);

  Context &m_Shared;
  PeerList &m_Peers;
  UpdateHandler m_StoreUpdateHandler;
  UsageHandler m_UsageHandler;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_ReportTimer;
  std::array<char, 65536> m_Buffer;
  boost::asio::ip::udp::endpoint m_Sender;
  uint64_t m_Rejected = 0;
  uint64_t m_ItemsLeftOut = 0;
  uint64_t m_SendsFailed = 0;
  /// When a report that was cut, or a failed send, was last logged.
  /// @{
  BootTime m_CutLoggedAt{};
  BootTime m_SendFailureLoggedAt{};
  /// @}
  /// Reports since suspects were last announced again.
  unsigned m_ReportsSinceReannouncement = 0;
  /// When rejected prompt parts were last announced again.
  BootTime m_RejectionsSentAt{};
  /// When a report last included learned engine costs.
  BootTime m_EngineCostsSentAt{};
  BootTime m_PacesSentAt{};
  BootTime m_PacesPrunedAt{};
};

} // namespace figlift::gateway
