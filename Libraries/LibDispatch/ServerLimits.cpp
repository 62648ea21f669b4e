//===- ServerLimits.cpp - Request rate limits of servers ------------------===//
//
// Token buckets that are refilled when they are used.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerLimits.h"

#include <algorithm>
#include <utility>

namespace figlift::dispatch {

using std::chrono::milliseconds;

namespace {

/// Requests per second that the whole fleet still sends to a server with a
/// limit of zero: only an answer shows that it accepts requests again.
constexpr double MinimumPerSecond = 0.25;

} // namespace

bool ServerLimits::recordAnswer(const ServerStart &Server,
                                std::optional<double> PerSecond,
                                BootTime SentAt, BootTime Now) {
  if (!PerSecond && !m_Entries.contains(Server.TargetId))
    return false;
  Entry &Limit = m_Entries[Server.TargetId];
  if (SentAt < Limit.SentAt)
    return false;
  if (Limit.Server != Server)
    Limit = {Server, std::nullopt, SentAt, Limit.Share, 0, Now};
  refill(Limit, Now);
  Limit.SentAt = SentAt;
  return std::exchange(Limit.PerSecond, PerSecond) != PerSecond;
}

void ServerLimits::applyUpdate(const LimitUpdate &Update, BootTime Now) {
  recordAnswer(Update.Server, Update.PerSecond, Now - Update.Age, Now);
}

void ServerLimits::setShare(const std::string &TargetId, LimitShare Share,
                            BootTime Now) {
  const auto Position = m_Entries.find(TargetId);
  if (Position == m_Entries.end())
    return;
  refill(Position->second, Now);
  Position->second.Share = Share;
}

double ServerLimits::tokens(const Entry &Limit, BootTime Now) {
  if (!Limit.PerSecond)
    return 0;
  const double Seconds =
      std::chrono::duration<double>(Now - Limit.CountedAt).count();
  const double Rate =
      std::max(*Limit.PerSecond, MinimumPerSecond) * Limit.Share.Fraction;
  return std::min(Limit.Tokens + std::max(0.0, Seconds) * Rate,
                  Limit.Share.Burst);
}

void ServerLimits::refill(Entry &Limit, BootTime Now) {
  Limit.Tokens = tokens(Limit, Now);
  Limit.CountedAt = Now;
}

void ServerLimits::recordSend(const std::string &TargetId, BootTime Now) {
  const auto Position = m_Entries.find(TargetId);
  if (Position == m_Entries.end() || !Position->second.PerSecond)
    return;
  refill(Position->second, Now);
  Position->second.Tokens -= 1;
}

bool ServerLimits::hasCapacity(const std::string &TargetId,
                               BootTime Now) const {
  const auto Position = m_Entries.find(TargetId);
  return Position == m_Entries.end() || !Position->second.PerSecond ||
         tokens(Position->second, Now) >= 1;
}

std::vector<std::string> ServerLimits::exhausted(BootTime Now) const {
  std::vector<std::string> Full;
  for (const auto &[Id, Limit] : m_Entries)
    if (Limit.PerSecond && tokens(Limit, Now) < 1)
      Full.push_back(Id);
  return Full;
}

std::map<std::string, double> ServerLimits::activeLimits() const {
  std::map<std::string, double> Limits;
  for (const auto &[Id, Limit] : m_Entries)
    if (Limit.PerSecond)
      Limits[Id] = *Limit.PerSecond;
  return Limits;
}

std::vector<LimitUpdate> ServerLimits::makeUpdates(BootTime Now) const {
  std::vector<LimitUpdate> Updates;
  for (const auto &[Id, Limit] : m_Entries)
    Updates.push_back({Limit.Server, Limit.PerSecond,
                       std::chrono::ceil<milliseconds>(std::max(
                           Now - Limit.SentAt, BootClock::duration::zero()))});
  return Updates;
}

} // namespace figlift::dispatch
