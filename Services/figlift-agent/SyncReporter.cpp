//===- SyncReporter.cpp - Reports to the entries --------------------------===//
//
// Changes are detected by comparing serialized reports.
//
//===----------------------------------------------------------------------===//

#include "SyncReporter.h"

#include <algorithm>

namespace figlift::agent {

static constexpr std::chrono::milliseconds LoadInterval{200};
static constexpr std::chrono::milliseconds IdleInterval{1000};
/// Budget of load reports to all entries together; reports of cached prefixes
/// have a second budget of the same size. The limit for all control work of a
/// daemon is 9 KB/s, of which two thirds are left for traffic that the agent
/// cannot schedule.
static constexpr size_t BytesPerSecond = 1536;
/// Size of the frame, the headers and the packet around a report.
static constexpr size_t OverheadBytes = 32;

std::chrono::nanoseconds SyncReporter::minimumInterval(size_t Bytes) const {
  using std::chrono::nanoseconds;
  using std::chrono::seconds;
  return nanoseconds(seconds(1)) *
         ((Bytes + OverheadBytes) * m_Streams.size()) / BytesPerSecond;
}

void SyncReporter::sendTo(StreamId Stream, wire::SyncDown Report) {
  Report.set_clock(m_Shared.Events.clockToSend());
  m_Writer.send(Stream, Report);
}

void SyncReporter::opened(StreamId Stream) {
  if (m_Streams.insert(Stream).second)
    sendTo(Stream, m_Report());
}

void SyncReporter::broadcast(const wire::SyncDown &Report) {
  m_LastSent = BootClock::now();
  for (const StreamId Stream : m_Streams)
    sendTo(Stream, Report);
}

void SyncReporter::tick() {
  wire::SyncDown Report = m_Report();
  wire::SyncDown State = Report;
  State.clear_prefix_hashes();
  const std::string Load = State.SerializeAsString();
  // Of the load, only a change of "accepting" is reported at once; the rest is
  // also sent with the replies.
  State.clear_load();
  State.clear_requests_in_flight();
  const std::string Urgent =
      State.SerializeAsString() + char(Report.load().accepting());
  const std::string Prefixes(
      reinterpret_cast<const char *>(Report.prefix_hashes().data()),
      Report.prefix_hashes_size() * sizeof(uint64_t));

  const BootTime Now = BootClock::now();
  const auto SinceLastSent = Now - m_LastSent;
  const auto MinimumLoadInterval = minimumInterval(Load.size());
  const bool PrefixesDue =
      Prefixes != m_LastPrefixes &&
      Now - m_PrefixesSent >=
          std::max<BootClock::duration>(LoadInterval,
                                        minimumInterval(Prefixes.size()));
  const bool LoadDue = Load != m_LastLoad &&
                       SinceLastSent >= std::max<BootClock::duration>(
                                            LoadInterval, MinimumLoadInterval);
  const bool IdleDue = SinceLastSent >= std::max<BootClock::duration>(
                                            IdleInterval, MinimumLoadInterval);
  if (Urgent == m_LastUrgentState && !PrefixesDue && !LoadDue && !IdleDue)
    return;
  m_LastUrgentState = Urgent;
  m_LastLoad = Load;
  if (PrefixesDue) {
    m_LastPrefixes = Prefixes;
    m_PrefixesSent = Now;
  } else {
    // The hashes make up four fifths of a report.
    Report.clear_prefix_hashes();
    Report.set_prefixes_unchanged(true);
  }
  broadcast(Report);
}

void SyncReporter::finishAll() {
  for (const StreamId Stream : m_Streams)
    m_Writer.finish(Stream);
}

} // namespace figlift::agent
