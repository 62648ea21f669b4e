//===- OrderFleet.h - Engines under orders ----------------------*- C++ -*-===//
//
// Two engines and two entries. Engine lm-desk-1 refuses an order with an old
// fencing number, lm-desk-2 takes whatever comes, also while it is at work: so
// the book of the second one shows every conflict that figlift lets through.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include <chrono>
#include <string>
#include <vector>

namespace figlift::test {

inline constexpr std::chrono::seconds Patience{30};

struct OrderFleetOptions {
  std::string OrderDuration = "300ms";
  /// Merged over the settings of every process.
  nlohmann::json Settings = nlohmann::json::object();
};

class OrderFleet : public Fleet {
public:
  explicit OrderFleet(const OrderFleetOptions &Options = {});

  static const std::vector<std::string> &engines();

  /// Submits the back end with this version of its model, without waiting;
  /// false when it was refused.
  bool submitVersion(const std::string &Version);
  bool submit(const std::string &Record);
  /// Every engine has the version and works, and no order is open.
  bool settledAt(const std::string &Version) const;
  bool waitUntilSettled(const std::string &Version) const;

  /// Content of a row of the table, also while the table is down for others;
  /// null when absent.
  nlohmann::json row(const std::string &Key) const;
  nlohmann::json lease() const { return row("lease/lm-desk/blue-ridge"); }
  /// Entry that the lease names; empty when none.
  std::string holder() const;
  std::string otherThan(const std::string &Entry) const;
  /// What the engine itself says, past the proxy.
  nlohmann::json engine(const std::string &Id) const;
  /// POST /control/settings and /control/crash of the engine stand-in.
  void setEngine(const std::string &Id, const nlohmann::json &Settings) const;
  void crashEngine(const std::string &Id, const std::string &When) const;
  /// Sets "platform" faults for commits alone, \p Count times.
  void loseAnswersToCommits(int Count);

  /// The engine's entries for this order.
  std::vector<nlohmann::json> booked(const std::string &Engine,
                                     const std::string &OrderId) const;
  /// The engine accepted the order.
  bool took(const std::string &Engine, const std::string &OrderId) const;
  /// Accepted orders that conflicted, over all engines; empty when none.
  std::string conflicts() const;

  /// Lines of a process's log with this event.
  std::vector<nlohmann::json> logged(const std::string &Process,
                                     const std::string &Event);
  /// Events of a kind in an agent's time line.
  std::vector<nlohmann::json> events(const std::string &Target,
                                     const std::string &Kind) const;
  /// For the message of a failed check.
  std::string report() const;
};

/// The record of the back end, in the newest schema.
std::string deskRecord(const std::string &Version,
                       const std::string &Roles = R"({"mixed": 1})");

} // namespace figlift::test
