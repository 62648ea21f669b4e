//===- ServicePlanner.cpp - Places requests of plain services -------------===//
//
// Takes the server with the lowest expected time weighted by its failures, and
// a random one among equals.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServicePlanner.h"

#include <algorithm>

namespace figlift::dispatch {

ServicePlanner::ServicePlanner(ServicePlannerOptions Options,
                               LoadTracker &Loads)
    : m_Options(Options), m_Loads(Loads) {}

Milliseconds ServicePlanner::expected(const Target &Server,
                                      BootTime Now) const {
  const double Slots = std::max(1U, Server.Slots);
  const double Items = m_Loads.items(Server.Id, Now);
  // Items beyond the number of slots wait for a free slot.
  const double Rounds = 1 + std::max(0.0, Items + 1 - Slots) / Slots;
  return m_Options.AssumedWork * m_Loads.slowness(Server.Id, Now) * Rounds;
}

double ServicePlanner::score(const Target &Server, double LeastErrors,
                             BootTime Now) const {
  // Occupied slots break ties between servers of one speed.
  const double Occupancy =
      1 + 0.2 * m_Loads.items(Server.Id, Now) / std::max(1U, Server.Slots);
  const double Errors = std::max(0.0, m_Loads.errorShare(Server.Id, Now) -
                                          LeastErrors - m_Options.ErrorMargin);
  return expected(Server, Now).count() * Occupancy *
         (1 + m_Options.FailurePenalty *
                  (m_Loads.failureShare(Server.Id, Now) + Errors));
}

const Target *ServicePlanner::choose(const ServiceRequest &Request,
                                     std::span<const Target *const> Servers,
                                     bool IncludeEjected, BootTime Now) const {
  double LeastErrors = 1;
  for (const Target *Server : Servers)
    LeastErrors = std::min(LeastErrors, m_Loads.errorShare(Server->Id, Now));
  const Target *Best = nullptr;
  double BestScore = 0;
  for (size_t Offset = 0; Offset < Servers.size(); ++Offset) {
    // A random starting point selects randomly among equal servers.
    const size_t Index =
        (Offset + static_cast<size_t>(Request.Draw *
                                      static_cast<double>(Servers.size()))) %
        Servers.size();
    const Target &Server = *Servers[Index];
    if ((!IncludeEjected && m_Loads.isEjected(Server.Id, Now)) ||
        m_Loads.isExcluded(Server.Id, Now) ||
        std::find(Request.Excluded.begin(), Request.Excluded.end(),
                  Server.Id) != Request.Excluded.end())
      continue;
    const double Score = score(Server, LeastErrors, Now);
    if (!Best || Score < BestScore) {
      Best = &Server;
      BestScore = Score;
    }
  }
  return Best;
}

ServicePlan ServicePlanner::plan(const ServiceRequest &Request,
                                 std::span<const Target *const> Servers,
                                 BootTime Now) const {
  const Target *Best = choose(Request, Servers, false, Now);
  // An ejected server is better than none.
  if (!Best && Request.MayUseEjected)
    Best = choose(Request, Servers, true, Now);
  if (!Best)
    return ServiceRejection{"no server takes new requests",
                            m_Options.RetryAfter, true};
  const Milliseconds Expected = expected(*Best, Now);
  if (Expected > Request.TimeLeft * m_Options.DeadlineShare)
    return ServiceRejection{"no server would answer in time",
                            m_Options.RetryAfter};
  return ServiceAssignment{Best->Id, m_Options.AssumedWork, Expected};
}

} // namespace figlift::dispatch
