//===- HomeReader.cpp - Homes of slices from the table --------------------===//
//
// See HomeReader.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/HomeReader.h"

#include "LibIdempotency/GrantRow.h"
#include "LibLog/Log.h"

namespace figlift::entry {

namespace {

constexpr std::chrono::milliseconds MinimumInterval{250};

} // namespace

void HomeReader::wanted(const std::string &BackEnd) {
  m_Control.post([this, BackEnd] { read(BackEnd); });
}

void HomeReader::read(const std::string &BackEnd) {
  const BootTime Now = BootClock::now();
  BootTime &Last = m_LastRead[BackEnd];
  if (Last != BootTime{} && Now - Last < MinimumInterval)
    return;
  Last = Now;
  m_Store.read(idempotency::grantRowKey(BackEnd),
               [this, BackEnd](Result<platform::Row> Read) {
                 if (!Read)
                   return;
                 auto Grants = idempotency::readGrantRow(Read.value().Value);
                 if (!Grants)
                   return log::logError(log::Level::Warning,
                                        "slice-row-unreadable", Grants.error());
                 m_Control.post([this, BackEnd, Known = Grants.value()] {
                   m_Learner.learnHomes(BackEnd, Known);
                 });
               });
}

} // namespace figlift::entry
