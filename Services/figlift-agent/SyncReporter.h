//===- Syncs.h - Reports to the entries -------------------------*- C++ -*-===//
//
// Sends the agent's state to every entry that holds a Sync stream: at once
// when something important changed, once a second in any case, and with the
// load and the cached prefixes as often as a budget of bytes allows, so that
// the cost does not grow with the entries. Loop thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "Replies.h"

#include <functional>
#include <set>
#include <string>

namespace figlift::agent {

class Syncs {
public:
  Syncs(Context Shared, Replies &Back, std::function<wire::SyncDown()> Report)
      : m_Shared(Shared), m_Back(Back), m_Report(std::move(Report)) {}

  /// A message of an entry came; the first one opens its reports.
  void opened(StreamId Stream);
  void ended(StreamId Stream) { m_Streams.erase(Stream); }
  /// Tells everybody now.
  void broadcast() { broadcast(m_Report()); }
  /// Looks for changes; every few milliseconds.
  void tick();
  void finishAll();
  size_t entries() const { return m_Streams.size(); }

private:
  void sendTo(StreamId Stream, wire::SyncDown Report);
  void broadcast(const wire::SyncDown &Report);
  /// Least time between two reports of \p Bytes to every entry.
  std::chrono::nanoseconds pace(size_t Bytes) const;

  Context m_Shared;
  Replies &m_Back;
  std::function<wire::SyncDown()> m_Report;
  std::set<StreamId> m_Streams;
  /// What was sent last: without the load, with it, and the prefixes.
  std::string m_LastState;
  std::string m_LastLoad;
  std::string m_LastPrefixes;
  BootTime m_LastSent{};
  BootTime m_PrefixesSent{};
};

} // namespace figlift::agent
