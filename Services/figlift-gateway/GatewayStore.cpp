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
#include <functional>

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
          [this] { m_Shared.Targets.recordStoreFailure(BootClock::now()); },
          [this](bool WasQuiet) {
            return dispatch::ServerReadTurn.due(
                m_Peers.liveBefore(BootClock::now()), m_ServerJournal.knownAt(),
                WasQuiet);
          }};
}

namespace {

/// The operator's newest configuration, if there is one among \p Rows. Changes
/// come in order, each of several in quick succession among them.
const slopes::StoreRow *
findConfiguration(const std::vector<slopes::StoreRow> &Rows) {
  const auto Found = std::find_if(
      Rows.rbegin(), Rows.rend(), [](const slopes::StoreRow &Each) {
        return Each.Key == slopes::ConfigurationKey && !Each.Removed;
      });
  return Found == Rows.rend() ? nullptr : &*Found;
}

struct DecodedConfiguration {
  Result<dispatch::Configuration> What;
  BootClock::duration Took;
};

DecodedConfiguration decode(const std::string &Text) {
  const BootTime Begun = BootClock::now();
  auto What = slopes::decodeConfiguration(Text);
  return {std::move(What), BootClock::now() - Begun};
}

} // namespace

void Gateway::configurationRead(const slopes::RowsRead &Read,
                                BootTime KnownAt) {
  const slopes::StoreRow *Row = findConfiguration(Read.Rows);
  const auto Digest = Row ? std::hash<std::string>()(Row->Value) : 0;
  // Reads of the whole table bring the same text again and again.
  if (!Row || Digest == m_ConfigurationDigest)
    return configurationKnown(KnownAt);
  m_ConfigurationDigest = Digest;
  ++m_ConfigurationsBeingDecoded;
  m_Shared.Worker.run(
      [Text = Row->Value] { return decode(Text); },
      [this, KnownAt, Cost = Read.Cost](DecodedConfiguration Decoded) {
        --m_ConfigurationsBeingDecoded;
        if (Decoded.What)
          putIntoForce(
              std::move(Decoded.What.value()),
              {Cost.Bytes, Cost.Receiving,
               Cost.Decoding +
                   std::chrono::duration_cast<std::chrono::microseconds>(
                       Decoded.Took)});
        else
          log::logError(log::Level::Error, "configuration-invalid",
                        Decoded.What.error());
        configurationKnown(KnownAt);
      });
}

/// The configuration in force was the newest one at \p KnownAt, unless a newer
/// one is still being decoded.
void Gateway::configurationKnown(BootTime KnownAt) {
  if (m_ConfigurationsBeingDecoded > 0)
    return;
  m_ConfigurationKnownAt = std::max(m_ConfigurationKnownAt, KnownAt);
  tellStoreNews();
}

void Gateway::putIntoForce(dispatch::Configuration Newer,
                           const slopes::AnswerCost &Cost) {
  const uint64_t InForce =
      m_Shared.Configuration ? m_Shared.Configuration->Version : 0;
  // A slow answer may come after a newer one; versions only go up.
  if (Newer.Version <= InForce)
    return;
  log::logEvent(log::Level::Info, "configuration-in-force",
                {{"version", Newer.Version},
                 {"before", InForce},
                 {"routes", Newer.Routes.size()},
                 {"bytes", Cost.Bytes},
                 {"receivingMs", Cost.Receiving},
                 {"decodingMs", Cost.Decoding}});
  m_Shared.Configuration =
      std::make_shared<const dispatch::Configuration>(std::move(Newer));
  describeServices();
  limitPools();
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
  // peers have to read in which order it came. One that lacks a server which is
  // kept here for a while has a removal that peers must not pass over.
  if (Events.empty() && !m_Shared.Targets.hasMissingTargets())
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

void Gateway::storeCameBack(uint64_t EraBefore) {
  log::logEvent(log::Level::Warning, "store-era",
                {{"before", EraBefore}, {"now", m_Store.era()}});
  // Servers whose entries the copy lacks run, and write them again.
  m_Shared.Targets.recordStoreFailure(BootClock::now());
  m_ConfigurationFollower.distrust();
  m_ServerFollower.distrust();
  m_Stages.storeCameBack(m_Store.era());
  m_Peers.readSoon();
}

void Gateway::tellStoreNews() {
  const uint64_t InForce =
      m_Shared.Configuration ? m_Shared.Configuration->Version : 0;
  const bool WasTold =
      m_ConfigurationTold >= InForce &&
      m_ServerJournal.knownAt() - m_ServersToldAt < AsGoodAs &&
      m_ConfigurationKnownAt - m_ConfigurationToldAt < AsGoodAs;
  if (!m_ServersKnown || WasTold)
    return;
  const BootTime Now = BootClock::now();
  dispatch::StoreNews News;
  News.From = m_Shared.Settings.Process.Id;
  News.Servers = m_ServerJournal.news(Now);
  News.Configuration = {
      InForce, std::chrono::ceil<milliseconds>(Now - m_ConfigurationKnownAt)};
  m_ConfigurationTold = InForce;
  m_PeerLink.tell(News);
}

void Gateway::storeNewsHeard(const dispatch::StoreNews &News) {
  const BootTime Now = BootClock::now();
  const uint64_t InForce =
      m_Shared.Configuration ? m_Shared.Configuration->Version : 0;
  if (News.Configuration.Version > InForce)
    // Its changes would have each version since the one that is known.
    m_ConfigurationFollower.readWholeNow();
  else if (News.Configuration.Version == InForce)
    m_ConfigurationKnownAt =
        std::max(m_ConfigurationKnownAt, Now - News.Configuration.Age);
  // Changes say nothing to a process that has not read the whole list.
  if (!m_ServersKnown)
    return;
  const auto Verdict = m_ServerJournal.heard(News.Servers, Now);
  m_ServerFollower.advance(m_ServerJournal.version());
  m_ConfigurationTold =
      std::max(m_ConfigurationTold, News.Configuration.Version);
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
