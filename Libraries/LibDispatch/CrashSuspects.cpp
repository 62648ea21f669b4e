//===- CrashSuspects.cpp - Requests under which servers ended -------------===//
//
// A bounded table of sets of starts; merging two tables is a union.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/CrashSuspects.h"

#include <algorithm>
#include <iterator>
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
  for (const auto &[Server, Each] : Crashes)
    Last = std::max(Last, Each.At);
  return Last;
}

unsigned CrashSuspects::Entry::rankKnown(BootTime At) const {
  return static_cast<unsigned>(
      std::count_if(RankKnown.begin(), RankKnown.end(),
                    [&](BootTime Since) { return Since < At; }));
}

CrashSuspects::Entries::value_type &
CrashSuspects::entry(const RequestFingerprint &What, BootTime Now) {
  if (const auto Found = m_Entries.find(What); Found != m_Entries.end())
    return *Found;
  if (m_Entries.size() >= m_Options.MaximumSuspects)
    evict();
  Entry Made;
  Made.Changed = Now;
  if (const auto Done = m_Completed.find(What); Done != m_Completed.end())
    Made.Cleared = Done->second;
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
bool CrashSuspects::note(Entry &Of, const ServerStart &Server, Crash What,
                         BootTime Now) const {
  if (Of.Cleared && What.At <= *Of.Cleared)
    return false;
  What.Rank = std::min(What.Rank, m_Options.CrashLimit);
  const auto [Which, IsNew] = Of.Crashes.try_emplace(Server, What);
  Crash &Known = Which->second;
  // Of two sends to the server the one that knew more tells more; told over, an
  // age grows by the way.
  const bool RanksHigher = What.Rank > Known.Rank;
  Known = {std::min(Known.At, What.At), std::max(Known.Rank, What.Rank)};
  // The send that others waited for has ended; one of those before it has not
  // a higher rank.
  if (What.Rank > 1 && What.Rank > Of.RankKnown.size())
    Of.AloneUntil = {};
  while (Of.RankKnown.size() < What.Rank)
    Of.RankKnown.push_back(Now);
  if (Of.Crashes.size() > m_Options.MaximumCrashes)
    dropOneBetween(Of);
  return (IsNew && Of.Crashes.contains(Server)) || RanksHigher;
}

/// The first ones and those after the limit are counted; of the others the
/// newest goes, everywhere alike.
void CrashSuspects::dropOneBetween(Entry &Of) const {
  const BootTime First = *limitReached(Of);
  auto Between = Of.Crashes.end();
  for (auto Each = Of.Crashes.begin(); Each != Of.Crashes.end(); ++Each)
    if (const BootTime At = Each->second.At;
        At > First && At <= First + m_Options.AfterLimit &&
        (Between == Of.Crashes.end() || At > Between->second.At))
      Between = Each;
  // None: all are at or after the limit, and as many as are ever counted.
  Of.Crashes.erase(Between != Of.Crashes.end() ? Between
                                               : std::prev(Of.Crashes.end()));
}

void CrashSuspects::clear(Entry &Which, BootTime At) {
  if (Which.Cleared && At <= *Which.Cleared)
    return;
  Which.Cleared = At;
  // The run that others waited for is over.
  Which.AloneUntil = {};
  std::erase_if(Which.Crashes, [&](const auto &Each) {
    return Each.second.At <= *Which.Cleared;
  });
  Which.RankKnown.clear();
}

void CrashSuspects::crashed(const RequestFingerprint &What,
                            const BrokenSend &Send, BootTime Now) {
  Entries::value_type &Of = entry(What, Now);
  const unsigned Rank = Of.second.rankKnown(Send.Began) + 1;
  if (note(Of.second, Send.Server, {Send.BrokeOff, Rank}, Now))
    changed(Of, Now);
}

void CrashSuspects::completed(const RequestFingerprint &What, BootTime Now) {
  const auto Found = m_Entries.find(What);
  if (Found != m_Entries.end() && !Found->second.Crashes.empty()) {
    clear(Found->second, Now);
    return changed(*Found, Now);
  }
  if (m_Completed.size() < m_Options.MaximumCompleted ||
      m_Completed.contains(What))
    m_Completed[What] = Now;
  if (Found != m_Entries.end())
    clear(Found->second, Now);
}

void CrashSuspects::sent(const RequestFingerprint &What, BootTime Now) {
  const auto Found = m_Entries.find(What);
  if (Found == m_Entries.end() || Found->second.Crashes.empty())
    return;
  Found->second.AloneUntil =
      Now + (Found->second.Crashes.size() < m_Options.CrashLimit
                 ? m_Options.RunsAlone
                 : m_Options.RunsAloneAtLimit);
  changed(*Found, Now);
}

/// Whether enough is known of it to refuse it.
bool CrashSuspects::isGuilty(const Entry &Which) const {
  return Which.Crashes.size() >= m_Options.CrashLimit &&
         (Which.RankKnown.size() >= m_Options.CrashLimit ||
          sendsAfterLimit(Which) >= m_Options.SendsAfterLimit);
}

std::optional<BootTime> CrashSuspects::limitReached(const Entry &Which) const {
  if (Which.Crashes.size() < m_Options.CrashLimit)
    return std::nullopt;
  std::vector<BootTime> Ends;
  for (const auto &[Server, Each] : Which.Crashes)
    Ends.push_back(Each.At);
  const auto Limit =
      Ends.begin() + static_cast<std::ptrdiff_t>(m_Options.CrashLimit - 1);
  std::nth_element(Ends.begin(), Limit, Ends.end());
  return *Limit;
}

size_t CrashSuspects::sendsAfterLimit(const Entry &Which) const {
  const auto Reached = limitReached(Which);
  if (!Reached)
    return 0;
  return static_cast<size_t>(std::count_if(
      Which.Crashes.begin(), Which.Crashes.end(), [&](const auto &Each) {
        return Each.second.At > *Reached + m_Options.AfterLimit;
      }));
}

BootTime CrashSuspects::refusedUntil(const Entry &Which) const {
  const size_t Sends = sendsAfterLimit(Which);
  if (Sends >= m_Options.SendsAfterLimit)
    return Which.lastCrash() + m_Options.RefusedFor;
  std::chrono::seconds Pause = m_Options.FirstPause;
  for (size_t Each = 0; Each < Sends; ++Each)
    Pause *= m_Options.PauseFactor;
  return Which.lastCrash() + Pause;
}

std::optional<HeldBack> CrashSuspects::refuses(const RequestFingerprint &What,
                                               BootTime Now) const {
  const auto Found = m_Entries.find(What);
  if (Found == m_Entries.end() || !isGuilty(Found->second))
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

size_t CrashSuspects::evidence(const RequestFingerprint &What) const {
  const auto Found = m_Entries.find(What);
  return Found == m_Entries.end() ? 0 : Found->second.RankKnown.size();
}

void CrashSuspects::heard(const SuspectNews &News, BootTime Now) {
  Entry &Of = entry(News.Request, Now).second;
  if (News.Cleared)
    clear(Of, Now - *News.Cleared);
  bool IsNew = false;
  for (const SuspectNews::Crash &Each : News.Crashes) {
    const BootTime At = Now - Each.Age;
    // The teller does not know of a run that came to its end.
    const bool IsExcused = Of.Cleared && At <= *Of.Cleared;
    IsNew = note(Of, Each.Server, {At, Each.Rank}, Now) || IsExcused || IsNew;
  }
  if (!Of.Crashes.empty() && News.Alone > milliseconds(0))
    Of.AloneUntil = std::max(
        Of.AloneUntil, Now + std::min(News.Alone, m_Options.RunsAloneAtLimit));
  // Whoever found it tells everybody; here it is only told again later.
  if (IsNew)
    Of.Changed = Now;
  if (over(Of, Now))
    m_Entries.erase(News.Request);
}

SuspectNews CrashSuspects::news(const Entries::value_type &Of, BootTime Now) {
  SuspectNews Told;
  Told.Request = Of.first;
  for (const auto &[Server, Each] : Of.second.Crashes)
    Told.Crashes.push_back({Server, rounded(Now - Each.At), Each.Rank});
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
  std::erase_if(m_Completed, [&](const auto &Each) {
    return Now - Each.second > m_Options.CompletedKept;
  });
}

} // namespace figlift::dispatch
