//===- Syncs.h - Reports to the entries -------------------------*- C++ -*-===//
//
// Sends the agent's state to every entry that holds a Sync stream: at once
// when something important changed, with the load at most every 200 ms, and
// once a second in any case. Loop thread only.
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
  void broadcast();
  /// Looks for changes; every few milliseconds.
  void tick();
  void finishAll();
  size_t entries() const { return m_Streams.size(); }

private:
  void sendTo(StreamId Stream, wire::SyncDown Report);

  Context m_Shared;
  Replies &m_Back;
  std::function<wire::SyncDown()> m_Report;
  std::set<StreamId> m_Streams;
  /// What was sent last, without the load, and with it.
  std::string m_LastState;
  std::string m_LastWhole;
  BootTime m_LastSent{};
};

} // namespace figlift::agent
