//===- SoakFleetServers.cpp - Servers of a fleet under faults -------------===//
//
// Their entries in the store, and how they are replaced, end and leave.
//
//===----------------------------------------------------------------------===//

#include "SoakFleet.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace figlift::soak {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Slots of each listed server.
constexpr unsigned ListedSlots = 4;
/// After this many servers a new software version comes: the servers of two
/// versions overlap for some seconds.
constexpr unsigned VersionLifetime = 12;

} // namespace

void SoakFleet::publish(unsigned ServerIndex, const std::string &State) {
  m_ServerIncarnations[ServerIndex].State = State;
  beat(ServerIndex);
}

void SoakFleet::beat(unsigned Index) {
  m_Store.put("servers", m_Servers[Index]->id(), nextEntry(Index));
}

std::string SoakFleet::nextEntry(unsigned ServerIndex) {
  const SoakServer &Server = *m_Servers[ServerIndex];
  Json Row = {{"service", Server.service()},
              {"address", (m_ServersEnd ? Server.address()
                                        : linkAddress(fmt::format("server-{}",
                                                                  ServerIndex)))
                              .toString()},
              {"zone", "z"},
              {"version", Server.version()},
              {"slots", Server.slots() > 0 ? Server.slots() : ListedSlots},
              {"state", m_ServerIncarnations[ServerIndex].State},
              {"coldRemainingMs", 0},
              {"sequence", ++m_ServerIncarnations[ServerIndex].Heartbeats},
              {"born", m_ServerIncarnations[ServerIndex].Started}};
  if (!Server.stage().empty())
    Row["stage"] = Server.stage();
  return Row.dump();
}

bool SoakFleet::isListed(const std::string &Id) {
  for (unsigned I = 0; I < m_Servers.size(); ++I)
    if (m_Servers[I]->id() == Id)
      return isListed(I);
  return false;
}

void SoakFleet::scheduleReplacement(unsigned Index) {
  // Cycles from a tenth of a second to more than a second.
  const milliseconds Downtime(100 + 400 * (++m_CrashCount % 4));
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(m_Loop, Downtime);
  Timer->async_wait([this, Timer, Index](const auto &) { replace(Index); });
}

void SoakFleet::endServer(unsigned Index, bool InNextPart,
                          milliseconds Downtime) {
  m_Downtimes[Index] = Downtime;
  InNextPart ? m_Servers[Index]->endInNextPart()
             : m_Servers[Index]->endProcess();
}

void SoakFleet::startSuccessor(unsigned Index) {
  const auto Start = [this, Index] {
    // A replacement may have come before.
    if (m_Servers[Index]->hasEnded())
      replaceAs(Index, m_Servers[Index]->version());
  };
  const milliseconds Downtime = m_Downtimes[Index];
  m_EndedServers.push_back(fmt::format("{} has ended, successor after {} ms",
                                       m_Servers[Index]->id(),
                                       Downtime.count()));
  if (Downtime == milliseconds(0))
    return Start();
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(m_Loop, Downtime);
  Timer->async_wait([Timer, Start](const auto &) { Start(); });
}

void SoakFleet::replace(unsigned Index) {
  SoakServer &Server = *m_Servers[Index];
  const std::string OldId = Server.id();
  Incarnation &Current = m_ServerIncarnations[Index];
  Current.Started += 1000;
  Current.Heartbeats = 0;
  // Every second server that was not drained restarts under its old id, without
  // its state.
  if (!std::exchange(Current.Draining, false) &&
      ++m_IncarnationCount % 2 == 0) {
    Server.restartAs(OldId, Server.version());
    return publish(Index, "ready");
  }
  replaceAs(
      Index,
      m_KeepsVersions
          ? Server.version()
          : fmt::format("v{}", (m_IncarnationCount + 1) / VersionLifetime + 1));
}

void SoakFleet::replaceAs(unsigned Index, const std::string &Version) {
  SoakServer &Server = *m_Servers[Index];
  const std::string OldId = Server.id();
  Incarnation &Current = m_ServerIncarnations[Index];
  Current.Started += 1000;
  Current.Heartbeats = 0;
  Current.Draining = false;
  Server.restartAs(serverPrefix(Index) + std::to_string(++m_IncarnationCount),
                   Version);
  m_Store.remove("servers", OldId);
  publish(Index, "ready");
}

void SoakFleet::rewriteEntries() {
  for (const std::string &Id : m_Store.keys("servers"))
    if (std::none_of(m_Servers.begin(), m_Servers.end(),
                     [&](const auto &Server) { return Server->id() == Id; }))
      m_Store.remove("servers", Id);
  for (unsigned I = 0; I < m_Servers.size(); ++I)
    publish(I, m_ServerIncarnations[I].Draining ? "draining" : "ready");
  configure();
}

void SoakFleet::drain(unsigned Index) {
  m_Checker.recordDrain(m_Servers[Index]->id(), BootClock::now());
  m_ServerIncarnations[Index].Draining = true;
  publish(Index, "draining");
}

void SoakFleet::withdraw(unsigned Index) {
  const std::string &Id = m_Servers[Index]->id();
  m_Checker.recordRemoval(Id, BootClock::now());
  m_ServerIncarnations[Index].Draining = true;
  m_ServerIncarnations[Index].State.clear();
  m_Store.remove("servers", Id);
}

void SoakFleet::leave(unsigned Index) {
  m_Servers[Index]->leave();
  m_ServerIncarnations[Index].Draining = true;
}

/// Adds invalid and retired entries that no server wrote to the server list.
/// They must not affect any request.
void SoakFleet::writeForeignEntries() {
  m_Store.put("servers", "foreign-1", "\xff\xfe");
  m_Store.put("servers", "foreign-2",
              R"({"service":"plain","address":"127.0.0.1:1","zone":7})");
  m_Store.put("servers", "foreign-3",
              R"({"service":"model","address":"127.0.0.1:1","zone":"z",
                  "version":"v1","slots":4,"state":"retired",
                  "coldRemainingMs":0,"sequence":1,"stage":"decode"})");
}

} // namespace figlift::soak
