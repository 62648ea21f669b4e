//===- StartLags.cpp - Start lags by service and route --------------------===//
//
// The map is ordered by service, so the routes of one service are adjacent.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StartLags.h"

#include <algorithm>

namespace figlift::dispatch {

StartLag::Milliseconds StartLags::largest(const std::string &Service,
                                          BootTime Now) const {
  StartLag::Milliseconds Largest{0};
  for (auto Entry = m_Lags.lower_bound({Service, {}});
       Entry != m_Lags.end() && Entry->first.first == Service; ++Entry)
    Largest = std::max(Largest, Entry->second.current(Now));
  return Largest;
}

} // namespace figlift::dispatch
