//===- PeerLink.h - Datagrams between gateways ------------------*- C++ -*-===//
//
// Finds the other gateways through rows in the store and tells them, many
// times a second, what this one has under way. Who was heard lately counts as
// live; shares of budgets and connections go by that number.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include "platform/StoreClient.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <string>

namespace figlift::gateway {

class PeerLink {
public:
  PeerLink(Context &Shared, slopes::StoreClient &Store);

  Result<void> start();
  /// Gateways that were heard lately, this one included.
  size_t live(BootTime Now) const;
  /// Live gateways whose names come before this one's.
  size_t liveBefore(BootTime Now) const;

private:
  struct Peer {
    boost::asio::ip::udp::endpoint Address;
    BootTime Heard{};
  };

  void enroll();
  void scheduleList();
  void list();
  void learn(const std::vector<slopes::StoreRow> &Rows);
  void scheduleReport();
  void report();
  void receive();
  void received(std::string_view Bytes);
  std::chrono::microseconds reportInterval() const;

  Context &m_Shared;
  slopes::StoreClient &m_Store;
  boost::asio::ip::udp::socket m_Socket;
  boost::asio::steady_timer m_ReportTimer;
  boost::asio::steady_timer m_ListTimer;
  std::map<std::string, Peer> m_Peers;
  std::array<char, 65536> m_Buffer;
  boost::asio::ip::udp::endpoint m_Sender;
  bool m_Enrolled = false;
  /// When a report last told what was learned of engines.
  BootTime m_FiguresTold{};
  /// Times that the list was read.
  unsigned m_Lists = 0;
};

} // namespace figlift::gateway
