//===- GatewayStore.cpp - What a gateway knows of the store ---------------===//
//
// The configuration and the list of servers, as read here or told by a peer.
// What a peer tells moves the time at which this process has to read itself;
// see ReadTurn.h.
//
//===----------------------------------------------------------------------===//

#include "Gateway.h"

#include "LibDispatch/ReadTurn.h"
#include "LibLog/Log.h"
#include "platform/Rows.h"

#include <algorithm>

namespace figlift::gateway {

using std::chrono::milliseconds;

namespace {

/// What a peer told that was at most this much older than what is known here
/// is as good for the others: both need not tell. It is longer than a reader
/// takes between two reads, so one that reads only because it was told of a
/// change keeps quiet.
constexpr milliseconds AsGoodAs{900};

} // namespace

StoreFollower::Listener Gateway::configurationListener() {
  const auto Take = [this](const slopes::RowsRead &Read, BootTime KnownAt) {
    configurationRead(Read, KnownAt);
  };
  return {Take, Take, [] {},
          [this](bool WasQuiet) {
            return dispatch::ConfigurationReadTurn.due(
                m_Peers.liveBefore(BootClock::now()), m_ConfigurationKnownAt,
                WasQuiet);
          }};
}

StoreFollower::Listener Gateway::serverListener() {
  return {[this](const slopes::RowsRead &Read, BootTime KnownAt) {
            allServers(Read, KnownAt);
          },
          [this](const slopes::RowsRead &Read, BootTime KnownAt) {
            changedServers(Read, KnownAt);
          },
          [this] { m_Shared.Targets.storeLost(BootClock::now()); },
          [this](bool WasQuiet) {
            return dispatch::ServerReadTurn.due(
                m_Peers.liveBefore(BootClock::now()), m_ServerJournal.knownAt(),
                WasQuiet);
          }};
}

void Gateway::configurationRead(const slopes::RowsRead &Read,
                                BootTime KnownAt) {
  configurationRows(Read);
  m_ConfigurationKnownAt = std::max(m_ConfigurationKnownAt, KnownAt);
  tellStoreNews();
}

void Gateway::configurationRows(const slopes::RowsRead &Answer) {
  for (const slopes::StoreRow &Row : Answer.Rows) {
    if (Row.Key != slopes::ConfigurationKey || Row.Removed)
      continue;
    const BootTime Begun = BootClock::now();
    auto Read = slopes::decodeConfiguration(Row.Value);
    if (!Read) {
      log::logError(log::Level::Error, "configuration-invalid", Read.error());
      continue;
    }
    const uint64_t InForce =
        m_Shared.Configuration ? m_Shared.Configuration->Version : 0;
    // A slow answer may come after a newer one; versions only go up.
    if (Read.value().Version <= InForce)
      continue;
    log::logEvent(
        log::Level::Info, "configuration-in-force",
        {{"version", Read.value().Version},
         {"before", InForce},
         {"routes", Read.value().Routes.size()},
         {"bytes", Answer.Cost.Bytes},
         {"receivingMs", Answer.Cost.Receiving},
         {"decodingMs", Answer.Cost.Decoding + (BootClock::now() - Begun)}});
    Read.value().noteEventGaps();
    m_Shared.Configuration = std::make_shared<const dispatch::Configuration>(
        std::move(Read.value()));
    describeServices();
    limitPools();
  }
}

/// An entry that cannot be read names no server to use. One bad writer may
/// leave many, again and again: the counter tells of all, the log of some.
std::optional<dispatch::Target>
Gateway::readServer(const slopes::StoreRow &Row) {
  auto Read = slopes::decodeServer(Row.Key, Row.Value);
  if (Read)
    return std::move(Read.value());
  ++m_RefusedEntries;
  if (m_Shared.Log.allows(LineKind::Notable, BootClock::now()))
    log::logEvent(log::Level::Warning, "server-entry-refused",
                  {{"entry", Row.Key},
                   {"field", Read.error().Field},
                   {"message", Read.error().Message}});
  return std::nullopt;
}

void Gateway::allServers(const slopes::RowsRead &Read, BootTime KnownAt) {
  std::vector<dispatch::Target> Listed;
  for (const slopes::StoreRow &Row : Read.Rows) {
    if (auto Entry = readServer(Row))
      Listed.push_back(std::move(*Entry));
  }
  m_ServersKnown = true;
  const auto Events = m_Shared.Targets.replaceAll(Listed, BootClock::now());
  // A list that says nothing new continues what is known; of one that does,
  // peers have to read in which order it came.
  if (Events.empty())
    m_ServerJournal.changesRead(Read.Version, KnownAt, {});
  else
    m_ServerJournal.wholeRead(Read.Version, KnownAt);
  apply(Events);
  tellStoreNews();
}

void Gateway::changedServers(const slopes::RowsRead &Read, BootTime KnownAt) {
  const BootTime Now = BootClock::now();
  std::vector<dispatch::ServerChange> Changes;
  for (const slopes::StoreRow &Row : Read.Rows) {
    const auto Entry = Row.Removed ? std::nullopt : readServer(Row);
    const auto Events = Entry ? m_Shared.Targets.update(*Entry, Now)
                              : m_Shared.Targets.remove(Row.Key, Now);
    // Most entries are heartbeats, which need not be told.
    if (!Entry || !Events.empty())
      Changes.push_back({Row.Version, Row.Key, Entry});
    apply(Events);
  }
  m_ServerJournal.changesRead(Read.Version, KnownAt, std::move(Changes));
  tellStoreNews();
}

void Gateway::tellStoreNews() {
  const bool WasTold =
      m_ServerJournal.knownAt() - m_ServersToldAt < AsGoodAs &&
      m_ConfigurationKnownAt - m_ConfigurationToldAt < AsGoodAs;
  if (!m_ServersKnown || WasTold)
    return;
  const BootTime Now = BootClock::now();
  dispatch::StoreNews News;
  News.From = m_Shared.Settings.Process.Id;
  News.Servers = m_ServerJournal.news(Now);
  News.Configuration = {
      m_Shared.Configuration ? m_Shared.Configuration->Version : 0,
      std::chrono::ceil<milliseconds>(Now - m_ConfigurationKnownAt)};
  m_PeerLink.tell(News);
}

void Gateway::storeNewsHeard(const dispatch::StoreNews &News) {
  const BootTime Now = BootClock::now();
  const uint64_t InForce =
      m_Shared.Configuration ? m_Shared.Configuration->Version : 0;
  if (News.Configuration.Version > InForce)
    m_ConfigurationFollower.readNow();
  else if (News.Configuration.Version == InForce)
    m_ConfigurationKnownAt =
        std::max(m_ConfigurationKnownAt, Now - News.Configuration.Age);
  // Changes say nothing to a process that has not read the whole list.
  if (!m_ServersKnown)
    return;
  const auto Verdict = m_ServerJournal.heard(News.Servers, Now);
  m_ServerFollower.advance(m_ServerJournal.version());
  m_ServersToldAt = std::max(m_ServersToldAt, Now - News.Servers.Age);
  m_ConfigurationToldAt =
      std::max(m_ConfigurationToldAt, Now - News.Configuration.Age);
  if (std::holds_alternative<dispatch::MissingPart>(Verdict))
    return m_ServerFollower.readNow();
  if (const auto *Told = std::get_if<dispatch::NewChanges>(&Verdict))
    for (const dispatch::ServerChange &Each : Told->Changes)
      apply(Each.Entry ? m_Shared.Targets.update(*Each.Entry, Now)
                       : m_Shared.Targets.remove(Each.Id, Now));
}

} // namespace figlift::gateway
