//===- Configuration.cpp - What operators want served ---------------------===//
//
// Route lookup. Deployments have tens to hundreds of routes, and a scan over
// them costs less than the parse of one request's head.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/Configuration.h"

#include <algorithm>

namespace figlift::dispatch {

const Route *Configuration::match(std::string_view Host,
                                  std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  const Route *Best = nullptr;
  for (const Route &Each : Routes)
    if (Each.Host == Host && Path.starts_with(Each.Prefix) &&
        (!Best || Each.Prefix.size() > Best->Prefix.size()))
      Best = &Each;
  return Best;
}

const Service *Configuration::service(std::string_view Name) const {
  for (const Service &Each : Services)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

void Configuration::noteEventGaps() {
  for (Service &Each : Services) {
    std::optional<std::chrono::milliseconds> Shortest;
    for (const Route &Way : Routes)
      for (const WeightedService &To : Way.Services)
        if (To.Service == Each.Name && Way.EventGapTarget)
          Shortest = std::min(Shortest.value_or(*Way.EventGapTarget),
                              *Way.EventGapTarget);
    Each.ShortestEventGap = Shortest.value_or(DefaultEventGap);
  }
}

const std::string &pickService(const Route &Which, double Draw) {
  double Total = 0;
  for (const WeightedService &Each : Which.Services)
    Total += Each.Weight;
  double Left = Draw * Total;
  for (const WeightedService &Each : Which.Services) {
    Left -= Each.Weight;
    if (Left < 0)
      return Each.Service;
  }
  return Which.Services.back().Service;
}

} // namespace figlift::dispatch
