//===- HomeReader.cpp - Reads the homes of slices from the table ----------===//
//
// See HomeReader.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/HomeReader.h"

#include "LibIdempotency/GrantRow.h"
#include "LibLog/Log.h"

#include <algorithm>
#include <utility>

namespace figlift::entry {

namespace {

constexpr std::chrono::milliseconds MinimumInterval{250};
constexpr std::chrono::milliseconds WatchInterval{500};

bool isComplete(const idempotency::GrantTable &Grants) {
  return std::ranges::all_of(Grants, [](const idempotency::Grant &Grant) {
    return !Grant.Home.empty();
  });
}

} // namespace

void HomeReader::requestRead(const std::string &BackEnd) {
  m_Control.post([this, BackEnd] { read(BackEnd); });
}

void HomeReader::watch(std::vector<std::string> BackEnds) {
  m_Control.post([this, BackEnds = std::move(BackEnds)] {
    m_Watched = {BackEnds.begin(), BackEnds.end()};
    if (!std::exchange(m_IsWatching, true))
      readWatched();
  });
}

void HomeReader::readWatched() {
  m_IsWatching = !m_Watched.empty();
  for (const std::string &BackEnd : m_Watched)
    read(BackEnd);
  if (m_IsWatching)
    m_Control.after(WatchInterval, [this] { readWatched(); });
}

void HomeReader::read(const std::string &BackEnd) {
  const BootTime Now = BootClock::now();
  BootTime &Last = m_LastRead[BackEnd];
  if (Last != BootTime{} && Now - Last < MinimumInterval)
    return;
  Last = Now;
  m_Store.read(idempotency::grantRowKey(BackEnd),
               [this, BackEnd](Result<platform::Row> Row) {
                 if (!Row)
                   return;
                 auto Grants = idempotency::readGrantRow(Row.value().Value);
                 if (!Grants)
                   return log::logError(log::Level::Warning,
                                        "slice-row-unreadable", Grants.error());
                 m_Control.post([this, BackEnd, Homes = Grants.value()] {
                   m_Fleet.learnHomes(BackEnd, Homes);
                   if (isComplete(Homes))
                     m_Watched.erase(BackEnd);
                 });
               });
}

} // namespace figlift::entry
