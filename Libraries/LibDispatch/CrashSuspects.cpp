//===- CrashSuspects.cpp - Requests under which servers ended -------------===//
//
// A bounded table of sets of starts; merging two tables is a union.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashSuspects.h"

#include <algorithm>
#include <utility>

namespace figlift::dispatch {

using std::chrono::milliseconds;

namespace {

/// Several servers ended under the request: what peers must not miss.
constexpr size_t ManyCrashes = 2;

milliseconds rounded(BootClock::duration Time) {
  return std::chrono::ceil<milliseconds>(
      std::max(Time, BootClock::duration::zero()));
}

} // namespace

BootTime CrashSuspects::Entry::lastCrash() const {
  BootTime Last{};
  for (const auto &[Server, At] : Crashes)
    Last = std::max(Last, At);
  return Last;
}

CrashSuspects::Entries::value_type &
CrashSuspects::entry(const RequestFingerprint &What, BootTime Now) {
  if (const auto Found = m_Entries.find(What); Found != m_Entries.end())
    return *Found;
  if (m_Entries.size() >= m_Options.MaximumSuspects)
    evict();
  Entry Made;
  Made.Changed = Now;
  return *m_Entries.emplace(What, std::move(Made)).first;
}

/// Makes room: those with the fewest crashes go, of them the oldest. Several at
/// once, as each look goes over all.
void CrashSuspects::evict() {
  std::vector<Entries::iterator> Order;
  for (auto Each = m_Entries.begin(); Each != m_Entries.end(); ++Each)
    Order.push_back(Each);
  const auto Worth = [](const Entries::iterator &Of) {
    return std::pair(Of->second.Crashes.size(), Of->second.Changed);
  };
  std::sort(Order.begin(), Order.end(), [&](const auto &One, const auto &Two) {
    return Worth(One) < Worth(Two);
  });
  for (size_t At = 0; At <= Order.size() / 16; ++At)
    m_Entries.erase(Order[At]);
}

void CrashSuspects::changed(Entries::value_type &Which, BootTime Now) {
  Which.second.Changed = Now;
  m_Fresh.insert(Which.first);
}

/// False if nothing is new in it.
bool CrashSuspects::note(Entry &Of, const ServerStart &Server,
                         BootTime At) const {
  if (Of.Cleared && At <= *Of.Cleared)
    return false;
  if (const auto Known = Of.Crashes.find(Server); Known != Of.Crashes.end()) {
    // Told over, an age grows by the way.
    Known->second = std::min(Known->second, At);
    return false;
  }
  if (Of.Crashes.size() >= m_Options.LastTrial)
    return false;
  Of.Crashes.emplace(Server, At);
  // The one that was being tried has ended.
  Of.AloneUntil = {};
  return true;
}

void CrashSuspects::clear(Entry &Which, BootTime At) {
  Which.Cleared = Which.Cleared ? std::max(*Which.Cleared, At) : At;
  std::erase_if(Which.Crashes, [&](const auto &Each) {
    return Each.second <= *Which.Cleared;
  });
  if (Which.Crashes.empty())
    Which.AloneUntil = {};
}

void CrashSuspects::crashed(const RequestFingerprint &What,
                            const ServerStart &Server, BootTime Now) {
  Entries::value_type &Of = entry(What, Now);
  if (note(Of.second, Server, Now))
    changed(Of, Now);
}

void CrashSuspects::completed(const RequestFingerprint &What, BootTime Now) {
  const auto Found = m_Entries.find(What);
  if (Found == m_Entries.end() || Found->second.Crashes.empty())
    return;
  clear(Found->second, Now);
  changed(*Found, Now);
}

void CrashSuspects::sent(const RequestFingerprint &What, BootTime Now) {
  const auto Found = m_Entries.find(What);
  if (Found == m_Entries.end() || Found->second.Crashes.empty())
    return;
  Found->second.AloneUntil = Now + m_Options.RunsAlone;
  changed(*Found, Now);
}

BootTime CrashSuspects::refusedUntil(const Entry &Which) const {
  if (Which.Crashes.size() >= m_Options.LastTrial)
    return Which.lastCrash() + m_Options.RefusedFor;
  std::chrono::seconds Pause = m_Options.FirstPause;
  for (size_t Crash = m_Options.CrashLimit; Crash < Which.Crashes.size();
       ++Crash)
    Pause *= m_Options.PauseFactor;
  return Which.lastCrash() + Pause;
}

std::optional<HeldBack> CrashSuspects::refuses(const RequestFingerprint &What,
                                               BootTime Now) const {
  const auto Found = m_Entries.find(What);
  if (Found == m_Entries.end() ||
      Found->second.Crashes.size() < m_Options.CrashLimit)
    return std::nullopt;
  const BootTime Until = refusedUntil(Found->second);
  if (Now >= Until)
    return std::nullopt;
  return HeldBack{"servers crash under it", rounded(Until - Now)};
}

std::optional<HeldBack> CrashSuspects::holdsBack(const RequestFingerprint &What,
                                                 BootTime Now) const {
  if (auto Refused = refuses(What, Now))
    return Refused;
  const auto Found = m_Entries.find(What);
  if (Found == m_Entries.end() || Now >= Found->second.AloneUntil)
    return std::nullopt;
  return HeldBack{"a server crashed under it, and it is being tried",
                  rounded(Found->second.AloneUntil - Now)};
}

size_t CrashSuspects::crashes(const RequestFingerprint &What) const {
  const auto Found = m_Entries.find(What);
  return Found == m_Entries.end() ? 0 : Found->second.Crashes.size();
}

void CrashSuspects::heard(const SuspectNews &News, BootTime Now) {
  Entry &Of = entry(News.Request, Now).second;
  if (News.Cleared)
    clear(Of, Now - *News.Cleared);
  bool IsNew = false;
  for (const SuspectNews::Crash &Each : News.Crashes)
    IsNew = note(Of, Each.Server, Now - Each.Age) || IsNew;
  if (!Of.Crashes.empty() && News.Alone > milliseconds(0))
    Of.AloneUntil = std::max(Of.AloneUntil,
                             Now + std::min(News.Alone, m_Options.RunsAlone));
  // Whoever found it tells everybody; here it is only told again later.
  if (IsNew)
    Of.Changed = Now;
  if (over(Of, Now))
    m_Entries.erase(News.Request);
}

SuspectNews CrashSuspects::news(const Entries::value_type &Of, BootTime Now) {
  SuspectNews Told;
  Told.Request = Of.first;
  for (const auto &[Server, At] : Of.second.Crashes)
    Told.Crashes.push_back({Server, rounded(Now - At)});
  if (Of.second.Cleared)
    Told.Cleared = rounded(Now - *Of.second.Cleared);
  Told.Alone = rounded(Of.second.AloneUntil - Now);
  return Told;
}

std::vector<SuspectNews> CrashSuspects::takeFresh(BootTime Now) {
  std::vector<SuspectNews> Told;
  for (const RequestFingerprint &Each : std::exchange(m_Fresh, {}))
    if (const auto Found = m_Entries.find(Each); Found != m_Entries.end())
      Told.push_back(news(*Found, Now));
  return Told;
}

std::vector<SuspectNews> CrashSuspects::repeats(size_t Count, BootTime Now) {
  std::vector<SuspectNews> Told;
  const auto Take = [&](RequestFingerprint &Last, size_t Most,
                        auto &&IsWanted) {
    const auto Tell = [&](const Entries::value_type &Each) {
      if (Told.size() >= Most || !IsWanted(Each.second))
        return;
      Told.push_back(news(Each, Now));
      Last = Each.first;
    };
    const auto Next = m_Entries.upper_bound(Last);
    std::for_each(Next, m_Entries.end(), Tell);
    std::for_each(m_Entries.begin(), Next, Tell);
  };
  const auto HasMany = [](const Entry &Each) {
    return Each.Crashes.size() >= ManyCrashes;
  };
  Take(m_ManyToldLast, Count / 2, HasMany);
  Take(m_NewToldLast, Count, [&](const Entry &Each) {
    return !HasMany(Each) && Now - Each.Changed <= m_Options.Repeated;
  });
  return Told;
}

bool CrashSuspects::over(const Entry &Which, BootTime Now) const {
  if (Which.Crashes.empty() && !Which.Cleared)
    return true;
  if (Which.Crashes.size() >= m_Options.CrashLimit)
    return Now - Which.lastCrash() > m_Options.RefusedFor;
  return Now - std::max(Which.lastCrash(), Which.Cleared.value_or(BootTime{})) >
         m_Options.Remembered;
}

void CrashSuspects::tick(BootTime Now) {
  std::erase_if(m_Entries,
                [&](const auto &Each) { return over(Each.second, Now); });
}

} // namespace figlift::dispatch
