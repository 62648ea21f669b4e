//===- PeerLink.h - Datagrams between gateways ------------------*- C++ -*-===//
//
// Finds the other gateways through rows in the store and tells them, many
// times a second, what this one has under way. Who was heard lately counts as
// live; shares of budgets and connections go by that number.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "LibDispatch/DatagramSeal.h"
#include "LibDispatch/StoreNews.h"
#include "platform/StoreClient.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace figlift::gateway {

class PeerLink {
public:
  using NewsHandler = std::function<void(const dispatch::StoreNews &)>;

  PeerLink(Context &Shared, slopes::StoreClient &Store, NewsHandler News);

  Result<void> start();
  /// Tells all peers what was read in the store.
  void tell(const dispatch::StoreNews &What);
  /// Gateways that were heard lately, this one included.
  size_t live(BootTime Now) const;
  /// Gateways that may be spending a share of what the fleet has in common:
  /// those heard lately, and at least as many as the store lists. One that is
  /// cut off from its peers hears nobody, and would take all for itself.
  size_t sharers(BootTime Now) const;
  /// Datagrams that were not sealed by this fleet.
  uint64_t refused() const { return m_Refused; }
  /// Live gateways whose names come before this one's.
  size_t liveBefore(BootTime Now) const;

private:
  struct Peer {
    boost::asio::ip::udp::endpoint Address;
    BootTime Heard{};
  };

  void enroll();
  void makeSecret();
  void takeSecret(const std::string &Secret);
  void sendToAll(char Kind, const std::string &Body);
  void scheduleList();
  void list();
  void learn(const std::vector<slopes::StoreRow> &Rows);
  void scheduleReport();
  void report();
  void receive();
  void received(std::string_view Bytes);
  void reportReceived(std::string_view Body);
  void newsReceived(std::string_view Body);
  std::chrono::microseconds reportInterval() const;
  bool isLive(const Peer &Which, BootTime Now) const;

  Context &m_Shared;
  slopes::StoreClient &m_Store;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_ReportTimer;
  boost::asio::steady_timer m_ListTimer;
  std::map<std::string, Peer> m_Peers;
  std::array<char, 65536> m_Buffer;
  boost::asio::ip::udp::endpoint m_Sender;
  bool m_Enrolled = false;
  NewsHandler m_News;
  /// Unset until the fleet's secret was read: nobody is told anything, and
  /// nobody is believed.
  std::optional<dispatch::DatagramSeal> m_Seal;
  uint64_t m_Refused = 0;
  /// Gateways that the store listed last, this one included.
  size_t m_Listed = 1;
  /// When a report last told what was learned of engines.
  BootTime m_FiguresTold{};
  /// Times that the list was read.
  unsigned m_Lists = 0;
};

} // namespace figlift::gateway
