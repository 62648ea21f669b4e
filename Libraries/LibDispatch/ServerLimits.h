//===- ServerLimits.h - How many requests servers take ----------*- C++ -*-===//
//
// A server in need names how many requests a second it takes from all gateways
// together, in each answer for as long as that holds. Every gateway keeps to a
// share of it, by a token bucket for each such server; the shares of a fleet
// add up to one (LimitShare.h), and so do the bursts that the buckets allow.
//
// Pure: times come in with the events. Answers overtake each other; the one to
// the request that was sent last holds, whoever got it.
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

/// What a gateway knows of one server's limit, for its peers.
struct LimitNews {
  ServerStart Server;
  /// Requests a second; absent when the server names none any more.
  std::optional<double> PerSecond;
  /// Since the request was sent whose answer said so.
  std::chrono::milliseconds Age{0};
};

class ServerLimits {
public:
  /// An answer to a request that was sent at \p SentAt. True if another limit
  /// holds from now on.
  bool told(const ServerStart &Server, std::optional<double> PerSecond,
            BootTime SentAt, BootTime Now);
  void heard(const LimitNews &News, BootTime Now);
  /// What of the server's limit is this gateway's; nothing at first.
  void share(const std::string &TargetId, LimitShare Share, BootTime Now);
  /// A request, of whatever kind, has been sent.
  void sent(const std::string &TargetId, BootTime Now);
  void targetGone(const std::string &TargetId) { m_Entries.erase(TargetId); }

  /// Whether the server may get a request now.
  bool hasRoom(const std::string &TargetId, BootTime Now) const;
  /// Servers that may get none now.
  std::vector<std::string> exhausted(BootTime Now) const;
  /// Limits in force, by target.
  std::map<std::string, double> inForce() const;
  std::vector<LimitNews> news(BootTime Now) const;

private:
  struct Entry {
    ServerStart Server;
    std::optional<double> PerSecond;
    /// When the request was sent whose answer said so.
    BootTime SentAt{};
    LimitShare Share;
    /// As of CountedAt; at most the share's burst.
    double Tokens = 0;
    BootTime CountedAt{};
  };

  static double tokens(const Entry &Of, BootTime Now);
  static void count(Entry &Of, BootTime Now);

  /// Also of servers that name none any more: older answers may still come.
  std::map<std::string, Entry> m_Entries;
};

} // namespace figlift::dispatch
