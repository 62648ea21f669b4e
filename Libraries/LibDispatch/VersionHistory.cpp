//===- VersionHistory.cpp - Versions at which streams may have begun ------===//
//
// See VersionHistory.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/VersionHistory.h"

#include <algorithm>
#include <utility>

namespace figlift::dispatch {

using std::chrono::milliseconds;

namespace {

/// CompleteSince of a record that goes back to the first start of the fleet.
constexpr BootTime FirstStart = BootTime::min();

const RecordedVersion *findVersion(const VersionRecord &Record,
                                   const std::string &Name) {
  const auto Found = std::find_if(
      Record.Versions.begin(), Record.Versions.end(),
      [&](const RecordedVersion &Entry) { return Entry.Name == Name; });
  return Found == Record.Versions.end() ? nullptr : &*Found;
}

/// Versions that were recorded after the copy was made are lost.
bool isOfEarlierEra(const VersionRecord &Record,
                    const StoreClockReading &Clock) {
  return Record.Era && *Record.Era != Clock.Era;
}

} // namespace

std::string_view describe(UnknownOriginReason Reason) {
  switch (Reason) {
  case UnknownOriginReason::RecordNotRead:
    return "record of versions not read";
  case UnknownOriginReason::RecordTooShort:
    return "record of versions too short";
  case UnknownOriginReason::OldRecord:
    return "old record of versions";
  case UnknownOriginReason::NoRecord:
    return "no record of versions";
  case UnknownOriginReason::NoVersion:
    return "no version";
  case UnknownOriginReason::SeveralVersions:
    return "several versions";
  }
  return {};
}

void VersionHistory::replaceListed(const VersionsByService &Listed,
                                   BootTime Now) {
  for (auto &[Service, History] : m_Services) {
    const auto Present = Listed.find(Service);
    for (auto &[Name, Entry] : History.Versions)
      if (!Entry.Until &&
          (Present == Listed.end() || !Present->second.contains(Name))) {
        Entry.Until = lastTakeUp(Service, Entry, Now);
        Entry.IsToldRecorded = false;
      }
  }
  for (const auto &[Service, Names] : Listed)
    for (const std::string &Name : Names) {
      Version &Entry = m_Services[Service].Versions[Name];
      Entry.Until.reset();
      Entry.TakeUpTime = std::max(Entry.TakeUpTime, configuredTime(Service));
    }
}

/// A version may have come and gone while the list was not known.
void VersionHistory::recordListKnown(BootTime ListedAt) {
  if (m_ListedAt != BootTime{} &&
      ListedAt - m_ListedAt > m_Options.MaximumListAge)
    m_RecordsKnown = false;
  m_ListedAt = std::max(m_ListedAt, ListedAt);
}

/// Streams that began before a shorter time was configured may still be taken
/// up after it.
void VersionHistory::configure(TakeUpTimes ByService) {
  m_TakeUpTimes = std::move(ByService);
  for (const auto &[Service, Time] : m_TakeUpTimes)
    for (auto &[Name, Entry] : m_Services[Service].Versions)
      if (!Entry.Until)
        Entry.TakeUpTime = std::max(Entry.TakeUpTime, Time);
}

void VersionHistory::recordStream(const StreamOrigin &Origin,
                                  milliseconds Deadline) {
  const auto Steps = (std::clamp<milliseconds>(Deadline, milliseconds(0),
                                               m_Options.Retention) +
                      m_Options.DeadlineStep - milliseconds(1)) /
                     m_Options.DeadlineStep;
  auto &Versions = m_Services[Origin.Service].Versions;
  const auto Found = Versions.find(Origin.SoftwareVersion);
  if (Found == Versions.end())
    return;
  Version &Entry = Found->second;
  Entry.TakeUpTime =
      std::max<milliseconds>(Entry.TakeUpTime, Steps * m_Options.DeadlineStep);
}

void VersionHistory::recordTold(const StreamOrigin &Origin, BootTime Now) {
  const auto [Found, IsNew] =
      m_Services[Origin.Service].Versions.try_emplace(Origin.SoftwareVersion);
  Version &Entry = Found->second;
  if (IsNew || Entry.Until)
    Entry.Until = std::max(Entry.Until.value_or(BootTime{}),
                           lastTakeUp(Origin.Service, Entry, Now));
}

/// Versions whose time was over before that stay forgotten.
void VersionHistory::recordSilence(BootTime Since, BootTime Now) {
  for (auto &[Service, History] : m_Services)
    for (auto &[Name, Entry] : History.Versions)
      if (Entry.Until && *Entry.Until >= Since)
        Entry.Until = std::max(*Entry.Until, lastTakeUp(Service, Entry, Now));
}

milliseconds VersionHistory::configuredTime(const std::string &Service) const {
  const auto Configured = m_TakeUpTimes.find(Service);
  return Configured == m_TakeUpTimes.end() ? milliseconds(0)
                                           : Configured->second;
}

milliseconds VersionHistory::takeUpTime(const std::string &Service,
                                        const Version &Entry) const {
  const milliseconds Time = std::max(Entry.TakeUpTime, configuredTime(Service));
  const milliseconds Longest = m_Options.Retention;
  return Time == milliseconds(0) ? Longest : std::min(Time, Longest);
}

milliseconds VersionHistory::takeUpTime(const std::string &Service,
                                        const ServiceHistory &History) const {
  milliseconds Longest = takeUpTime(Service, Version{});
  for (const auto &[Name, Entry] : History.Versions)
    Longest = std::max(Longest, takeUpTime(Service, Entry));
  return Longest;
}

BootTime VersionHistory::lastTakeUp(const std::string &Service,
                                    const Version &Entry,
                                    BootTime BegunBefore) const {
  return BegunBefore + m_Options.DiscoveryTime + takeUpTime(Service, Entry);
}

BootTime VersionHistory::completeSince(const ServiceHistory &History) const {
  return History.CompleteSince.value_or(m_CompleteSince);
}

void VersionHistory::applyRecords(const Records &Read,
                                  const StoreClockReading &Clock,
                                  bool FleetStarts) {
  const bool IsNewEra = m_Clock && m_Clock->Era != Clock.Era;
  m_Clock = Clock;
  const bool IsFirst = !std::exchange(m_HasReadRecords, true);
  const bool IsListOld = m_ListedAt != BootTime{} &&
                         Clock.Local - m_ListedAt > m_Options.MaximumListAge;
  const bool HasMissedChanges =
      !std::exchange(m_RecordsKnown, true) || IsListOld || IsNewEra;
  // A service without a record that was served before by gateways that keep
  // none.
  if (IsFirst)
    m_CompleteSince = FleetStarts ? FirstStart : Clock.Local;
  else if (HasMissedChanges)
    m_CompleteSince = Clock.Local;
  for (auto &[Service, History] : m_Services)
    if (!Read.contains(Service)) {
      History.Recorded.reset();
      if (HasMissedChanges)
        History.CompleteSince.reset();
    }
  for (const auto &[Service, Record] : Read)
    applyRecord(Service, Record, Clock, HasMissedChanges);
}

void VersionHistory::applyRecord(const std::string &Service,
                                 const VersionRecord &Read,
                                 const StoreClockReading &Clock,
                                 bool HasMissedChanges) {
  ServiceHistory &History = m_Services[Service];
  const bool StartsAnew = HasMissedChanges || Read.IsInvalid;
  const BootTime Since =
      Read.IsInvalid || isOfEarlierEra(Read, Clock) ? Clock.Local
      : Read.CompleteSince == StoreTime{}
          ? FirstStart
          // A store that was restored from a copy may have another clock.
          : std::min(Clock.toLocal(Read.CompleteSince), Clock.Local);
  History.CompleteSince =
      StartsAnew ? Since : std::min(completeSince(History), Since);
  for (const RecordedVersion &Recorded : Read.Versions) {
    const auto [Found, IsNew] = History.Versions.try_emplace(Recorded.Name);
    Version &Entry = Found->second;
    Entry.TakeUpTime = std::max(Entry.TakeUpTime, Recorded.TakeUpTime);
    if (!IsNew && !Entry.Until)
      continue;
    // Without a time it was listed when somebody looked last.
    const BootTime Latest = lastTakeUp(Service, Entry, Clock.Local);
    const BootTime Until =
        Recorded.Until ? std::min(Clock.toLocal(*Recorded.Until), Latest)
                       : Latest;
    Entry.Until = std::max(Entry.Until.value_or(Until), Until);
  }
  History.Recorded = Read;
}

/// Each gateway notes its own time, so that small differences do not count.
bool VersionHistory::isTimeRecorded(const RecordedVersion &Recorded,
                                    const Version &Entry) const {
  if (Recorded.Until.has_value() != Entry.Until.has_value())
    return false;
  return !Entry.Until || !m_Clock ||
         *Entry.Until <
             m_Clock->toLocal(*Recorded.Until) + m_Options.RecordedTimeStep;
}

bool VersionHistory::isRecorded(const ServiceHistory &History) const {
  if (!History.Recorded)
    return History.Versions.empty();
  if (History.Recorded->IsInvalid ||
      (m_Clock && History.Recorded->Era != m_Clock->Era))
    return false;
  for (const auto &[Name, Entry] : History.Versions) {
    const RecordedVersion *Recorded = findVersion(*History.Recorded, Name);
    if (!Recorded && History.Recorded->IsCut)
      continue;
    if (!Recorded || !isTimeRecorded(*Recorded, Entry) ||
        Recorded->TakeUpTime < Entry.TakeUpTime)
      return false;
  }
  return std::all_of(
      History.Recorded->Versions.begin(), History.Recorded->Versions.end(),
      [&](const RecordedVersion &Recorded) {
        return Recorded.Until || History.Versions.contains(Recorded.Name);
      });
}

VersionRecord VersionHistory::makeRecord(const ServiceHistory &History,
                                         const StoreClockReading &Clock) const {
  VersionRecord Record;
  Record.Era = Clock.Era;
  if (const BootTime Since = completeSince(History); Since != FirstStart)
    Record.CompleteSince =
        std::max(Clock.toStore(Since), StoreTime(milliseconds(1)));
  for (const auto &[Name, Entry] : History.Versions) {
    RecordedVersion &Recorded = Record.Versions.emplace_back();
    Recorded.Name = Name;
    Recorded.TakeUpTime = Entry.TakeUpTime;
    if (Entry.Until)
      Recorded.Until = Clock.toStore(*Entry.Until);
  }
  // Those that count for longest stay.
  std::stable_sort(
      Record.Versions.begin(), Record.Versions.end(),
      [](const RecordedVersion &Left, const RecordedVersion &Right) {
        return Left.Until.value_or(StoreTime::max()) >
               Right.Until.value_or(StoreTime::max());
      });
  cut(Record);
  return Record;
}

void VersionHistory::cut(VersionRecord &Record) const {
  size_t Bytes = 0;
  size_t Kept = 0;
  while (Kept < Record.Versions.size() &&
         Bytes < m_Options.MaximumRecordedBytes)
    Bytes += Record.Versions[Kept++].Name.size();
  Record.IsCut = Kept < Record.Versions.size();
  Record.Versions.resize(Kept);
}

VersionHistory::Records
VersionHistory::unrecorded(const StoreClockReading &Clock, BootTime Now) {
  forgetExpired(Now);
  Records Changed;
  // Without a current list, recorded versions look as if they had left.
  if (!m_RecordsKnown || Now - m_ListedAt > m_Options.MaximumListAge)
    return Changed;
  for (const auto &[Service, Time] : m_TakeUpTimes)
    if (const ServiceHistory &History = m_Services[Service];
        !isRecorded(History))
      Changed[Service] = makeRecord(History, Clock);
  return Changed;
}

void VersionHistory::recordsWritten(const Records &Written) {
  for (const auto &[Service, Record] : Written) {
    ServiceHistory &History = m_Services[Service];
    History.Recorded = Record;
    for (const RecordedVersion &Recorded : Record.Versions)
      if (!Recorded.Until)
        m_NewlyRecorded.push_back({Service, Recorded.Name});
  }
}

/// Called after recordTold(), which has added the version.
void VersionHistory::recordToldRecorded(const StreamOrigin &Origin) {
  ServiceHistory &History = m_Services[Origin.Service];
  if (const auto Found = History.Versions.find(Origin.SoftwareVersion);
      Found != History.Versions.end())
    Found->second.IsToldRecorded = true;
}

void VersionHistory::forgetRecords() {
  for (auto &[Service, History] : m_Services) {
    History.Recorded.reset();
    for (auto &[Name, Entry] : History.Versions)
      Entry.IsToldRecorded = false;
  }
}

bool VersionHistory::mayBegin(const StreamOrigin &Origin, BootTime Now) const {
  const auto History = m_Services.find(Origin.Service);
  return History != m_Services.end() &&
         mayBegin(Origin.Service, History->second, Origin.SoftwareVersion, Now);
}

bool VersionHistory::mayBegin(const std::string &Service,
                              const ServiceHistory &History,
                              const std::string &Name, BootTime Now) const {
  if (!m_TakeUpTimes.contains(Service))
    return true;
  const auto Found = History.Versions.find(Name);
  if (Found == History.Versions.end())
    return false;
  const Version &Entry = Found->second;
  if (!m_RecordsKnown)
    return false;
  if (Entry.IsToldRecorded)
    return true;
  if (!History.Recorded || !m_Clock)
    return false;
  const RecordedVersion *Recorded = findVersion(*History.Recorded, Name);
  // A record that was cut has several versions in any case.
  if (!Recorded)
    return History.Recorded->IsCut;
  // Of a version that has come back, the record is written again.
  return !Recorded->Until ||
         m_Clock->toLocal(*Recorded->Until) >= Now + takeUpTime(Service, Entry);
}

bool VersionHistory::hasUnrecorded(const std::string &Service,
                                   BootTime Now) const {
  const auto History = m_Services.find(Service);
  if (History == m_Services.end())
    return false;
  return std::any_of(History->second.Versions.begin(),
                     History->second.Versions.end(), [&](const auto &Version) {
                       return !Version.second.Until &&
                              !mayBegin(Service, History->second, Version.first,
                                        Now);
                     });
}

bool VersionHistory::hasUnrecorded(BootTime Now) const {
  return std::any_of(
      m_TakeUpTimes.begin(), m_TakeUpTimes.end(),
      [&](const auto &Service) { return hasUnrecorded(Service.first, Now); });
}

void VersionHistory::forgetExpired(BootTime Now) {
  for (auto &[Service, History] : m_Services)
    std::erase_if(History.Versions, [&](const auto &Version) {
      return Version.second.Until && *Version.second.Until < Now;
    });
}

/// Why the record does not hold all versions at which streams may have begun
/// that broke off before \p ResumedAt.
std::optional<UnknownOriginReason>
VersionHistory::lackingRecord(const std::string &Service,
                              const ServiceHistory &History,
                              BootTime ResumedAt) const {
  // No record is kept of a service whose streams may not be resumed.
  if (!m_TakeUpTimes.contains(Service))
    return std::nullopt;
  if (m_RecordsCurrentAt < ResumedAt)
    return UnknownOriginReason::OldRecord;
  if (!History.Recorded)
    return UnknownOriginReason::NoRecord;
  // The versions that were left out may count for longer than those that are
  // in: streams begin at a version that came since.
  if (History.Recorded->IsCut)
    return UnknownOriginReason::SeveralVersions;
  return std::nullopt;
}

std::variant<OnlyVersion, UnknownOrigin>
VersionHistory::find(const std::string &Service, BootTime ResumedAt,
                     BootTime Now) const {
  const auto History = m_Services.find(Service);
  if (History == m_Services.end())
    return UnknownOrigin{UnknownOriginReason::NoVersion};
  const std::string *Only = nullptr;
  for (const auto &[Name, Entry] : History->second.Versions) {
    if (Entry.Until && *Entry.Until < Now)
      continue;
    if (std::exchange(Only, &Name))
      return UnknownOrigin{UnknownOriginReason::SeveralVersions};
  }
  if (!m_RecordsKnown)
    return UnknownOrigin{UnknownOriginReason::RecordNotRead};
  if (const auto Lacking = lackingRecord(Service, History->second, ResumedAt))
    return UnknownOrigin{*Lacking};
  if (!Only)
    return UnknownOrigin{UnknownOriginReason::NoVersion};
  const BootTime Since = completeSince(History->second);
  const auto Longest = takeUpTime(Service, History->second);
  if (Since > Now - Longest - m_Options.DiscoveryTime)
    return UnknownOrigin{UnknownOriginReason::RecordTooShort};
  return OnlyVersion{*Only};
}

} // namespace figlift::dispatch
