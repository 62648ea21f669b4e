//===- Syncs.cpp - Reports to the entries ---------------------------------===//
//
// Changes are found by comparing the serialized reports.
//
//===----------------------------------------------------------------------===//

#include "Syncs.h"

#include <algorithm>

namespace figlift::agent {

static constexpr std::chrono::milliseconds LoadInterval{200};
static constexpr std::chrono::milliseconds IdleInterval{1000};
/// For reports of load, and as much again for those of cached prefixes, to all
/// entries together. Each daemon has 9 KB/s for all of its control work; two
/// thirds of them are left for what it can't choose.
static constexpr size_t BytesPerSecond = 1536;
/// Frame, headers and the packet around a report.
static constexpr size_t OverheadBytes = 32;

std::chrono::nanoseconds Syncs::pace(size_t Bytes) const {
  using std::chrono::nanoseconds;
  using std::chrono::seconds;
  return nanoseconds(seconds(1)) *
         ((Bytes + OverheadBytes) * m_Streams.size()) / BytesPerSecond;
}

void Syncs::sendTo(StreamId Stream, wire::SyncDown Report) {
  Report.set_clock(m_Shared.Events.clockToSend());
  m_Back.send(Stream, Report);
}

void Syncs::opened(StreamId Stream) {
  if (m_Streams.insert(Stream).second)
    sendTo(Stream, m_Report());
}

void Syncs::broadcast(const wire::SyncDown &Report) {
  m_LastSent = BootClock::now();
  for (const StreamId Stream : m_Streams)
    sendTo(Stream, Report);
}

void Syncs::tick() {
  wire::SyncDown Report = m_Report();
  wire::SyncDown State = Report;
  State.clear_prefix_hashes();
  const std::string Load = State.SerializeAsString();
  // Of the load only whether work is accepted matters at once: the rest rides
  // on the replies.
  State.clear_load();
  State.clear_requests_in_flight();
  const std::string Urgent =
      State.SerializeAsString() + char(Report.load().accepting());
  const std::string Prefixes(
      reinterpret_cast<const char *>(Report.prefix_hashes().data()),
      Report.prefix_hashes_size() * sizeof(uint64_t));

  const BootTime Now = BootClock::now();
  const auto Age = Now - m_LastSent;
  const auto LoadPace = pace(Load.size());
  const bool PrefixesDue =
      Prefixes != m_LastPrefixes &&
      Now - m_PrefixesSent >=
          std::max<BootClock::duration>(LoadInterval, pace(Prefixes.size()));
  const bool LoadDue =
      Load != m_LastLoad &&
      Age >= std::max<BootClock::duration>(LoadInterval, LoadPace);
  const bool IdleDue =
      Age >= std::max<BootClock::duration>(IdleInterval, LoadPace);
  if (Urgent == m_LastState && !PrefixesDue && !LoadDue && !IdleDue)
    return;
  m_LastState = Urgent;
  m_LastLoad = Load;
  if (PrefixesDue) {
    m_LastPrefixes = Prefixes;
    m_PrefixesSent = Now;
  } else {
    // The hashes are four fifths of a report.
    Report.clear_prefix_hashes();
    Report.set_prefixes_unchanged(true);
  }
  broadcast(Report);
}

void Syncs::finishAll() {
  for (const StreamId Stream : m_Streams)
    m_Back.finish(Stream);
}

} // namespace figlift::agent
