//===- ServerLimits.h - Request rate limits of servers ----------*- C++ -*-===//
//
// An overloaded server states in each answer how many requests per second it
// accepts from all gateways together, for as long as the limit holds. Every
// gateway keeps to a share of it with a token bucket per server; the shares and
// bursts of all gateways add up to the whole (LimitShare.h).
//
// The class reads no clock: times are passed in with the events. Answers may
// overtake each other; the answer to the request that was sent last counts,
// whichever gateway received it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/LimitShare.h"
#include "LibDispatch/Target.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figlift::dispatch {

/// The limit of one server as a gateway reports it to its peers.
struct LimitUpdate {
  ServerStart Server;
  /// Requests per second; absent if the server states no limit any more.
  std::optional<double> PerSecond;
  /// Time since the request was sent whose answer stated the limit.
  std::chrono::milliseconds Age{0};
};

class ServerLimits {
public:
  /// Records the limit in an answer to a request that was sent at \p SentAt.
  /// Returns whether the limit has changed.
  bool recordAnswer(const ServerStart &Server, std::optional<double> PerSecond,
                    BootTime SentAt, BootTime Now);
  void applyUpdate(const LimitUpdate &Update, BootTime Now);
  /// Sets this gateway's share of the limit, which is zero at first.
  void setShare(const std::string &TargetId, LimitShare Share, BootTime Now);
  /// Records that a request of any kind was sent.
  void recordSend(const std::string &TargetId, BootTime Now);
  void removeTarget(const std::string &TargetId) { m_Entries.erase(TargetId); }

  /// Whether a request may be sent to the server now.
  bool hasCapacity(const std::string &TargetId, BootTime Now) const;
  /// Servers that may not be sent a request now.
  std::vector<std::string> exhausted(BootTime Now) const;
  /// Limits in force, by target id.
  std::map<std::string, double> activeLimits() const;
  std::vector<LimitUpdate> makeUpdates(BootTime Now) const;

private:
  struct Entry {
    ServerStart Server;
    std::optional<double> PerSecond;
    /// When the request was sent whose answer stated the limit.
    BootTime SentAt{};
    LimitShare Share;
    /// As of CountedAt. At most the burst of the share.
    double Tokens = 0;
    BootTime CountedAt{};
  };

  static double tokens(const Entry &Limit, BootTime Now);
  static void refill(Entry &Limit, BootTime Now);

  /// Includes servers that state no limit any more, as older answers may still
  /// arrive.
  std::map<std::string, Entry> m_Entries;
};

} // namespace figlift::dispatch
