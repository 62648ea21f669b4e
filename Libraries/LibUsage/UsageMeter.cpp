//===- UsageMeter.cpp - Requests that one gateway counts ------------------===//
//
// See UsageMeter.h.
//
//===----------------------------------------------------------------------===//

#include "LibUsage/UsageMeter.h"

#include <algorithm>

namespace figlift::usage {

namespace {

/// A request that a server rejects is rejected within this time, so a sum does
/// not change later than this after the end of its window.
constexpr std::chrono::milliseconds SettlingTime{800};
/// Number of windows that are kept while no process reports them.
constexpr WindowNumber KeptWindows = 5;

} // namespace

WindowNumber UsageMeter::recordStart(const std::string &Tenant, WallTime Now) {
  const WindowNumber Window = windowAt(Now, m_Length);
  if (Window > m_Forgotten)
    ++m_Windows[Window][Tenant];
  return Window;
}

void UsageMeter::undoStart(const std::string &Tenant, WindowNumber Window) {
  const auto Sum = m_Windows.find(Window);
  if (Sum == m_Windows.end())
    return;
  if (const auto Count = Sum->second.find(Tenant);
      Count != Sum->second.end() && Count->second > 0)
    --Count->second;
}

void UsageMeter::forgetThrough(WindowNumber Window) {
  m_Forgotten = std::max(m_Forgotten, Window);
  std::erase_if(m_Windows, [this](const auto &Entry) {
    return Entry.first <= m_Forgotten;
  });
}

std::vector<WindowSum> UsageMeter::sums(WallTime Now) {
  const WindowNumber Current = windowAt(Now, m_Length);
  if (Current > KeptWindows)
    forgetThrough(Current - KeptWindows);
  std::vector<WindowSum> Sums;
  for (WindowNumber Window = m_Forgotten + 1; Window <= Current; ++Window) {
    const bool IsFinal = Now >= endOf(Window, m_Length) + SettlingTime;
    const auto Counted = m_Windows.find(Window);
    if (IsFinal || Counted != m_Windows.end())
      Sums.push_back({Window, IsFinal,
                      Counted == m_Windows.end() ? Counts{} : Counted->second});
  }
  return Sums;
}

} // namespace figlift::usage
