//===- ServerLimits.cpp - How many requests servers take ------------------===//
//
// Token buckets that are counted when they are asked.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerLimits.h"

#include <algorithm>
#include <utility>

namespace figlift::dispatch {

using std::chrono::milliseconds;

namespace {

/// A server that takes nothing is still asked this often, by the whole fleet:
/// only an answer tells that it takes requests again.
constexpr double LeastPerSecond = 0.25;

} // namespace

bool ServerLimits::told(const ServerStart &Server,
                        std::optional<double> PerSecond, BootTime SentAt,
                        BootTime Now) {
  if (!PerSecond && !m_Entries.contains(Server.TargetId))
    return false;
  Entry &Of = m_Entries[Server.TargetId];
  if (SentAt < Of.SentAt)
    return false;
  if (Of.Server != Server)
    Of = {Server, std::nullopt, SentAt, Of.Share, 0, Now};
  count(Of, Now);
  Of.SentAt = SentAt;
  return std::exchange(Of.PerSecond, PerSecond) != PerSecond;
}

void ServerLimits::heard(const LimitNews &News, BootTime Now) {
  told(News.Server, News.PerSecond, Now - News.Age, Now);
}

void ServerLimits::share(const std::string &TargetId, LimitShare Share,
                         BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end())
    return;
  count(Found->second, Now);
  Found->second.Share = Share;
}

double ServerLimits::tokens(const Entry &Of, BootTime Now) {
  if (!Of.PerSecond)
    return 0;
  const double Seconds =
      std::chrono::duration<double>(Now - Of.CountedAt).count();
  const double Rate = std::max(*Of.PerSecond, LeastPerSecond) * Of.Share.Part;
  return std::min(Of.Tokens + std::max(0.0, Seconds) * Rate, Of.Share.Burst);
}

void ServerLimits::count(Entry &Of, BootTime Now) {
  Of.Tokens = tokens(Of, Now);
  Of.CountedAt = Now;
}

void ServerLimits::sent(const std::string &TargetId, BootTime Now) {
  const auto Found = m_Entries.find(TargetId);
  if (Found == m_Entries.end() || !Found->second.PerSecond)
    return;
  count(Found->second, Now);
  Found->second.Tokens -= 1;
}

bool ServerLimits::hasRoom(const std::string &TargetId, BootTime Now) const {
  const auto Found = m_Entries.find(TargetId);
  return Found == m_Entries.end() || !Found->second.PerSecond ||
         tokens(Found->second, Now) >= 1;
}

std::vector<std::string> ServerLimits::exhausted(BootTime Now) const {
  std::vector<std::string> Full;
  for (const auto &[Id, Each] : m_Entries)
    if (Each.PerSecond && tokens(Each, Now) < 1)
      Full.push_back(Id);
  return Full;
}

std::map<std::string, double> ServerLimits::inForce() const {
  std::map<std::string, double> Limits;
  for (const auto &[Id, Each] : m_Entries)
    if (Each.PerSecond)
      Limits[Id] = *Each.PerSecond;
  return Limits;
}

std::vector<LimitNews> ServerLimits::news(BootTime Now) const {
  std::vector<LimitNews> Told;
  for (const auto &[Id, Each] : m_Entries)
    Told.push_back({Each.Server, Each.PerSecond,
                    std::chrono::ceil<milliseconds>(std::max(
                        Now - Each.SentAt, BootClock::duration::zero()))});
  return Told;
}

} // namespace figlift::dispatch
