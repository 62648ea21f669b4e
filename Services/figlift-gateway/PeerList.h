//===- PeerList.h - The other gateways of the fleet -------------*- C++ -*-===//
//
// Which gateways there are, by the store's list and by what is heard of them,
// and the secret that the fleet has in common. Who was heard lately counts as
// live; shares of budgets and connections go by the numbers kept here.
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
    BootTime Heard{};
  };

  PeerList(Context &Shared, slopes::StoreClient &Store);

  /// Enrolls this gateway and reads who the others are, now and then again.
  void start();
  /// The store came back from a copy: this gateway's row and the secret may be
  /// gone.
  void readSoon();
  void heard(const std::string &Id,
             const boost::asio::ip::udp::endpoint &Address, BootTime Now);
  /// By name; also those that the store lists and nobody has heard.
  const std::map<std::string, Peer> &all() const { return m_Peers; }
  /// Null until the fleet's secret was read: nobody is told anything, and
  /// nobody is believed.
  const dispatch::DatagramSeal *seal() const {
    return m_Seal ? &*m_Seal : nullptr;
  }

  /// Gateways that were heard lately, this one included.
  size_t live(BootTime Now) const;
  /// Live gateways whose names come before this one's.
  size_t liveBefore(BootTime Now) const;
  /// Gateways that may be spending a share of what the fleet has in common:
  /// those heard lately, and at least as many as the store lists. One that is
  /// cut off from its peers hears nobody, and would take all for itself.
  size_t sharers(BootTime Now) const;
  /// The fleet as it shares the limit of one server.
  dispatch::LimitFleet limitFleet(const std::string &TargetId,
                                  BootTime Now) const;
  /// Between two reports of a gateway to all others.
  std::chrono::microseconds reportInterval() const;

private:
  void enroll();
  bool makesSecret(const std::string &FirstListed) const;
  void makeSecret();
  void takeSecret(const std::string &Secret);
  void scheduleList();
  void list();
  std::chrono::milliseconds listInterval() const;
  void learn(const std::vector<slopes::StoreRow> &Rows);
  void learnAddress(const slopes::StoreRow &Row, Peer &Which);
  bool isLive(const Peer &Which, BootTime Now) const;

  Context &m_Shared;
  slopes::StoreClient &m_Store;
  boost::asio::steady_timer m_ListTimer;
  std::map<std::string, Peer> m_Peers;
  std::optional<dispatch::DatagramSeal> m_Seal;
  /// Text of m_Seal; empty without it.
  std::string m_Secret;
  /// Since the store came back from a copy no list had both the secret and this
  /// gateway's row.
  bool m_Restores = false;
  /// Lists in a row that had no secret.
  unsigned m_ListsWithoutSecret = 0;
  bool m_Enrolled = false;
  /// Gateways that the store listed last, this one included.
  size_t m_Listed = 1;
  /// The store answered the last question for the list.
  bool m_Reached = false;
  /// Times that the list was read.
  unsigned m_Lists = 0;
};

} // namespace figlift::gateway
