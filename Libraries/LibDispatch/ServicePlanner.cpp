//===- ServicePlanner.cpp - Where a plain request runs --------------------===//
//
// Lowest expected time, failures weighed in; equal servers are drawn.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServicePlanner.h"

#include <algorithm>

namespace figlift::dispatch {

ServicePlanner::ServicePlanner(ServicePlannerOptions Options, LoadBook &Loads)
    : m_Options(Options), m_Loads(Loads) {}

Milliseconds ServicePlanner::expected(const Target &Which, BootTime Now) const {
  const double Slots = std::max(1U, Which.Slots);
  const double Items = m_Loads.items(Which.Id, Now);
  // Work beyond the slots waits for a free one.
  const double Rounds = 1 + std::max(0.0, Items + 1 - Slots) / Slots;
  return m_Options.AssumedWork * m_Loads.slowness(Which.Id, Now) * Rounds;
}

double ServicePlanner::score(const Target &Which, double LeastErrors,
                             BootTime Now) const {
  // Occupied slots break ties between servers of one speed.
  const double Crowding =
      1 + 0.2 * m_Loads.items(Which.Id, Now) / std::max(1U, Which.Slots);
  const double Errors = std::max(0.0, m_Loads.errorShare(Which.Id, Now) -
                                          LeastErrors - m_Options.ErrorMargin);
  return expected(Which, Now).count() * Crowding *
         (1 + m_Options.FailurePenalty *
                  (m_Loads.failureShare(Which.Id, Now) + Errors));
}

const Target *ServicePlanner::choose(const ServiceRequest &Request,
                                     std::span<const Target *const> Servers,
                                     bool Resting, BootTime Now) const {
  double LeastErrors = 1;
  for (const Target *Each : Servers)
    LeastErrors = std::min(LeastErrors, m_Loads.errorShare(Each->Id, Now));
  const Target *Best = nullptr;
  double BestScore = 0;
  for (size_t At = 0; At < Servers.size(); ++At) {
    // Beginning anywhere draws among equals.
    const size_t Index =
        (At + static_cast<size_t>(Request.Draw *
                                  static_cast<double>(Servers.size()))) %
        Servers.size();
    const Target &Each = *Servers[Index];
    if (std::find(Request.Excluded.begin(), Request.Excluded.end(), Each.Id) !=
            Request.Excluded.end() ||
        m_Loads.avoided(Each.Id, Now) ||
        (!Resting && m_Loads.resting(Each.Id, Now)))
      continue;
    const double Score = score(Each, LeastErrors, Now);
    if (!Best || Score < BestScore) {
      Best = &Each;
      BestScore = Score;
    }
  }
  return Best;
}

ServicePlan ServicePlanner::plan(const ServiceRequest &Request,
                                 std::span<const Target *const> Servers,
                                 BootTime Now) const {
  const Target *Best = choose(Request, Servers, false, Now);
  // A server that failed lately is better than none.
  if (!Best)
    Best = choose(Request, Servers, true, Now);
  if (!Best)
    return RefuseService{"no server takes new requests", m_Options.RetryAfter};
  const Milliseconds Expected = expected(*Best, Now);
  if (Expected > Request.TimeLeft * m_Options.DeadlineShare)
    return RefuseService{"no server would answer in time",
                         m_Options.RetryAfter};
  return SendTo{Best->Id, m_Options.AssumedWork, Expected};
}

} // namespace figlift::dispatch
