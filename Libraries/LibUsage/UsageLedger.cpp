//===- UsageLedger.cpp - Usage sums of the fleet --------------------------===//
//
// See UsageLedger.h.
//
//===----------------------------------------------------------------------===//

#include "LibUsage/UsageLedger.h"

#include <algorithm>

namespace figlift::usage {

namespace {

/// Bounds the memory that a faulty sender can occupy.
constexpr size_t MaximumWindows = 16;

} // namespace

void UsageLedger::apply(const UsageUpdate &Update) {
  for (const WindowSum &Sum : Update.Sums) {
    if (Sum.Window <= m_Forgotten)
      continue;
    Entry &Known = m_Windows[Sum.Window][{Update.Sender, Update.Incarnation}];
    // An earlier message may arrive after the final one.
    if (Known.Final)
      continue;
    Known = {Sum.Final, Sum.Requests};
  }
  while (m_Windows.size() > MaximumWindows)
    m_Windows.erase(m_Windows.begin());
}

void UsageLedger::forgetThrough(WindowNumber Window) {
  m_Forgotten = std::max(m_Forgotten, Window);
  std::erase_if(m_Windows, [this](const auto &Entry) {
    return Entry.first <= m_Forgotten;
  });
}

bool UsageLedger::isComplete(WindowNumber Window,
                             const std::vector<std::string> &Senders) const {
  const auto Known = m_Windows.find(Window);
  return std::all_of(
      Senders.begin(), Senders.end(), [&](const std::string &Name) {
        return Known != m_Windows.end() &&
               std::any_of(Known->second.begin(), Known->second.end(),
                           [&](const auto &Entry) {
                             return Entry.first.first == Name &&
                                    Entry.second.Final;
                           });
      });
}

Counts UsageLedger::totals(WindowNumber Window) const {
  Counts Totals;
  if (const auto Known = m_Windows.find(Window); Known != m_Windows.end())
    for (const auto &[Sender, Sum] : Known->second)
      for (const auto &[Tenant, Count] : Sum.Requests)
        if (Count > 0)
          Totals[Tenant] += Count;
  return Totals;
}

} // namespace figlift::usage
