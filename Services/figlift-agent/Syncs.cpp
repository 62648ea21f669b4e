//===- Syncs.cpp - Reports to the entries ---------------------------------===//
//
// Changes are found by comparing the serialized reports.
//
//===----------------------------------------------------------------------===//

#include "Syncs.h"

namespace figlift::agent {

static constexpr std::chrono::milliseconds LoadInterval{200};
static constexpr std::chrono::milliseconds IdleInterval{1000};

void Syncs::sendTo(StreamId Stream, wire::SyncDown Report) {
  Report.set_clock(m_Shared.Events.clockToSend());
  m_Back.send(Stream, Report);
}

void Syncs::opened(StreamId Stream) {
  if (m_Streams.insert(Stream).second)
    sendTo(Stream, m_Report());
}

void Syncs::broadcast() {
  m_LastSent = BootClock::now();
  const wire::SyncDown Report = m_Report();
  for (const StreamId Stream : m_Streams)
    sendTo(Stream, Report);
}

void Syncs::tick() {
  wire::SyncDown Report = m_Report();
  const std::string Whole = Report.SerializeAsString();
  // Of the load only whether work is accepted matters at once: the rest rides
  // on the replies.
  const bool Accepting = Report.load().accepting();
  Report.clear_load();
  Report.clear_prefix_hashes();
  Report.clear_requests_in_flight();
  const std::string State = Report.SerializeAsString() + char(Accepting);
  const auto Age = BootClock::now() - m_LastSent;
  const bool Due = State != m_LastState || Age >= IdleInterval ||
                   (Whole != m_LastWhole && Age >= LoadInterval);
  if (!Due)
    return;
  m_LastState = State;
  m_LastWhole = Whole;
  broadcast();
}

void Syncs::finishAll() {
  for (const StreamId Stream : m_Streams)
    m_Back.finish(Stream);
}

} // namespace figlift::agent
