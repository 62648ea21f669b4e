//===- GatewayStore.cpp - A gateway's view of the store -------------------===//
//
// The configuration and the server list, read from the store or announced by a
// peer. An announcement postpones the next read of this process; see
// StoreReadSchedule.h.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "LibDispatch/StoreReadSchedule.h"
#include "LibLog/Guard.h"
#include "LibLog/Log.h"
#include "platform/Rows.h"

#include <algorithm>
#include <functional>

namespace figlift::gateway {

using ReadKind = dispatch::VersionConfirmation::Read;
using std::chrono::milliseconds;

namespace {

/// If a peer's announcement is at most this much older than the state known
/// here, this gateway does not announce it again. The bound is longer than the
/// interval between two reads of the elected reader, so a gateway that reads
/// only because a change was announced stays silent.
constexpr milliseconds AnnouncementTolerance{900};
/// Longer than between two reads of the elected reader, and too short for an
/// entry to expire and be written again unseen.
constexpr milliseconds MaximumGap{2000};

} // namespace

StoreFollower::Listener Gateway::configurationListener() {
  const auto OnRead = [this](const slopes::RowsRead &Read, BootTime KnownAt) {
    configurationRead(Read, KnownAt);
  };
  return {OnRead, OnRead, [] {},
          [this](bool WasUnchanged) {
            return dispatch::ConfigurationReadSchedule.due(
                m_Peers.liveBefore(BootClock::now()), m_ConfigurationKnownAt,
                WasUnchanged);
          }};
}

StoreFollower::Listener Gateway::serverListener() {
  return {[this](const slopes::RowsRead &Read, BootTime KnownAt) {
            serverListRead(Read, KnownAt);
          },
          [this](const slopes::RowsRead &Read, BootTime KnownAt) {
            serverChangesRead(Read, KnownAt);
          },
          [this] { m_Shared.Targets.recordStoreFailure(BootClock::now()); },
          [this](bool WasUnchanged) {
            return dispatch::ServerReadSchedule.due(
                m_Peers.liveBefore(BootClock::now()), m_ServerJournal.knownAt(),
                WasUnchanged);
          }};
}

namespace {

/// Returns the operator's newest configuration in \p Rows, or null. Changes
/// are in order, and several in quick succession may be among them.
const slopes::StoreRow *
findConfiguration(const std::vector<slopes::StoreRow> &Rows) {
  const auto Newest =
      std::find_if(Rows.rbegin(), Rows.rend(), [](const slopes::StoreRow &Row) {
        return Row.Key == slopes::ConfigurationKey && !Row.Removed;
      });
  return Newest == Rows.rend() ? nullptr : &*Newest;
}

struct DecodedConfiguration {
  Result<dispatch::Configuration> Configuration;
  BootClock::duration DecodingTime;
};

Result<DecodedConfiguration> decode(const std::string &Text) {
  const BootTime Start = BootClock::now();
  auto Configuration = slopes::decodeConfiguration(Text);
  return DecodedConfiguration{std::move(Configuration),
                              BootClock::now() - Start};
}

} // namespace

void Gateway::configurationRead(const slopes::RowsRead &Read,
                                BootTime KnownAt) {
  const slopes::StoreRow *Row = findConfiguration(Read.Rows);
  const auto Digest = Row ? std::hash<std::string>()(Row->Value) : 0;
  // Every full read of the table returns the same text.
  if (!Row || Digest == m_ConfigurationDigest)
    return configurationKnown(KnownAt);
  m_ConfigurationDigest = Digest;
  ++m_ConfigurationsBeingDecoded;
  m_Shared.Worker.run(
      [Text = Row->Value] { return decode(Text); },
      [this, KnownAt, Cost = Read.Cost](Result<DecodedConfiguration> Decoded) {
        --m_ConfigurationsBeingDecoded;
        if (!Decoded)
          log::recordDropped(Decoded.error().Message, "configuration");
        const bool IsKnown =
            Decoded && log::guarded("configuration", {}, [&] {
              auto &[Configuration, DecodingTime] = Decoded.value();
              if (Configuration)
                activateConfiguration(
                    std::move(Configuration.value()),
                    {Cost.Bytes, Cost.Receiving,
                     Cost.Decoding +
                         std::chrono::duration_cast<std::chrono::microseconds>(
                             DecodingTime)});
              else
                log::logError(log::Level::Error, "configuration-invalid",
                              Configuration.error());
              configurationKnown(KnownAt);
            });
        // The next read tries the same text again.
        if (!IsKnown)
          m_ConfigurationDigest = 0;
      });
}

/// The configuration in force is the newest one as of \p KnownAt, unless a
/// newer one is still being decoded.
void Gateway::configurationKnown(BootTime KnownAt) {
  if (m_ConfigurationsBeingDecoded > 0)
    return;
  m_ConfigurationKnownAt = std::max(m_ConfigurationKnownAt, KnownAt);
  announceStoreState();
}

void Gateway::activateConfiguration(dispatch::Configuration Candidate,
                                    const slopes::ResponseCost &Cost) {
  const uint64_t InForce =
      m_Shared.Configuration ? m_Shared.Configuration->Version : 0;
  // Responses may be reordered; versions only increase.
  if (Candidate.Version <= InForce)
    return;
  m_Shared.Configuration =
      std::make_shared<const dispatch::Configuration>(std::move(Candidate));
  m_PoolLimitsStale = true;
  // It is in force now, and each part has to know.
  const auto Part = [](auto Work) { log::guarded("configuration", {}, Work); };
  Part([&] {
    log::logEvent(log::Level::Info, "configuration-in-force",
                  {{"version", m_Shared.Configuration->Version},
                   {"before", InForce},
                   {"routes", m_Shared.Configuration->Routes.size()},
                   {"bytes", Cost.Bytes},
                   {"receivingMs", Cost.Receiving},
                   {"decodingMs", Cost.Decoding}});
  });
  Part([this] { describeServices(); });
  Part([this] {
    m_Shared.Origins.versions().configure(
        dispatch::takeUpTimes(*m_Shared.Configuration));
  });
  Part([this] {
    m_Shared.Queues.configurationChanged(*m_Shared.Configuration);
  });
  Part([this] { limitPools(); });
  Part([this] {
    for (proxy::CallerConnection *Caller : m_Callers)
      Caller->limitsChanged();
  });
}

/// Returns no target for an entry that cannot be decoded. A faulty writer may
/// produce many such entries repeatedly: all of them are counted, and only
/// some are logged.
std::optional<dispatch::Target>
Gateway::readServer(const slopes::StoreRow &Row) {
  std::optional<dispatch::Target> Entry;
  Error Reason;
  const bool IsRead = log::guarded("entry of servers", Row.Key, [&] {
    auto Read = slopes::decodeServer(Row.Key, Row.Value);
    if (Read)
      Entry = std::move(Read.value());
    else
      Reason = Read.error();
  });
  if (Entry)
    return Entry;
  ++m_RejectedEntries;
  if (IsRead && m_Shared.Log.allows(LineKind::Notable, BootClock::now()))
    log::logEvent(log::Level::Warning, "server-entry-refused",
                  {{"entry", Row.Key},
                   {"field", Reason.Field},
                   {"message", Reason.Message}});
  return std::nullopt;
}

/// Each response with the same odd row is counted, and only some are logged.
void Gateway::storeRowsRefused(const std::string &Table,
                               const slopes::RowsRead &Read) {
  m_RefusedStoreRows += Read.RefusedRows;
  const slopes::RowRefusal &First = *Read.FirstRefusal;
  if (m_Shared.Log.allows(LineKind::Notable, BootClock::now()))
    log::logEvent(log::Level::Warning, "store-row-refused",
                  {{"table", Table},
                   {"key", First.Key},
                   {"field", First.Reason.Field},
                   {"message", First.Reason.Message},
                   {"rows", Read.RefusedRows}});
}

dispatch::Removals Gateway::removalsNow() const {
  return m_Shared.Targets.awaitsRegistrations(BootClock::now())
             ? dispatch::Removals::MayBeExpired
             : dispatch::Removals::Ended;
}

void Gateway::serversListed(const dispatch::ListUpdate &Update) {
  const BootTime Now = BootClock::now();
  for (const dispatch::LateEntry &Late : Update.Late)
    if (m_Shared.Log.allows(LineKind::Notable, Now))
      log::logEvent(log::Level::Info, "server-entry-late",
                    {{"target", Late.Entry.Id},
                     {"reason", dispatch::describe(Late.Reason)},
                     {"heartbeat", Late.Entry.Heartbeat},
                     {"knownHeartbeat", Late.KnownHeartbeat},
                     {"draining", Late.Entry.Draining},
                     {"storeVersion", Late.Version.Number}});
  apply(m_Shared.Targets.apply(Update.Changes, Now));
  limitPools();
}

namespace {

/// Returns the changes that peers are told of. Most rows are heartbeats.
std::vector<dispatch::ServerChange>
announcedChanges(const dispatch::ListUpdate &Update) {
  std::vector<dispatch::ServerChange> Changes;
  for (const auto &[Change, OnlyHeartbeat] : Update.Changes)
    if (!OnlyHeartbeat)
      Changes.push_back(Change);
  return Changes;
}

} // namespace

void Gateway::serverListRead(const slopes::RowsRead &Read, BootTime KnownAt) {
  const BootTime Now = BootClock::now();
  std::vector<dispatch::ServerChange> Listed;
  for (const slopes::StoreRow &Row : Read.Rows) {
    if (auto Entry = readServer(Row))
      Listed.push_back({Row.Version, Row.Key, std::move(*Entry)});
  }
  m_ServersKnown = true;
  m_ServersReadAt = Now;
  m_Shared.Targets.recordStoreAnswer(Now);
  const auto Update =
      m_Servers.replaceAll(Listed, Read.Version, removalsNow(), Now);
  entriesRead(Listed, ReadKind::Full, KnownAt);
  // A list without changes only renews the known state. After a list with
  // changes, peers have to read the store to learn their order. After a gap, a
  // server may have been removed and listed again, of which peers may know only
  // the removal.
  const bool HasGap = KnownAt - m_ServerJournal.knownAt() > MaximumGap;
  if (announcedChanges(Update).empty() && !HasGap)
    m_ServerJournal.recordChanges(Read.Version, KnownAt, {});
  else
    m_ServerJournal.recordFullRead(Read.Version, KnownAt);
  serversListed(Update);
  serversKnown();
  announceStoreState();
}

/// Late writes confirm nothing.
void Gateway::entriesRead(const std::vector<dispatch::ServerChange> &Rows,
                          ReadKind Kind, BootTime KnownAt) {
  for (const dispatch::ServerChange &Row : Rows)
    if (Row.Entry && m_Servers.isCurrent(*Row.Entry))
      m_Shared.Restarts.entryRead(*Row.Entry, Kind);
  m_Shared.Restarts.listRead(Kind, KnownAt);
}

void Gateway::serversKnown() {
  m_Shared.ServersKnownAt = m_ServerJournal.knownAt();
  if (m_ServersKnown)
    m_Shared.Origins.versions().recordListKnown(m_Shared.ServersKnownAt);
}

void Gateway::serverChangesRead(const slopes::RowsRead &Read,
                                BootTime KnownAt) {
  const BootTime Now = BootClock::now();
  std::vector<dispatch::ServerChange> Rows;
  for (const slopes::StoreRow &Row : Read.Rows)
    Rows.push_back(
        {Row.Version, Row.Key, Row.Removed ? std::nullopt : readServer(Row)});
  m_ServersReadAt = Now;
  m_Shared.Targets.recordStoreAnswer(Now);
  const auto Update =
      m_Servers.applyRead(Rows, Read.Version, removalsNow(), Now);
  entriesRead(Rows, ReadKind::Changes, KnownAt);
  serversListed(Update);
  m_ServerJournal.recordChanges(Read.Version, KnownAt,
                                announcedChanges(Update));
  announceStoreState();
}

void Gateway::storeRestored(uint64_t PreviousEra) {
  // If one component throws, the others still have to learn of the new era.
  const auto Part = [](auto Work) { log::guarded("store's era", {}, Work); };
  Part([&] {
    log::logEvent(log::Level::Warning, "store-era",
                  {{"before", PreviousEra}, {"now", m_Store.era()}});
  });
  // Servers whose entries are missing in the copy are still running and write
  // them again.
  Part([this] { m_Shared.Targets.recordStoreFailure(BootClock::now()); });
  Part([this] { m_ConfigurationFollower.resync(); });
  Part([this] { m_ServerFollower.resync(); });
  Part([this] { m_Stages.storeRestored(m_Store.era()); });
  Part([this] { m_Usage.storeRestored(m_Store.era()); });
  Part([this] { m_Versions.storeRestored(); });
  Part([this] { m_Peers.refreshSoon(); });
}

void Gateway::announceStoreState() {
  const uint64_t InForce =
      m_Shared.Configuration ? m_Shared.Configuration->Version : 0;
  const bool IsAnnounced = m_AnnouncedConfiguration >= InForce &&
                           m_ServerJournal.knownAt() - m_ServersAnnouncedAt <
                               AnnouncementTolerance &&
                           m_ConfigurationKnownAt - m_ConfigurationAnnouncedAt <
                               AnnouncementTolerance;
  if (!m_ServersKnown || IsAnnounced)
    return;
  const BootTime Now = BootClock::now();
  dispatch::StoreUpdate Update;
  Update.Sender = m_Shared.Settings.Process.Id;
  Update.Servers = m_ServerJournal.makeUpdate(Now);
  Update.Configuration = {
      InForce, std::chrono::ceil<milliseconds>(Now - m_ConfigurationKnownAt)};
  m_AnnouncedConfiguration = InForce;
  m_PeerLink.announce(Update);
}

void Gateway::storeUpdateReceived(const dispatch::StoreUpdate &Update) {
  const BootTime Now = BootClock::now();
  const uint64_t InForce =
      m_Shared.Configuration ? m_Shared.Configuration->Version : 0;
  if (Update.Configuration.Version > InForce)
    // A read of the changes would return each version since the known one.
    m_ConfigurationFollower.readAllNow();
  else if (Update.Configuration.Version == InForce)
    m_ConfigurationKnownAt =
        std::max(m_ConfigurationKnownAt, Now - Update.Configuration.Age);
  // Changes cannot be applied before the first full read.
  if (!m_ServersKnown)
    return;
  const auto Outcome = m_ServerJournal.applyUpdate(Update.Servers, Now);
  m_ServerFollower.advance(m_ServerJournal.version());
  m_AnnouncedConfiguration =
      std::max(m_AnnouncedConfiguration, Update.Configuration.Version);
  m_ServersAnnouncedAt =
      std::max(m_ServersAnnouncedAt, Now - Update.Servers.Age);
  m_ConfigurationAnnouncedAt =
      std::max(m_ConfigurationAnnouncedAt, Now - Update.Configuration.Age);
  if (std::holds_alternative<dispatch::MissingVersions>(Outcome))
    return m_ServerFollower.readNow();
  if (const auto *Missed = std::get_if<dispatch::ServerChanges>(&Outcome);
      Missed && !Missed->Changes.empty())
    m_Shared.Targets.recordStoreAnswer(Now);
  // Also those of known versions: entries that this process took for late
  // writes, and the last heartbeats of removed servers.
  serversListed(m_Servers.applyAnnounced(
      Update.Servers.Changes, Update.Servers.UpTo, removalsNow(), Now));
}

} // namespace figlift::gateway
