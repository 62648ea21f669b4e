//===- SyncReporter.h - Reports to the entries ------------------*- C++ -*-===//
//
// Sends the agent's state to every entry that has a Sync stream: immediately
// after important changes, and at least once a second unless the budget
// requires longer intervals. Load and cached prefixes are sent as often as a
// budget of bytes per second permits, so that the traffic does not grow with
// the number of entries. Event loop's thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "StreamWriter.h"

#include <functional>
#include <set>
#include <string>

namespace figlift::agent {

class SyncReporter {
public:
  SyncReporter(Context Shared, StreamWriter &Writer,
               std::function<wire::SyncDown()> Report)
      : m_Shared(Shared), m_Writer(Writer), m_Report(std::move(Report)) {}

  /// Call it for each message of an entry; the first one on a stream starts the
  /// reports.
  void opened(StreamId Stream);
  void ended(StreamId Stream) { m_Streams.erase(Stream); }
  /// Sends a report to all entries now.
  void broadcast() { broadcast(m_Report()); }
  /// Sends the reports that are due. Call it every few milliseconds.
  void tick();
  void finishAll();
  size_t entries() const { return m_Streams.size(); }

private:
  void sendTo(StreamId Stream, wire::SyncDown Report);
  void broadcast(const wire::SyncDown &Report);
  /// Shortest time between two reports of \p Bytes to every entry.
  std::chrono::nanoseconds minimumInterval(size_t Bytes) const;

  Context m_Shared;
  StreamWriter &m_Writer;
  std::function<wire::SyncDown()> m_Report;
  std::set<StreamId> m_Streams;
  /// Serialized parts of the last report: the state that is sent immediately,
  /// the state with the load, and the prefixes.
  std::string m_LastUrgentState;
  std::string m_LastLoad;
  std::string m_LastPrefixes;
  BootTime m_LastSent{};
  BootTime m_PrefixesSent{};
};

} // namespace figlift::agent
